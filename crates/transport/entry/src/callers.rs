//! HTTP interface for callers: readiness, routing of paths to handlers, and tickets.

use crate::authorization::{authenticate, format_ticket};
use crate::chat::chat_completion;
use crate::control::ControlHandle;
use crate::error_response::{BadRequest, bad_request, refusal_response};
use crate::service::service_call;
use crate::upstream::Upstream;
use crate::{Clock, TrafficView};
use arc_swap::ArcSwap;
use eiderferry_config::Configuration;
use eiderferry_types::{Reason, Refusal, Span};
use std::sync::Arc;
use trillium::{Conn, Handler, KnownHeaderName, Method, Status};

/// State shared by the handlers of all requests.
#[derive(Clone)]
pub(crate) struct EntryState {
    pub control: ControlHandle,
    pub view: Arc<ArcSwap<TrafficView>>,
    pub upstream: Upstream,
    pub clock: Clock,
    pub maximum_body_bytes: usize,
}

/// Routes the requests of callers by method and path.
pub(crate) struct CallerHandler(pub EntryState);

impl Handler for CallerHandler {
    async fn run(&self, conn: Conn) -> Conn {
        let state = &self.0;
        let view = state.view.load_full();
        if conn.path() == "/ready" {
            return readiness(conn, &view);
        }
        let Some(configuration) = view.configuration.as_ref().filter(|_| view.ready) else {
            let retry_after = Some(Span::from_milliseconds(1_000));
            return refusal_response(conn, &Refusal::not_run(Reason::NotReady, retry_after), None);
        };
        match (conn.method(), conn.path()) {
            (Method::Post, "/v1/chat/completions") => {
                chat_completion(conn, state, configuration).await
            }
            (Method::Get, "/v1/models") => list_models(conn, configuration),
            (Method::Post, "/v1/tickets") => issue_ticket(conn, state, configuration).await,
            (_, path) if path.starts_with("/v1/") => {
                let path = path.to_owned();
                bad_request(conn, &BadRequest::UnknownPath(path))
            }
            _ => service_call(conn, state, configuration).await,
        }
    }
}

/// Responds to the readiness check of a load balancer.
fn readiness(conn: Conn, view: &TrafficView) -> Conn {
    let (status, body) = match (view.ready, view.draining) {
        (true, false) => (Status::Ok, "ready"),
        (_, true) => (Status::ServiceUnavailable, "draining"),
        (false, false) => (Status::ServiceUnavailable, "not ready"),
    };
    conn.with_status(status).with_body(body).halt()
}

fn list_models(conn: Conn, configuration: &Configuration) -> Conn {
    let tenant = match authenticate(conn.request_headers(), configuration) {
        Ok(tenant) => tenant,
        Err(error) => return bad_request(conn, &error),
    };
    let allowed_pools = configuration
        .pools
        .iter()
        .filter(|pool| tenant.pools.contains(&pool.name));
    let data: Vec<_> = allowed_pools
        .filter_map(|pool| pool.model.as_ref())
        .map(|model| serde_json::json!({ "id": model, "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    conn.with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(body.to_string())
}

async fn issue_ticket(conn: Conn, state: &EntryState, configuration: &Configuration) -> Conn {
    if let Err(error) = authenticate(conn.request_headers(), configuration) {
        return bad_request(conn, &error);
    }
    let retry_after = Some(Span::from_milliseconds(1_000));
    match state.control.issue_ticket().await {
        Ok(Ok(ticket)) => {
            let body = serde_json::json!({ "ticket": format_ticket(&ticket) });
            conn.with_response_header(KnownHeaderName::ContentType, "application/json")
                .ok(body.to_string())
        }
        Ok(Err(_)) => refusal_response(
            conn,
            &Refusal::not_run(Reason::KeyTableFull, retry_after),
            None,
        ),
        Err(_) => refusal_response(conn, &Refusal::not_run(Reason::Draining, retry_after), None),
    }
}

/// Reads a request's body of at most `limit` bytes.
pub(crate) async fn read_body(conn: &mut Conn, limit: usize) -> Result<Vec<u8>, BadRequest> {
    let content_length = conn.request_body().content_length();
    if content_length.is_some_and(|length| length > limit as u64) {
        return Err(BadRequest::BodyTooLarge(limit));
    }
    let body = conn.request_body().with_max_len(limit as u64);
    body.read_bytes().await.map_err(|error| match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => BadRequest::BodyTooLarge(limit),
        _ => BadRequest::IncompleteBody,
    })
}
