//! Replies that this node generates itself.

use crate::response_body::RelayBody;
use eiderferry_dispatch::QuarantinedParts;
use eiderferry_types::{Reason, RequestDigest, Span, Verdict};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

/// Why a request gets no back end's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// A header is missing or can't be parsed.
    BadHeader(&'static str),
    /// The head is longer than allowed.
    HeadTooLarge,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body did not arrive completely.
    IncompleteBody,
    /// The request has not run and will not; Retry-After.
    NotRun(Reason, Span),
    /// The software version of the stream to resume is unknown; the request has not run. Retry-After,
    /// if another node may know the version.
    UnknownStream(Option<Span>),
    /// The request's body does not fit in the memory budget; the request has not run. Retry-After.
    NoMemory(Span),
    /// The request may have run, but its response is lost.
    ResponseLost,
    /// The request's deadline has passed; it may have run.
    TimedOut,
    /// Back ends crash while running the request; it is sent to no more of them.
    CrashesBackEnds(CrashRefusal),
}

/// Details of the refusal of a request that crashes back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashRefusal {
    pub digest: RequestDigest,
    /// Parts of its prompt for which it is refused, if its prompt is the reason.
    pub parts: Option<QuarantinedParts>,
    /// Remaining time for which it is refused.
    pub duration: Span,
    /// Whether it may have run: whether it had reached a back end before this refusal.
    pub verdict: Verdict,
}

impl LocalReply {
    pub fn status(&self) -> StatusCode {
        match self {
            LocalReply::NoRoute => StatusCode::NOT_FOUND,
            LocalReply::UnknownKey => StatusCode::UNAUTHORIZED,
            LocalReply::BadHeader(_) | LocalReply::IncompleteBody => StatusCode::BAD_REQUEST,
            LocalReply::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            LocalReply::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalReply::NotRun(..) | LocalReply::NoMemory(_) | LocalReply::UnknownStream(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            LocalReply::ResponseLost => StatusCode::BAD_GATEWAY,
            LocalReply::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            // Neither 503, which asks the caller to retry, nor 4xx, which blames the request for
            // violating the interface.
            LocalReply::CrashesBackEnds(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    pub fn reason(&self) -> &'static str {
        match self {
            LocalReply::NoRoute => "no_route",
            LocalReply::UnknownKey => "unknown_key",
            LocalReply::BadHeader(name) => name,
            LocalReply::HeadTooLarge => "head_too_large",
            LocalReply::BodyTooLarge => "body_too_large",
            LocalReply::IncompleteBody => "body_broken",
            LocalReply::NotRun(reason, _) => reason.as_str(),
            LocalReply::UnknownStream(_) => Reason::StreamVersionUnknown.as_str(),
            LocalReply::NoMemory(_) => "memory",
            LocalReply::ResponseLost => "answer_lost",
            LocalReply::TimedOut => "timed_out",
            LocalReply::CrashesBackEnds(_) => Reason::CrashesBackEnds.as_str(),
        }
    }

    pub fn verdict(&self) -> Verdict {
        match self {
            LocalReply::ResponseLost | LocalReply::TimedOut => Verdict::MayHaveRun,
            LocalReply::CrashesBackEnds(refusal) => refusal.verdict,
            _ => Verdict::NotRun,
        }
    }

    fn closes_connection(&self) -> bool {
        matches!(
            self,
            LocalReply::HeadTooLarge
                | LocalReply::BodyTooLarge
                | LocalReply::IncompleteBody
                | LocalReply::NoMemory(_)
        )
    }

    /// Digest of the request, for replies that depend on its content.
    pub fn digest(&self) -> Option<RequestDigest> {
        match self {
            LocalReply::CrashesBackEnds(refusal) => Some(refusal.digest),
            _ => None,
        }
    }

    /// Ids of the prompt parts for which the request is refused, separated by commas.
    pub fn quarantined_parts(&self) -> String {
        match self {
            LocalReply::CrashesBackEnds(refusal) => {
                let parts = refusal.parts.as_ref();
                parts.map(QuarantinedParts::ids).unwrap_or_default()
            }
            _ => String::new(),
        }
    }

    fn body_text(&self) -> String {
        match self {
            LocalReply::CrashesBackEnds(CrashRefusal {
                parts: Some(parts),
                duration,
                ..
            }) => format!(
                "{}: back ends crashed each time that they started a response to a prompt part of \
                 this request; requests with it are refused for {:.0} s (prompt part {})\n",
                self.reason(),
                duration.seconds(),
                parts.ids()
            ),
            LocalReply::CrashesBackEnds(refusal) => format!(
                "{}: back ends crashed each time that this request ran; it is refused for {:.0} s \
                 (digest {})\n",
                self.reason(),
                refusal.duration.seconds(),
                refusal.digest
            ),
            LocalReply::UnknownStream(None) => format!(
                "{}: no node knows the stream to resume; start a new stream\n",
                self.reason()
            ),
            LocalReply::UnknownStream(Some(_)) => format!(
                "{}: some nodes that may know the stream to resume did not respond; try to resume it \
                 again after the time in Retry-After, or start a new stream\n",
                self.reason()
            ),
            LocalReply::NotRun(Reason::NoBackEndOfVersion, _) => format!(
                "{}: no back end that runs the software version of the stream accepts requests; try \
                 to resume it again after the time in Retry-After, or start a new stream\n",
                self.reason()
            ),
            _ => format!("{}\n", self.reason()),
        }
    }

    fn retry_after(&self) -> Option<Span> {
        match self {
            LocalReply::NotRun(_, retry_after) | LocalReply::NoMemory(retry_after) => {
                Some(*retry_after)
            }
            LocalReply::UnknownStream(retry_after) => *retry_after,
            _ => None,
        }
    }

    pub fn response(&self) -> Response<RelayBody> {
        let text = self.body_text();
        let mut response = Response::new(RelayBody::from(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry_after) = self.retry_after()
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry_after.seconds()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
