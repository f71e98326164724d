//! Error responses to callers.

use eiderferry_openai::error_document;
use eiderferry_types::{MICROSECONDS_PER_SECOND, Reason, Refusal, RequestId, Verdict};
use quick_error::quick_error;
use trillium::Conn;
use trillium_http::{KnownHeaderName, Status};

quick_error! {
    /// Error that makes a request invalid. The request has not run.
    #[derive(Debug, PartialEq)]
    pub enum BadRequest {
        /// The bearer key is missing or belongs to no tenant.
        Unauthorized {
            display("no tenant holds this key: send `authorization: Bearer KEY`")
        }
        /// The tenant may not use the class.
        ClassNotAllowed(class: String, allowed: String) {
            display("class {class:?} is not allowed to this tenant; allowed: {allowed}")
        }
        /// The tenant may not use the pool.
        PoolNotAllowed(name: String) {
            display("{name:?} is not allowed to this tenant")
        }
        /// No pool serves the model.
        UnknownModel(model: String, known: String) {
            display("unknown model {model:?}; known: {known}")
        }
        /// No endpoint or service has this path.
        UnknownPath(path: String) {
            display("nothing is served at {path:?}")
        }
        /// The body is longer than allowed.
        BodyTooLarge(limit: usize) {
            display("the body is longer than {limit} bytes")
        }
        /// A header has an invalid value.
        InvalidHeader(name: &'static str, expected: &'static str) {
            display("header `{name}`: expected {expected}")
        }
        /// The body is not a valid chat completion request.
        InvalidBody(cause: eiderferry_openai::RequestError) {
            from()
            display("{cause}")
        }
        /// Reading the body failed, as when the connection closes early.
        IncompleteBody {
            display("the request body ended early")
        }
    }
}

impl BadRequest {
    fn status(&self) -> Status {
        match self {
            BadRequest::Unauthorized => Status::Unauthorized,
            BadRequest::ClassNotAllowed(..) | BadRequest::PoolNotAllowed(_) => Status::Forbidden,
            BadRequest::UnknownModel(..) | BadRequest::UnknownPath(_) => Status::NotFound,
            BadRequest::BodyTooLarge(_) => Status::PayloadTooLarge,
            BadRequest::InvalidHeader(..)
            | BadRequest::InvalidBody(_)
            | BadRequest::IncompleteBody => Status::BadRequest,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            BadRequest::Unauthorized => "unauthorized",
            BadRequest::ClassNotAllowed(..) => "class_not_allowed",
            BadRequest::PoolNotAllowed(_) => "pool_not_allowed",
            BadRequest::UnknownModel(..) => "unknown_model",
            BadRequest::UnknownPath(_) => "unknown_path",
            BadRequest::BodyTooLarge(_) => "body_too_large",
            BadRequest::InvalidHeader(..) => "bad_header",
            BadRequest::InvalidBody(_) => "bad_body",
            BadRequest::IncompleteBody => "incomplete_body",
        }
    }
}

/// Response header with the verdict: whether the request may have run.
const VERDICT_HEADER: &str = "eiderferry-verdict";
/// Response header with the reason of a refusal or failure, or the code of an invalid request.
const REASON_HEADER: &str = "eiderferry-reason";
/// Response header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "eiderferry-request-id";

/// Responds to an invalid request.
pub(crate) fn bad_request(conn: Conn, error: &BadRequest) -> Conn {
    let body = serde_json::json!({
        "error": {
            "message": error.to_string(),
            "type": "invalid_request_error",
            "code": error.code(),
            "verdict": Verdict::NotRun.as_str(),
        }
    });
    conn.with_status(error.status())
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_response_header(VERDICT_HEADER, Verdict::NotRun.as_str())
        .with_response_header(REASON_HEADER, error.code())
        .with_body(body.to_string())
        .halt()
}

/// Responds to a request that was refused or has failed.
pub(crate) fn refusal_response(conn: Conn, refusal: &Refusal, request: Option<RequestId>) -> Conn {
    let request_id = request.map(|id| id.to_string());
    let message = refusal_message(refusal);
    let body = error_document(&message, refusal, request_id.as_deref());
    let mut conn = conn
        .with_status(status_for(refusal))
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_response_header(VERDICT_HEADER, refusal.verdict.as_str())
        .with_response_header(REASON_HEADER, refusal.reason.as_str());
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.0.div_ceil(MICROSECONDS_PER_SECOND);
        conn.insert_response_header(KnownHeaderName::RetryAfter, seconds.to_string());
    }
    if let Some(request_id) = request_id {
        conn.insert_response_header(REQUEST_ID_HEADER, request_id);
    }
    conn.with_body(body.to_string()).halt()
}

/// Returns the human-readable message of a refusal.
pub(crate) fn refusal_message(refusal: &Refusal) -> String {
    let execution = match refusal.verdict {
        Verdict::NotRun => "It did not run.",
        Verdict::MayHaveRun => "It may have run.",
        Verdict::Ran => "It has run.",
    };
    format!("the request got no answer: {}. {execution}", refusal.reason)
}

fn status_for(refusal: &Refusal) -> Status {
    match refusal.reason {
        Reason::TenantConcurrency | Reason::TenantTokenRate => Status::TooManyRequests,
        Reason::KeyInProgress | Reason::KeyFinished | Reason::KeyOwnerGone => Status::Conflict,
        Reason::BackEndFailed | Reason::RetryBudget => Status::BadGateway,
        // Not 503, which invites a retry, and not a 4xx status, since the request is valid.
        Reason::CrashesBackEnds => Status::InternalServerError,
        _ => Status::ServiceUnavailable,
    }
}
