//! Chat completions.

use crate::authorization::Terms;
use crate::callers::{EntryState, read_body};
use crate::reply::{BadRequest, REQUEST_ID_HEADER, bad_request, explanation, refused};
use crate::session::{ChatCall, Progress, Session, SessionError};
use eiderferry_config::Configuration;
use eiderferry_node::Submission;
use eiderferry_openai::{
    ChatRequest, Chunk, DONE_EVENT, answer_document, chunk_event, error_document, estimate_tokens,
    finish_event, prefix_marks,
};
use futures_lite::AsyncWriteExt;
use trillium::{Conn, KnownHeaderName, Status};
use trillium_http::Body;
use trillium_smol::SmolRuntime;

/// Bytes of an answer that may wait for a slow caller; then the engine's stream
/// is no longer read.
const RELAY_BUFFER_BYTES: usize = 16 * 1024;
/// Finish reason given when the engine named none.
const DEFAULT_FINISH: &str = "stop";

/// Serves `POST /v1/chat/completions`.
pub(crate) async fn chat_completion(
    mut conn: Conn,
    state: &EntryState,
    configuration: &Configuration,
) -> Conn {
    let body = match read_body(&mut conn, state.maximum_body_bytes).await {
        Ok(body) => body,
        Err(error) => return bad_request(conn, &error),
    };
    let (request, submission, call) = match prepare(&conn, state, configuration, &body) {
        Ok(prepared) => prepared,
        Err(error) => return bad_request(conn, &error),
    };
    let session = Session::open(
        &state.control,
        state.clock,
        &state.upstream,
        submission,
        call,
    );
    if request.stream {
        stream_answer(conn, session, request.model).await
    } else {
        whole_answer(conn, session, request.model).await
    }
}

fn prepare(
    conn: &Conn,
    state: &EntryState,
    configuration: &Configuration,
    body: &[u8],
) -> Result<(ChatRequest, Submission, ChatCall), BadRequest> {
    let terms = Terms::read(conn.request_headers(), configuration, state.clock)?;
    let request = ChatRequest::parse(body)?;
    let pool = configuration
        .pool_for_model(&request.model)
        .ok_or_else(|| {
            let known = configuration
                .pools
                .iter()
                .filter_map(|pool| pool.model.as_deref());
            let known: Vec<&str> = known.collect();
            BadRequest::UnknownModel(request.model.clone(), known.join(", "))
        })?;
    terms.check_pool(pool)?;
    let prompt = request.prompt_text();
    let submission = Submission {
        digest: terms.digest(conn, body),
        class: terms.class.id,
        tenant: terms.tenant.id,
        pool: pool.id,
        prompt_tokens: estimate_tokens(&prompt),
        prefixes: prefix_marks(&prompt),
        first_token_due: terms.first_token_due,
        not_repeatable: terms.not_repeatable(false),
    };
    let call = ChatCall {
        body: request.body.clone(),
        priority: terms.class.tier.0,
        per_token_target: terms.class.per_token_target(),
    };
    Ok((request, submission, call))
}

fn refuse(conn: Conn, session: &Session, error: &SessionError) -> Conn {
    match error {
        SessionError::Refused(refusal) => refused(conn, refusal, session.request()),
        SessionError::EngineRejected { status, body } => conn
            .with_status(*status)
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body.clone())
            .halt(),
    }
}

async fn whole_answer(mut conn: Conn, mut session: Session, model: String) -> Conn {
    let collect = async {
        let mut finish = None;
        loop {
            match session.next().await {
                Ok(Progress::Token(chunk)) => finish = chunk.finish_reason.or(finish),
                Ok(Progress::Finished) => return Ok(finish),
                Err(error) => return Err(error),
            }
        }
    };
    match conn.cancel_on_disconnect(collect).await {
        None => conn,
        Some(Err(error)) => refuse(conn, &session, &error),
        Some(Ok(finish)) => {
            let name = name_of(&session);
            let finish = finish.unwrap_or_else(|| DEFAULT_FINISH.into());
            let document =
                answer_document(&name, &model, session.text(), &finish, session.tokens());
            conn.with_status(Status::Ok)
                .with_response_header(KnownHeaderName::ContentType, "application/json")
                .with_response_header(REQUEST_ID_HEADER, name)
                .with_body(document.to_string())
                .halt()
        }
    }
}

async fn stream_answer(mut conn: Conn, mut session: Session, model: String) -> Conn {
    let first = conn.cancel_on_disconnect(session.next()).await;
    let first = match first {
        None => return conn,
        Some(Err(error)) => return refuse(conn, &session, &error),
        Some(Ok(Progress::Token(chunk))) => Some(chunk),
        Some(Ok(Progress::Finished)) => None,
    };
    let name = name_of(&session);
    let (reader, writer) = piper::pipe(RELAY_BUFFER_BYTES);
    let relay = relay(session, first, writer, name.clone(), model);
    // The task ends with the answer, or when the caller's side of the pipe closes.
    drop(SmolRuntime::default().spawn(relay));
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-store")
        .with_response_header(REQUEST_ID_HEADER, name)
        .with_body(Body::new_streaming(reader, None))
        .halt()
}

/// Passes an answer on; ends early if the caller goes away, which drops the
/// session and so cancels the work.
async fn relay(
    mut session: Session,
    first: Option<Chunk>,
    mut writer: piper::Writer,
    name: String,
    model: String,
) {
    let mut finish = None;
    let mut next = match first {
        Some(chunk) => Ok(Progress::Token(chunk)),
        None => Ok(Progress::Finished),
    };
    loop {
        let text = match next {
            Ok(Progress::Token(chunk)) => {
                finish = chunk.finish_reason.clone().or(finish);
                chunk_event(chunk.data, &name)
            }
            Ok(Progress::Finished) => {
                let finish = finish.unwrap_or_else(|| DEFAULT_FINISH.into());
                let end = finish_event(&name, &model, &finish) + DONE_EVENT;
                let _ = writer.write_all(end.as_bytes()).await;
                return;
            }
            Err(error) => {
                let _ = writer
                    .write_all(error_event(&error, &name).as_bytes())
                    .await;
                return;
            }
        };
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        next = session.next().await;
    }
}

fn error_event(error: &SessionError, name: &str) -> String {
    let document = match error {
        SessionError::Refused(refusal) => {
            error_document(&explanation(refusal), refusal, Some(name))
        }
        SessionError::EngineRejected { status, body } => serde_json::json!({
            "error": { "message": format!("the engine answered {status}: {body}") }
        }),
    };
    format!("data: {document}\n\n")
}

fn name_of(session: &Session) -> String {
    session
        .request()
        .map_or_else(String::new, |id| id.to_string())
}
