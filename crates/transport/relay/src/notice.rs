//! What a back end says of itself in the head of an answer.

use crate::vocabulary::Vocabulary;
use crate::{events, metrics};
use eiderferry_dispatch::RateLimit;
use eiderferry_types::Span;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use std::fmt;

/// Longest rest that a back end is believed to ask for. A longer one would take it out of use
/// after a slip of its own; one that still wants it then turns the next request away again.
const LONGEST_REST: Span = Span::from_milliseconds(600_000);

/// What one answer says of its back end, besides answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// It is leaving.
    pub is_leaving: bool,
    /// Time for which it wants nothing from this node.
    pub rest: Option<Span>,
    /// Requests that it takes from all nodes together.
    pub limit: NamedLimit,
}

/// What an answer says of its back end's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum NamedLimit {
    /// It names none.
    #[default]
    Unnamed,
    /// It names one that can't be read.
    Unreadable,
    /// It names this one.
    Named(RateLimit),
    /// It names none any more.
    Over,
}

impl fmt::Display for NamedLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => formatter.write_str("none"),
            Self::Unreadable => formatter.write_str("unreadable"),
            Self::Named(limit) => limit.fmt(formatter),
            Self::Over => formatter.write_str("over"),
        }
    }
}

impl Notice {
    /// Reads the head of an answer.
    pub fn read<B>(response: &Response<B>, vocabulary: &Vocabulary) -> Self {
        let headers = response.headers();
        let leaving = headers.get(&vocabulary.leaving);
        let turns_away = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let rest = headers.get(RETRY_AFTER).filter(|_| turns_away);
        Self {
            is_leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
            rest: rest.and_then(read_rest),
            limit: headers
                .get(&vocabulary.rate_limit)
                .map_or(NamedLimit::Unnamed, read_limit),
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
fn read_rest(value: &HeaderValue) -> Option<Span> {
    let seconds = read_number(value);
    let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) else {
        metrics::notice_doubtful();
        events::rest_unreadable(value);
        return None;
    };
    Some(Span::from_seconds(seconds).min(LONGEST_REST))
}

/// A limit in requests a second.
fn read_limit(value: &HeaderValue) -> NamedLimit {
    let limit = read_number(value).and_then(RateLimit::from_requests_per_second);
    limit.map_or_else(
        || {
            metrics::notice_doubtful();
            events::limit_unreadable(value);
            NamedLimit::Unreadable
        },
        NamedLimit::Named,
    )
}
