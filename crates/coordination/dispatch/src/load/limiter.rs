//! Limits the requests that this node sends to a back end with a stated rate limit.
//!
//! The limit applies to the requests of all nodes together, and a node can't ask the others
//! before each request. So a few nodes, the first in an order that every node computes by
//! rendezvous hashing, share the limit and send at a steady rate; all others send nothing. A node
//! accumulates no credit while it has nothing to send: with one saved request on each of 2,200
//! nodes, a burst of traffic would send all of them at once.

use crate::RateLimit;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

/// Requests per second for each sender; one more node becomes a sender for each multiple. If
/// senders had lower rates, the fleet would exceed the limit over a few seconds, because each
/// node sends whole requests.
const MIN_RATE_PER_SENDER: f64 = 1.0;
/// Lowest rate at which requests are sent to a back end, in requests per second, whatever limit
/// it states: without requests no node would learn that the limit was lifted.
const MIN_RATE: f64 = 1.0 / 60.0;
/// Time without a notice from a limited back end after which other nodes probe whether the limit
/// still holds: the senders may have no requests for it. It is longer than a notice takes to
/// reach all nodes.
const MIN_SILENCE: Span = Span::from_milliseconds(10_000);
/// The same as a multiple of the time between two requests at the limit; the longer of the two
/// applies.
const SILENT_INTERVALS: f64 = 3.0;
/// Share of the limit that the probes of all nodes use together.
const PROBING_SHARE: f64 = 0.5;
/// Time within which a node that is selected to probe may send its probe.
pub(crate) const PROBE_WINDOW: Span = Span::from_milliseconds(1_000);

/// Role of a node for a limited back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRole {
    /// Only other nodes send requests to it.
    #[default]
    OtherNodes,
    /// This node is one of the senders, with this time between two requests.
    Sender(Span),
}

/// A back end whose limit, or this node's role for it, has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The back end's instance.
    pub instance: InstanceId,
    /// The limit and this node's role; `None` if the limit was lifted.
    pub state: Option<(RateLimit, LimitRole)>,
}

/// The latest statement of a back end about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitNotice {
    /// The limit; `None` if it was lifted.
    pub limit: Option<RateLimit>,
    /// When the back end stated it, by this node's clock.
    pub reported_at: Timestamp,
}

/// Rate of the requests of all nodes under a limit, in requests per second.
fn rate(limit: RateLimit) -> f64 {
    limit.requests_per_second().max(MIN_RATE)
}

/// Time between two requests of all nodes together.
fn interval(limit: RateLimit) -> Span {
    Span::from_seconds(1.0 / rate(limit))
}

/// Time in which back ends with these limits together accept one request; `None` if there are no
/// limits.
pub(crate) fn combined_interval(limits: impl Iterator<Item = RateLimit>) -> Option<Span> {
    let total_rate: f64 = limits.map(rate).sum();
    (total_rate > 0.0).then(|| Span::from_seconds(1.0 / total_rate))
}

/// Number of nodes that share a limit, in a fleet of `nodes` nodes.
pub(crate) fn sender_count(limit: RateLimit, nodes: usize) -> usize {
    // The cast saturates: all nodes share an extremely high limit.
    let sender_count = (rate(limit) / MIN_RATE_PER_SENDER) as usize;
    sender_count.clamp(1, nodes.max(1))
}

/// Probability with which each of `nodes` nodes is selected to probe a back end without recent
/// notices.
pub(crate) fn probing_probability(limit: RateLimit, nodes: usize) -> f64 {
    let turns = rate(limit) * PROBING_SHARE * PROBE_WINDOW.seconds();
    (turns / nodes.max(1) as f64).min(1.0)
}

/// A back end's rate limit, and this node's role for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Limiter {
    notice: Option<LimitNotice>,
    role: LimitRole,
    last_sent_at: Option<Timestamp>,
    /// Earliest time of this node's first request after it has become a sender.
    first_send_at: Timestamp,
    probing_until: Option<Timestamp>,
    last_reported_state: Option<(RateLimit, LimitRole)>,
}

impl Limiter {
    /// Sets the latest notice of the back end.
    pub fn set_notice(&mut self, notice: Option<LimitNotice>) {
        self.notice = notice;
    }

    /// The limit, if there is one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit_and_time().map(|(limit, _)| limit)
    }

    /// This node's role for the back end.
    pub fn role(&self) -> LimitRole {
        self.role
    }

    /// Whether a request may be sent to the back end now.
    pub fn may_send_request(&self, now: Timestamp) -> bool {
        let is_probe = self.probing_until.is_some_and(|until| now < until);
        self.limit().is_none() || is_probe || self.is_scheduled_send_due(now)
    }

    fn is_scheduled_send_due(&self, now: Timestamp) -> bool {
        let LimitRole::Sender(interval) = self.role else {
            return false;
        };
        let last_sent_at = self.last_sent_at;
        now >= self.first_send_at && last_sent_at.is_none_or(|last| now.since(last) >= interval)
    }

    /// Records a request sent by this node.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
        self.probing_until = None;
    }

    /// Updates this node's role; `share` returns its share of a given limit, or `None` if it is
    /// not a sender.
    pub fn update_role(&mut self, share: impl FnOnce(RateLimit) -> Option<SenderShare>) {
        let before = std::mem::take(&mut self.role);
        let Some((limit, reported_at)) = self.limit_and_time() else {
            return;
        };
        let Some(share) = share(limit) else {
            return;
        };
        let interval = interval(limit).scaled(share.sender_count as f64);
        if before == LimitRole::OtherNodes {
            // Another sender may have sent the request whose response stated the limit, so this
            // node waits for an interval. Senders that start together are spread over one more.
            let intervals = 1.0 + share.index as f64 / share.sender_count as f64;
            self.first_send_at = reported_at + interval.scaled(intervals);
        }
        self.role = LimitRole::Sender(interval);
    }

    /// The limit, if this node is not a sender and there was no notice for so long that the
    /// senders probably have no requests for the back end.
    pub fn stale_limit(&self, now: Timestamp) -> Option<RateLimit> {
        let (limit, reported_at) = self.limit_and_time()?;
        let max_silence = MIN_SILENCE.max(interval(limit).scaled(SILENT_INTERVALS));
        let is_silent = now.since(reported_at) > max_silence;
        (self.role == LimitRole::OtherNodes && is_silent).then_some(limit)
    }

    /// The limit, if there is one, and when the back end last stated it.
    fn limit_and_time(&self) -> Option<(RateLimit, Timestamp)> {
        let notice = self.notice?;
        Some((notice.limit?, notice.reported_at))
    }

    /// Allows this node to send one request to probe whether the limit still holds.
    pub fn begin_probing(&mut self, now: Timestamp) {
        self.probing_until = Some(now + PROBE_WINDOW);
    }

    /// Returns the state of the limit if it has changed since the last call.
    pub fn take_change(&mut self, instance: &InstanceId) -> Option<LimitChange> {
        let state = self.limit().map(|limit| (limit, self.role));
        let before = std::mem::replace(&mut self.last_reported_state, state);
        (before != state).then(|| LimitChange {
            instance: instance.clone(),
            state,
        })
    }
}

/// A sender's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SenderShare {
    /// Index among the senders, from 0.
    pub index: usize,
    /// Number of senders.
    pub sender_count: usize,
}
