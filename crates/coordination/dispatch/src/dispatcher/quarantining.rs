//! Requests under which back ends crash: what this node notes, hears and tells of them.

use super::Dispatcher;
use crate::fleet::message::{Envelope, Gossip};
use crate::{Decision, Demand, QuarantineChange};
use eiderferry_quarantine::RequestReport;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};

/// Shortest time between two messages that tell of crashes at once: all that ran on a back end
/// breaks off within some milliseconds.
const SHORTEST_INTERVAL: Span = Span::from_milliseconds(50);

/// What this node has still to tell of crashes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingCrashReports {
    is_untold: bool,
    told_at: Option<Timestamp>,
}

impl Dispatcher {
    /// The message that tells other nodes at once of crashes under this node's requests, if there
    /// is something to tell and none was sent just now. With the messages of the next turn
    /// alone, a node elsewhere hears of them up to 0.4 s later, while copies of the request
    /// crash more.
    pub fn crash_announcement(&mut self, now: Timestamp) -> Option<Envelope> {
        let last = self.crash_news.told_at;
        let is_soon = last.is_some_and(|last| now.since(last) < SHORTEST_INTERVAL);
        if !self.crash_news.is_untold || is_soon {
            return None;
        }
        self.crash_news = PendingCrashReports {
            is_untold: false,
            told_at: Some(now),
        };
        Some(self.announce(true, now))
    }

    /// A back end crashed under a request of this node.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        instance: &InstanceId,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        if !self.settings.features.quarantine {
            return None;
        }
        self.crash_news.is_untold = true;
        let back_end = instance.digest() as u32;
        self.quarantine.record_crash(request, back_end, now)
    }

    /// Refuses a request under which back ends crash.
    pub(super) fn refuse_crashing(&self, demand: &Demand, now: Timestamp) -> Option<Decision> {
        if !self.settings.features.quarantine {
            return None;
        }
        let quarantined = self.quarantine.status(demand.digest, now)?;
        Some(Decision::Refuse(
            Reason::CrashesBackEnds,
            quarantined.remaining,
        ))
    }

    pub(super) fn apply_crashing_requests(
        &mut self,
        message: &Gossip,
        now: Timestamp,
    ) -> Vec<QuarantineChange> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.quarantine
            .merge_reports(&message.crashing_requests, now)
    }

    pub(super) fn crashing_requests(&mut self, now: Timestamp) -> Vec<RequestReport> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.quarantine.reports(now)
    }
}
