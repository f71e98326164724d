//! Quarantine of requests that crash back ends: records crashes, exchanges reports with peers and
//! refuses such requests.

use super::Dispatcher;
use crate::fleet::message::{Envelope, Gossip};
use crate::{Decision, Demand, QuarantineChange};
use eiderferry_quarantine::RequestReport;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};

/// Shortest interval between two crash announcements: all requests that ran on a crashed back end
/// fail within some milliseconds.
const MIN_ANNOUNCEMENT_INTERVAL: Span = Span::from_milliseconds(50);

/// Whether crashes are still to be announced, and when the last announcement was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingCrashReports {
    has_unannounced: bool,
    announced_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Returns an announcement of crashes under this node's requests, if there are unannounced ones
    /// and none was sent just now. With the periodic messages alone, a remote node learns of them
    /// up to 0.4 s later, while copies of the request crash more back ends.
    pub fn crash_announcement(&mut self, now: Timestamp) -> Option<Envelope> {
        let last = self.pending_crash_reports.announced_at;
        let is_too_early = last.is_some_and(|last| now.since(last) < MIN_ANNOUNCEMENT_INTERVAL);
        if !self.pending_crash_reports.has_unannounced || is_too_early {
            return None;
        }
        self.pending_crash_reports = PendingCrashReports {
            has_unannounced: false,
            announced_at: Some(now),
        };
        Some(self.announce(true, now))
    }

    /// Records that a back end crashed under a request of this node.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        instance: &InstanceId,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        if !self.settings.features.quarantine {
            return None;
        }
        self.pending_crash_reports.has_unannounced = true;
        let back_end = instance.digest() as u32;
        self.quarantine.record_crash(request, back_end, now)
    }

    /// Returns the refusal of a request that is quarantined.
    pub(super) fn refuse_crashing(&self, demand: &Demand, now: Timestamp) -> Option<Decision> {
        if !self.settings.features.quarantine {
            return None;
        }
        let status = self.quarantine.status(demand.digest, now)?;
        Some(Decision::Refuse(Reason::CrashesBackEnds, status.remaining))
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
