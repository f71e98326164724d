//! Calls to plain services.

use crate::authorization::Terms;
use crate::callers::{EntryState, read_body};
use crate::control::{Command, RequestEvent};
use crate::reply::{BadRequest, REQUEST_ID_HEADER, bad_request, refused};
use crate::upstream::{Answer, UpstreamError};
use eiderferry_admission::{Observation, Outcome};
use eiderferry_config::{Configuration, Pool};
use eiderferry_node::{AttemptEnd, Dispatch, Submission};
use eiderferry_types::{Reason, Refusal, RequestId, Span, Verdict};
use std::time::Duration;
use trillium::{Conn, KnownHeaderName, Method};

/// Longest wait for a service's answer.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer relayed from a service.
const MAXIMUM_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// A service's whole answer.
struct ServiceAnswer {
    request: RequestId,
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// A call as it goes to the service.
struct ServiceCall {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Serves any path that the configuration gives to a service.
pub(crate) async fn service_call(
    mut conn: Conn,
    state: &EntryState,
    configuration: &Configuration,
) -> Conn {
    let path = conn.path_and_query().to_owned();
    let Some(pool) = configuration.pool_for_path(conn.path()) else {
        return bad_request(conn, &BadRequest::UnknownPath(path));
    };
    let body = match read_body(&mut conn, state.maximum_body_bytes).await {
        Ok(body) => body,
        Err(error) => return bad_request(conn, &error),
    };
    let submission = match prepare(&conn, state, configuration, pool, &body) {
        Ok(submission) => submission,
        Err(error) => return bad_request(conn, &error),
    };
    let call = ServiceCall {
        method: conn.method(),
        path,
        headers: forwarded_headers(&conn),
        body,
    };
    // A caller that goes away does not stop a call that may already run: its
    // outcome decides what a repetition of its key may be told.
    match run(state, submission, &call).await {
        Ok(answer) => reply(conn, answer),
        Err((request, refusal)) => refused(conn, &refusal, request),
    }
}

fn prepare(
    conn: &Conn,
    state: &EntryState,
    configuration: &Configuration,
    pool: &Pool,
    body: &[u8],
) -> Result<Submission, BadRequest> {
    let terms = Terms::read(conn.request_headers(), configuration, state.clock)?;
    terms.check_pool(pool)?;
    let forbids = !pool.is_repeatable(conn.method().as_str());
    Ok(Submission {
        digest: terms.digest(conn, body),
        class: terms.class.id,
        tenant: terms.tenant.id,
        pool: pool.id,
        prompt_tokens: 0,
        prefixes: Vec::new(),
        first_token_due: terms.first_token_due,
        not_repeatable: terms.not_repeatable(forbids),
    })
}

fn forwarded_headers(conn: &Conn) -> Vec<(String, String)> {
    const FORWARDED: [&str; 4] = [
        "content-type",
        "accept",
        "idempotency-key",
        "eiderferry-ticket",
    ];
    let headers = conn.request_headers();
    let value = |name: &str| {
        Some((
            name.to_owned(),
            headers.get_str(name.to_owned())?.to_owned(),
        ))
    };
    FORWARDED.iter().filter_map(|name| value(name)).collect()
}

async fn run(
    state: &EntryState,
    submission: Submission,
    call: &ServiceCall,
) -> Result<ServiceAnswer, (Option<RequestId>, Refusal)> {
    let (sender, events) = async_channel::bounded(8);
    let _ = state.control.send(Command::Submit {
        submission,
        events: sender,
    });
    let mut request = None;
    while let Ok(event) = events.recv().await {
        match event {
            RequestEvent::Accepted(id) => request = Some(id),
            RequestEvent::Rejected(refusal) => return Err((request, refusal)),
            RequestEvent::Dispatch(dispatch) => {
                if let Some(answer) = attempt(state, &dispatch, call).await {
                    return Ok(answer);
                }
            }
        }
    }
    let retry_after = Some(Span::from_milliseconds(500));
    let refusal = Refusal {
        verdict: Verdict::MayHaveRun,
        reason: Reason::Draining,
        retry_after,
    };
    Err((request, refusal))
}

/// One attempt; `None` if it failed and the control thread decides what follows.
async fn attempt(
    state: &EntryState,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Option<ServiceAnswer> {
    let started = state.clock.now();
    let result = if started > dispatch.dispatch_by {
        Err(UpstreamError::NotConnected(
            "the order to send came too late".into(),
        ))
    } else {
        send(state, dispatch, call).await
    };
    let after = state.clock.now().since(started);
    let (end, answer) = match result {
        Ok(answer) => {
            let observation = Observation {
                outcome: Outcome::Completed,
                tokens: 0,
                first_token: Some(after),
                per_token: None,
            };
            (AttemptEnd::Completed(observation), Some(answer))
        }
        Err(error) => {
            log::warn!(
                request:% = dispatch.request, back_end:% = dispatch.back_end;
                "a service call failed: {error}"
            );
            let observation = Observation {
                outcome: Outcome::Failed,
                ..Observation::UNUSED
            };
            let has_crashed = state.upstream.has_crashed(dispatch.address, &error).await;
            (
                AttemptEnd::Failed {
                    verdict: error.verdict(),
                    observation,
                    has_crashed,
                },
                None,
            )
        }
    };
    let _ = state.control.send(Command::AttemptEnded {
        request: dispatch.request,
        attempt: dispatch.attempt,
        end,
    });
    answer
}

async fn send(
    state: &EntryState,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Result<ServiceAnswer, UpstreamError> {
    let mut headers = call.headers.clone();
    headers.push(("x-request-id".into(), dispatch.request.to_string()));
    let answer: Answer = state
        .upstream
        .call(
            call.method,
            dispatch.address,
            &call.path,
            &headers,
            call.body.clone(),
            SERVICE_TIMEOUT,
        )
        .await?;
    let expected = dispatch.request.to_string();
    if answer
        .request_id
        .as_ref()
        .is_some_and(|name| *name != expected)
    {
        return Err(UpstreamError::Unreadable(
            "the answer to another request".into(),
        ));
    }
    let body = answer
        .body
        .with_max_len(MAXIMUM_ANSWER_BYTES)
        .read_bytes()
        .await
        .map_err(|error| UpstreamError::Broken(error.to_string()))?;
    Ok(ServiceAnswer {
        request: dispatch.request,
        status: answer.status,
        content_type: answer.content_type,
        body,
    })
}

fn reply(conn: Conn, answer: ServiceAnswer) -> Conn {
    let mut conn = conn
        .with_status(answer.status)
        .with_response_header(REQUEST_ID_HEADER, answer.request.to_string())
        .with_body(answer.body);
    if let Some(content_type) = answer.content_type {
        conn.insert_response_header(KnownHeaderName::ContentType, content_type);
    }
    conn.halt()
}
