//! Calls to services that are not language-model engines.

use crate::authorization::RequestParameters;
use crate::callers::{EntryState, read_body};
use crate::control::{Command, RequestEvent};
use crate::error_response::{BadRequest, REQUEST_ID_HEADER, bad_request, refusal_response};
use crate::upstream::{UpstreamError, UpstreamResponse};
use eiderferry_admission::{Observation, Outcome};
use eiderferry_config::{Configuration, Pool};
use eiderferry_node::{AttemptEnd, Dispatch, SharedParts, Submission};
use eiderferry_types::{Reason, Refusal, RequestId, Span, Verdict};
use std::time::Duration;
use trillium::{Conn, KnownHeaderName, Method};

/// Timeout for the status and headers of a service's response.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest response body relayed from a service, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Complete response of a service.
struct ServiceResponse {
    request_id: RequestId,
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// Call to be sent to a service.
struct ServiceCall {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Serves the paths that the configuration assigns to services.
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
    // A call that may already run is not cancelled when its caller disconnects: its outcome
    // determines the response to a later request with the same key.
    match execute(state, submission, &call).await {
        Ok(response) => service_response(conn, response),
        Err((request_id, refusal)) => refusal_response(conn, &refusal, request_id),
    }
}

fn prepare(
    conn: &Conn,
    state: &EntryState,
    configuration: &Configuration,
    pool: &Pool,
    body: &[u8],
) -> Result<Submission, BadRequest> {
    let parameters =
        RequestParameters::from_headers(conn.request_headers(), configuration, state.clock)?;
    parameters.check_pool(pool)?;
    let pool_forbids_repeats = !pool.is_repeatable(conn.method().as_str());
    Ok(Submission {
        digest: parameters.digest(conn, body),
        class: parameters.class.id,
        tenant: parameters.tenant.id,
        pool: pool.id,
        prompt_tokens: 0,
        prefixes: Vec::new(),
        shared_parts: SharedParts::default(),
        first_token_due: parameters.first_token_due,
        not_repeatable: parameters.not_repeatable(pool_forbids_repeats),
    })
}

/// Returns the caller's headers that are forwarded to the service.
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

/// Submits a request, and makes attempts until one succeeds or the control thread rejects the
/// request.
async fn execute(
    state: &EntryState,
    submission: Submission,
    call: &ServiceCall,
) -> Result<ServiceResponse, (Option<RequestId>, Refusal)> {
    let (sender, events) = async_channel::bounded(8);
    let _ = state.control.send(Command::Submit {
        submission,
        events: sender,
    });
    let mut request_id = None;
    while let Ok(event) = events.recv().await {
        match event {
            RequestEvent::Accepted(id) => request_id = Some(id),
            RequestEvent::Rejected(refusal) => return Err((request_id, refusal)),
            RequestEvent::Dispatch(dispatch) => {
                if let Some(response) = attempt(state, &dispatch, call).await {
                    return Ok(response);
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
    Err((request_id, refusal))
}

/// Makes one attempt and reports its outcome to the control thread. Returns `None` if it failed;
/// the control thread then decides whether another attempt follows.
async fn attempt(
    state: &EntryState,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Option<ServiceResponse> {
    let started = state.clock.now();
    let result = if started > dispatch.dispatch_by {
        Err(UpstreamError::NotConnected(
            "the dispatch was received after its deadline".into(),
        ))
    } else {
        send_call(state, dispatch, call).await
    };
    let elapsed = state.clock.now().since(started);
    let (end, response) = match result {
        Ok(response) => {
            let observation = Observation {
                outcome: Outcome::Completed,
                tokens: 0,
                first_token: Some(elapsed),
                per_token: None,
            };
            (AttemptEnd::Completed(observation), Some(response))
        }
        Err(error) => {
            log::warn!(
                request:% = dispatch.request, back_end:% = dispatch.back_end;
                "service call failed: {error}"
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
    response
}

async fn send_call(
    state: &EntryState,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Result<ServiceResponse, UpstreamError> {
    let mut headers = call.headers.clone();
    headers.push(("x-request-id".into(), dispatch.request.to_string()));
    let response: UpstreamResponse = state
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
    let expected_id = dispatch.request.to_string();
    if response
        .request_id
        .as_ref()
        .is_some_and(|id| *id != expected_id)
    {
        return Err(UpstreamError::MalformedResponse(
            "the response belongs to another request".into(),
        ));
    }
    let body = response
        .body
        .with_max_len(MAX_RESPONSE_BYTES)
        .read_bytes()
        .await
        .map_err(|error| UpstreamError::ConnectionBroken(error.to_string()))?;
    Ok(ServiceResponse {
        request_id: dispatch.request,
        status: response.status,
        content_type: response.content_type,
        body,
    })
}

fn service_response(conn: Conn, response: ServiceResponse) -> Conn {
    let mut conn = conn
        .with_status(response.status)
        .with_response_header(REQUEST_ID_HEADER, response.request_id.to_string())
        .with_body(response.body);
    if let Some(content_type) = response.content_type {
        conn.insert_response_header(KnownHeaderName::ContentType, content_type);
    }
    conn.halt()
}
