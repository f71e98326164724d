//! Statements of a back end about itself in the head of a response.

use crate::header_names::HeaderNames;
use crate::{events, metrics};
use eiderferry_dispatch::RateLimit;
use eiderferry_types::Span;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use std::fmt;

/// Maximum Retry-After that is honoured. A longer one, sent by mistake, would take the back end out
/// of use; a back end that really needs longer refuses the next request again.
const MAX_BACKOFF: Span = Span::from_milliseconds(600_000);

/// What one response states about its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// The back end is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this node.
    pub backoff: Option<Span>,
    /// Its limit for requests from all nodes together.
    pub limit: StatedLimit,
}

/// What a response states about its back end's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StatedLimit {
    /// No limit is stated.
    #[default]
    NotStated,
    /// The stated limit can't be parsed.
    Malformed,
    /// This limit is stated.
    Stated(RateLimit),
    /// An earlier limit no longer applies.
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
    /// Reads the notice from the head of a response.
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

    /// Whether nothing is stated.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

fn read_number(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?;
    text.trim().parse().ok()
}

/// Parses a Retry-After in seconds. The header's other form, a date, is not supported because the
/// clocks of node and back end differ.
fn read_backoff(value: &HeaderValue) -> Option<Span> {
    let seconds = read_number(value);
    let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) else {
        metrics::invalid_notice();
        events::invalid_backoff(value);
        return None;
    };
    Some(Span::from_seconds(seconds).min(MAX_BACKOFF))
}

/// Parses a rate limit in requests per second.
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
