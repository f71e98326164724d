//! Serves chat completions.

use crate::authorization::RequestParameters;
use crate::callers::{EntryState, read_body};
use crate::error_response::{
    BadRequest, REQUEST_ID_HEADER, bad_request, refusal_message, refusal_response,
};
use crate::session::{ChatCall, Session, SessionError, SessionEvent};
use eiderferry_config::Configuration;
use eiderferry_node::{SharedParts, Submission};
use eiderferry_openai::{
    ChatRequest, Chunk, DONE_EVENT, answer_document, chunk_event, error_document, estimate_tokens,
    finish_event, prefix_marks,
};
use futures_lite::AsyncWriteExt;
use trillium::{Conn, KnownHeaderName, Status};
use trillium_http::Body;
use trillium_smol::SmolRuntime;

/// Capacity of the buffer between an engine's stream and its caller, in bytes. While it is full, as
/// with a slow caller, the engine's stream is not read.
const RELAY_BUFFER_BYTES: usize = 16 * 1024;
/// Finish reason reported if the engine sent none.
const DEFAULT_FINISH_REASON: &str = "stop";

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
    let session = Session::submit(
        &state.control,
        state.clock,
        &state.upstream,
        submission,
        call,
    );
    if request.stream {
        stream_response(conn, session, request.model).await
    } else {
        complete_response(conn, session, request.model).await
    }
}

fn prepare(
    conn: &Conn,
    state: &EntryState,
    configuration: &Configuration,
    body: &[u8],
) -> Result<(ChatRequest, Submission, ChatCall), BadRequest> {
    let parameters =
        RequestParameters::from_headers(conn.request_headers(), configuration, state.clock)?;
    let request = ChatRequest::parse(body)?;
    let pool = configuration
        .pool_for_model(&request.model)
        .ok_or_else(|| {
            let models = configuration
                .pools
                .iter()
                .filter_map(|pool| pool.model.as_deref());
            let models: Vec<&str> = models.collect();
            BadRequest::UnknownModel(request.model.clone(), models.join(", "))
        })?;
    parameters.check_pool(pool)?;
    let prompt = request.prompt_text();
    let submission = Submission {
        digest: parameters.digest(conn, body),
        class: parameters.class.id,
        tenant: parameters.tenant.id,
        pool: pool.id,
        prompt_tokens: estimate_tokens(&prompt),
        prefixes: prefix_marks(&prompt),
        shared_parts: SharedParts {
            pool: u32::from(pool.id.0),
            caller: u32::from(parameters.tenant.id.0),
            ids: request.shared_message_digests(),
        },
        first_token_due: parameters.first_token_due,
        not_repeatable: parameters.not_repeatable(false),
    };
    let call = ChatCall {
        body: request.body.clone(),
        priority: parameters.class.tier.0,
        per_token_target: parameters.class.per_token_target(),
    };
    Ok((request, submission, call))
}

fn session_error_response(conn: Conn, session: &Session, error: &SessionError) -> Conn {
    match error {
        SessionError::Refused(refusal) => refusal_response(conn, refusal, session.request_id()),
        SessionError::EngineRejected { status, body } => conn
            .with_status(*status)
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body.clone())
            .halt(),
    }
}

/// Collects the whole response and returns it as one document.
async fn complete_response(mut conn: Conn, mut session: Session, model: String) -> Conn {
    let collect = async {
        let mut finish_reason = None;
        loop {
            match session.next().await {
                Ok(SessionEvent::Chunk(chunk)) => {
                    finish_reason = chunk.finish_reason.or(finish_reason)
                }
                Ok(SessionEvent::Finished) => return Ok(finish_reason),
                Err(error) => return Err(error),
            }
        }
    };
    match conn.cancel_on_disconnect(collect).await {
        None => conn,
        Some(Err(error)) => session_error_response(conn, &session, &error),
        Some(Ok(finish_reason)) => {
            let request_id = request_id_text(&session);
            let finish_reason = finish_reason.unwrap_or_else(|| DEFAULT_FINISH_REASON.into());
            let document = answer_document(
                &request_id,
                &model,
                session.text(),
                &finish_reason,
                session.tokens(),
            );
            conn.with_status(Status::Ok)
                .with_response_header(KnownHeaderName::ContentType, "application/json")
                .with_response_header(REQUEST_ID_HEADER, request_id)
                .with_body(document.to_string())
                .halt()
        }
    }
}

/// Waits for the first event, so that an early failure still gets an error status, then streams the
/// response.
async fn stream_response(mut conn: Conn, mut session: Session, model: String) -> Conn {
    let first_event = conn.cancel_on_disconnect(session.next()).await;
    let first_chunk = match first_event {
        None => return conn,
        Some(Err(error)) => return session_error_response(conn, &session, &error),
        Some(Ok(SessionEvent::Chunk(chunk))) => Some(chunk),
        Some(Ok(SessionEvent::Finished)) => None,
    };
    let request_id = request_id_text(&session);
    let (reader, writer) = piper::pipe(RELAY_BUFFER_BYTES);
    let relay = relay_stream(session, first_chunk, writer, request_id.clone(), model);
    // The task ends with the response, or when the caller's side of the pipe is closed.
    drop(SmolRuntime::default().spawn(relay));
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-store")
        .with_response_header(REQUEST_ID_HEADER, request_id)
        .with_body(Body::new_streaming(reader, None))
        .halt()
}

/// Relays a response as server-sent events. Returns early if the caller disconnects, which drops
/// the session and thereby cancels the work.
async fn relay_stream(
    mut session: Session,
    first_chunk: Option<Chunk>,
    mut writer: piper::Writer,
    request_id: String,
    model: String,
) {
    let mut finish_reason = None;
    let mut next = match first_chunk {
        Some(chunk) => Ok(SessionEvent::Chunk(chunk)),
        None => Ok(SessionEvent::Finished),
    };
    loop {
        let event = match next {
            Ok(SessionEvent::Chunk(chunk)) => {
                finish_reason = chunk.finish_reason.clone().or(finish_reason);
                chunk_event(chunk.data, &request_id)
            }
            Ok(SessionEvent::Finished) => {
                let finish_reason = finish_reason.unwrap_or_else(|| DEFAULT_FINISH_REASON.into());
                let final_events = finish_event(&request_id, &model, &finish_reason) + DONE_EVENT;
                let _ = writer.write_all(final_events.as_bytes()).await;
                return;
            }
            Err(error) => {
                let _ = writer
                    .write_all(error_event(&error, &request_id).as_bytes())
                    .await;
                return;
            }
        };
        if writer.write_all(event.as_bytes()).await.is_err() {
            return;
        }
        next = session.next().await;
    }
}

/// Formats an error as the last server-sent event of a stream.
fn error_event(error: &SessionError, request_id: &str) -> String {
    let document = match error {
        SessionError::Refused(refusal) => {
            error_document(&refusal_message(refusal), refusal, Some(request_id))
        }
        SessionError::EngineRejected { status, body } => serde_json::json!({
            "error": { "message": format!("the engine answered {status}: {body}") }
        }),
    };
    format!("data: {document}\n\n")
}

fn request_id_text(session: &Session) -> String {
    session
        .request_id()
        .map_or_else(String::new, |id| id.to_string())
}
