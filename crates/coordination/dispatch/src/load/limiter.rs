//! What this node may send to a back end that has named a rate limit.
//!
//! The limit holds for the sum over all nodes, and no node can ask the others before each
//! request. So a few nodes, the first in an order that all compute alike by hashing, share it
//! and send at a steady pace; all others send nothing. A node keeps no credit for time in which
//! it had nothing to send: with one saved request on each of 2,200 nodes a burst would bring
//! all of them at once.

use crate::RateLimit;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};

/// Requests a second from which on a further node sends: with fewer for each, more nodes would
/// add up to more than the limit within a few seconds, as each sends whole requests.
const MIN_RATE_PER_SENDER: f64 = 1.0;
/// Lowest rate at which a back end is sent requests, whatever it names: with none nobody would
/// hear that the limit is over.
const MIN_RATE: f64 = 1.0 / 60.0;
/// Silence of a limited back end after which other nodes look whether the limit still holds: the
/// senders may have no requests for it. It is longer than all nodes take to tell each other of an
/// answer.
const MIN_SILENCE: Span = Span::from_milliseconds(10_000);
/// The same in times between two requests at the limit.
const SILENT_INTERVALS: f64 = 3.0;
/// Part of the limit that these looks take together.
const PROBING_SHARE: f64 = 0.5;
/// Time for which a node may send such a request once it is its turn.
pub(crate) const PROBING_TURN: Span = Span::from_milliseconds(1_000);

/// How a node stands to a limited back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRole {
    /// Other nodes send to it.
    #[default]
    OtherNodes,
    /// This node is one of those that send to it, one request in so long.
    Sender(Span),
}

/// A back end whose limit, or this node's part in it, has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The back end.
    pub instance: InstanceId,
    /// The limit and this node's duty; `None` where there is no limit any more.
    pub state: Option<(RateLimit, LimitRole)>,
}

/// What a back end said last of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitNotice {
    /// The limit; `None` where it has none any more.
    pub limit: Option<RateLimit>,
    /// When it said so, by this node's clock.
    pub reported_at: Timestamp,
}

/// Rate at which requests are sent under a limit, of all nodes.
fn rate(limit: RateLimit) -> f64 {
    limit.requests_per_second().max(MIN_RATE)
}

/// Time between two requests of all nodes.
fn interval(limit: RateLimit) -> Span {
    Span::from_seconds(1.0 / rate(limit))
}

/// Time in which back ends with these limits together take one request.
pub(crate) fn combined_interval(limits: impl Iterator<Item = RateLimit>) -> Option<Span> {
    let total_rate: f64 = limits.map(rate).sum();
    (total_rate > 0.0).then(|| Span::from_seconds(1.0 / total_rate))
}

/// Nodes among which a limit is shared, in a fleet of so many.
pub(crate) fn senders(limit: RateLimit, nodes: usize) -> usize {
    // Saturates: an absurdly high limit is shared by all.
    let senders = (rate(limit) / MIN_RATE_PER_SENDER) as usize;
    senders.clamp(1, nodes.max(1))
}

/// Chance of each of so many nodes to have a turn at a back end of which nothing is heard.
pub(crate) fn probing_probability(limit: RateLimit, nodes: usize) -> f64 {
    let turns = rate(limit) * PROBING_SHARE * PROBING_TURN.seconds();
    (turns / nodes.max(1) as f64).min(1.0)
}

/// What a back end said of its limit, and this node's part in it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Limiter {
    notice: Option<LimitNotice>,
    role: LimitRole,
    last_sent_at: Option<Timestamp>,
    /// When this node's first request as a sender may be sent.
    first_send_at: Timestamp,
    probing_until: Option<Timestamp>,
    last_reported_state: Option<(RateLimit, LimitRole)>,
}

impl Limiter {
    /// Takes over what the back end said last.
    pub fn set_notice(&mut self, notice: Option<LimitNotice>) {
        self.notice = notice;
    }

    /// The limit, where there is one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit_and_time().map(|(limit, _)| limit)
    }

    /// How this node stands to the back end.
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
        let last = self.last_sent_at;
        now >= self.first_send_at && last.is_none_or(|last| now.since(last) >= interval)
    }

    /// Notes a request of this node.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.last_sent_at = Some(now);
        self.probing_until = None;
    }

    /// Renews this node's part in the limit; `share` tells it by the limit.
    pub fn update_role(&mut self, share: impl FnOnce(RateLimit) -> Option<SenderShare>) {
        let before = std::mem::take(&mut self.role);
        let Some((limit, reported_at)) = self.limit_and_time() else {
            return;
        };
        let Some(share) = share(limit) else {
            return;
        };
        let interval = interval(limit).scaled(share.senders as f64);
        if before == LimitRole::OtherNodes {
            // Another sender may have sent what was answered last, so that it counts here. Those
            // that begin together are spread over the time between two requests.
            let intervals = 1.0 + share.index as f64 / share.senders as f64;
            self.first_send_at = reported_at + interval.scaled(intervals);
        }
        self.role = LimitRole::Sender(interval);
    }

    /// The limit, where this node doesn't send and nothing was heard of it for so long that the
    /// senders probably have no requests for the back end.
    pub fn stale_limit(&self, now: Timestamp) -> Option<RateLimit> {
        let (limit, reported_at) = self.limit_and_time()?;
        let max_silence = MIN_SILENCE.max(interval(limit).scaled(SILENT_INTERVALS));
        let is_silent = now.since(reported_at) > max_silence;
        (self.role == LimitRole::OtherNodes && is_silent).then_some(limit)
    }

    /// The limit, where there is one, and when the back end named it last.
    fn limit_and_time(&self) -> Option<(RateLimit, Timestamp)> {
        let notice = self.notice?;
        Some((notice.limit?, notice.reported_at))
    }

    /// This node may send one request to hear whether the limit still holds.
    pub fn begin_probing(&mut self, now: Timestamp) {
        self.probing_until = Some(now + PROBING_TURN);
    }

    /// How the limit of the back end stands for this node, if that has changed since the last call.
    pub fn change(&mut self, instance: &InstanceId) -> Option<LimitChange> {
        let state = self.limit().map(|limit| (limit, self.role));
        let before = std::mem::replace(&mut self.last_reported_state, state);
        (before != state).then(|| LimitChange {
            instance: instance.clone(),
            state,
        })
    }
}

/// A sender's part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SenderShare {
    /// Its place among the senders, from 0 on.
    pub index: usize,
    /// Number of senders.
    pub senders: usize,
}
