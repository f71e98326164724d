//! What a back end says of itself in the head of an answer.

use crate::header_names::HeaderNames;
use crate::{events, metrics};
use eiderferry_dispatch::RateLimit;
use eiderferry_types::Span;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use std::fmt;

/// Longest rest that a back end is believed to ask for. A longer one would take it out of use
/// after a slip of its own; one that still wants it then turns the next request away again.
const MAX_BACKOFF: Span = Span::from_milliseconds(600_000);

/// What one answer says of its back end, besides answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// It is leaving.
    pub is_leaving: bool,
    /// Time for which it wants nothing from this node.
    pub backoff: Option<Span>,
    /// Requests that it takes from all nodes together.
    pub limit: StatedLimit,
}

/// What an answer says of its back end's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StatedLimit {
    /// It names none.
    #[default]
    NotStated,
    /// It names one that can't be read.
    Malformed,
    /// It names this one.
    Stated(RateLimit),
    /// It names none any more.
    Lifted,
}

impl fmt::Display for StatedLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStated => formatter.write_str("none"),
            Self::Malformed => formatter.write_str("unreadable"),
            Self::Stated(limit) => limit.fmt(formatter),
            Self::Lifted => formatter.write_str("over"),
        }
    }
}

impl Notice {
    /// Reads the head of an answer.
    pub fn read<B>(response: &Response<B>, header_names: &HeaderNames) -> Self {
        let headers = response.headers();
        let leaving = headers.get(&header_names.leaving);
        let is_refusal = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let retry_after = headers.get(RETRY_AFTER).filter(|_| is_refusal);
        Self {
            is_leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
            backoff: retry_after.and_then(read_backoff),
            limit: headers
                .get(&header_names.rate_limit)
                .map_or(StatedLimit::NotStated, read_limit),
        }
    }

    /// Whether it says nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

fn read_number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok()
}

/// A rest in seconds. Dates, the other form of the header, are of no use here: clocks differ.
fn read_backoff(value: &HeaderValue) -> Option<Span> {
    let seconds = read_number(value);
    let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) else {
        metrics::invalid_notice();
        events::invalid_backoff(value);
        return None;
    };
    Some(Span::from_seconds(seconds).min(MAX_BACKOFF))
}

/// A limit in requests a second.
fn read_limit(value: &HeaderValue) -> StatedLimit {
    let limit = read_number(value).and_then(RateLimit::from_requests_per_second);
    limit.map_or_else(
        || {
            metrics::invalid_notice();
            events::invalid_limit(value);
            StatedLimit::Malformed
        },
        StatedLimit::Stated,
    )
}
