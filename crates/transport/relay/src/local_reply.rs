//! Answers that this node gives by itself.

use crate::answer::RelayBody;
use eiderferry_types::{Reason, RequestDigest, Span, Verdict};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

/// Why a request gets no back end's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// No route begins the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// A header is missing or can't be read.
    BadHeader(&'static str),
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body did not come.
    IncompleteBody,
    /// The request has not run and will not.
    NotRun(Reason, Span),
    /// What the request needs does not fit in memory; nothing of it has run.
    NoMemory(Span),
    /// The request may have run; its answer is lost.
    ResponseLost,
    /// The time of the request's route has passed; it may have run.
    TimedOut,
    /// Back ends crash under the request; it is not sent to any more of them.
    CrashesBackEnds(CrashRefusal),
}

/// What is said of a request that crashes back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashRefusal {
    pub digest: RequestDigest,
    /// Time for which it is refused.
    pub duration: Span,
    /// Whether this attempt of the caller's had reached a back end before.
    pub verdict: Verdict,
}

impl LocalReply {
    pub fn status(&self) -> StatusCode {
        match self {
            LocalReply::NoRoute => StatusCode::NOT_FOUND,
            LocalReply::UnknownKey => StatusCode::UNAUTHORIZED,
            LocalReply::BadHeader(_) | LocalReply::IncompleteBody => StatusCode::BAD_REQUEST,
            LocalReply::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalReply::NotRun(..) | LocalReply::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            LocalReply::ResponseLost => StatusCode::BAD_GATEWAY,
            LocalReply::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            // Neither 503, which asks the caller to come again, nor 4xx, which says that the
            // request breaks a rule of the interface.
            LocalReply::CrashesBackEnds(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    pub fn reason(&self) -> &'static str {
        match self {
            LocalReply::NoRoute => "no_route",
            LocalReply::UnknownKey => "unknown_key",
            LocalReply::BadHeader(name) => name,
            LocalReply::BodyTooLarge => "body_too_large",
            LocalReply::IncompleteBody => "body_broken",
            LocalReply::NotRun(reason, _) => reason.as_str(),
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
            LocalReply::BodyTooLarge | LocalReply::IncompleteBody | LocalReply::NoMemory(_)
        )
    }

    /// What the request asks, where the answer is about that.
    pub fn digest(&self) -> Option<RequestDigest> {
        match self {
            LocalReply::CrashesBackEnds(refusal) => Some(refusal.digest),
            _ => None,
        }
    }

    fn body_text(&self) -> String {
        match self {
            LocalReply::CrashesBackEnds(refusal) => format!(
                "{}: back ends crashed each time that this request ran; it is refused for {:.0} s \
                 (digest {})\n",
                self.reason(),
                refusal.duration.seconds(),
                refusal.digest
            ),
            _ => format!("{}\n", self.reason()),
        }
    }

    pub fn response(&self) -> Response<RelayBody> {
        let text = self.body_text();
        let mut response = Response::new(RelayBody::from(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let LocalReply::NotRun(_, retry_after) | LocalReply::NoMemory(retry_after) = self
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
