//! Answers that this node gives by itself.

use crate::answer::RelayBody;
use eiderferry_types::{Reason, RequestDigest, Span, Verdict};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};

/// Why a request gets no back end's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnAnswer {
    /// No route begins the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// A header is missing or can't be read.
    BadHeader(&'static str),
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body did not come.
    BodyBroken,
    /// The request has not run and will not.
    NotRun(Reason, Span),
    /// What the request needs does not fit in memory; nothing of it has run.
    NoMemory(Span),
    /// The request may have run; its answer is lost.
    AnswerLost,
    /// The time of the request's route has passed; it may have run.
    TimedOut,
    /// Back ends crash under the request; it is not sent to any more of them.
    CrashesBackEnds(CrashVerdict),
}

/// What is said of a request that crashes back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashVerdict {
    pub digest: RequestDigest,
    /// Time for which it is refused.
    pub lasts: Span,
    /// Whether this attempt of the caller's had reached a back end before.
    pub verdict: Verdict,
}

impl OwnAnswer {
    pub fn status(&self) -> StatusCode {
        match self {
            OwnAnswer::NoRoute => StatusCode::NOT_FOUND,
            OwnAnswer::UnknownKey => StatusCode::UNAUTHORIZED,
            OwnAnswer::BadHeader(_) | OwnAnswer::BodyBroken => StatusCode::BAD_REQUEST,
            OwnAnswer::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OwnAnswer::NotRun(..) | OwnAnswer::NoMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            OwnAnswer::AnswerLost => StatusCode::BAD_GATEWAY,
            OwnAnswer::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            // Neither 503, which asks the caller to come again, nor 4xx, which says that the
            // request breaks a rule of the interface.
            OwnAnswer::CrashesBackEnds(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    pub fn reason(&self) -> &'static str {
        match self {
            OwnAnswer::NoRoute => "no_route",
            OwnAnswer::UnknownKey => "unknown_key",
            OwnAnswer::BadHeader(name) => name,
            OwnAnswer::BodyTooLarge => "body_too_large",
            OwnAnswer::BodyBroken => "body_broken",
            OwnAnswer::NotRun(reason, _) => reason.as_str(),
            OwnAnswer::NoMemory(_) => "memory",
            OwnAnswer::AnswerLost => "answer_lost",
            OwnAnswer::TimedOut => "timed_out",
            OwnAnswer::CrashesBackEnds(_) => Reason::CrashesBackEnds.as_str(),
        }
    }

    pub fn verdict(&self) -> Verdict {
        match self {
            OwnAnswer::AnswerLost | OwnAnswer::TimedOut => Verdict::MayHaveRun,
            OwnAnswer::CrashesBackEnds(crashes) => crashes.verdict,
            _ => Verdict::NotRun,
        }
    }

    fn closes_connection(&self) -> bool {
        matches!(
            self,
            OwnAnswer::BodyTooLarge | OwnAnswer::BodyBroken | OwnAnswer::NoMemory(_)
        )
    }

    /// What the request asks, where the answer is about that.
    pub fn digest(&self) -> Option<RequestDigest> {
        match self {
            OwnAnswer::CrashesBackEnds(crashes) => Some(crashes.digest),
            _ => None,
        }
    }

    fn text(&self) -> String {
        match self {
            OwnAnswer::CrashesBackEnds(crashes) => format!(
                "{}: back ends crashed each time that this request ran; it is refused for {:.0} s \
                 (digest {})\n",
                self.reason(),
                crashes.lasts.seconds(),
                crashes.digest
            ),
            _ => format!("{}\n", self.reason()),
        }
    }

    pub fn response(&self) -> Response<RelayBody> {
        let text = self.text();
        let mut response = Response::new(RelayBody::from(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let OwnAnswer::NotRun(_, span) | OwnAnswer::NoMemory(span) = self
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", span.seconds()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
