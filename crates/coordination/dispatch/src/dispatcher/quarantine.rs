//! Quarantine of requests and prompt parts that crash back ends: records crashes and sound runs,
//! exchanges reports with peers and refuses such requests.

use super::Dispatcher;
use crate::fleet::message::{Envelope, Gossip};
use crate::{Decision, Demand, RunProgress};
use eiderferry_quarantine::{
    InterruptedRun, PartChange, PartReport, QuarantineChange, RequestReport, SharedParts,
};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};

/// Shortest interval between two crash announcements: all requests that ran on a crashed back end
/// fail within some milliseconds.
const MIN_ANNOUNCEMENT_INTERVAL: Span = Span::from_milliseconds(50);
/// Longest time between the start of a response and a crash that it can have caused. Such crashes
/// were seen 20 to 120 ms after it.
const MAX_CRASH_DELAY: Span = Span::from_milliseconds(500);
/// Time from the first event of a run to a later one from which the run shows that none of its parts
/// crashes back ends.
pub const SOUND_WRITING_TIME: Span = Span::from_milliseconds(1_000);

/// Whether crashes are still to be announced, and when the last announcement was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingCrashReports {
    has_unannounced: bool,
    announced_at: Option<Timestamp>,
}

/// A run of this node that was interrupted by the crash of its back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// The request.
    pub request: RequestDigest,
    /// The shared parts of its prompt.
    pub shared_parts: SharedParts,
    /// The back end.
    pub instance: InstanceId,
    /// How far the run had come.
    pub progress: RunProgress,
}

/// Changes of the quarantine of requests and prompt parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Requests whose quarantine began or ended.
    pub requests: Vec<QuarantineChange>,
    /// Prompt parts whose quarantine began or ended.
    pub parts: Vec<PartChange>,
}

impl QuarantineChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
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
    pub fn record_crash(&mut self, run: &CrashedRun, now: Timestamp) -> QuarantineChanges {
        if !self.settings.features.quarantine {
            return QuarantineChanges::default();
        }
        self.pending_crash_reports.has_unannounced = true;
        let back_end = run.instance.digest() as u32;
        let is_at_start = match run.progress {
            RunProgress::Waiting => false,
            RunProgress::Started(duration) => duration <= MAX_CRASH_DELAY,
            RunProgress::Writing(duration) if duration <= MAX_CRASH_DELAY => true,
            // The back end survived the start of this response.
            RunProgress::Writing(_) => return self.record_request_crash(run, back_end, now),
        };
        let parts = self.part_quarantine.record_crash(
            &InterruptedRun {
                parts: &run.shared_parts,
                back_end,
                is_at_start,
            },
            now,
        );
        let mut changes = self.apply_part_changes(parts, now);
        let request = self.record_request_crash(run, back_end, now);
        changes.requests.extend(request.requests);
        changes
    }

    fn record_request_crash(
        &mut self,
        run: &CrashedRun,
        back_end: u32,
        now: Timestamp,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        if !self.part_quarantine.explains(back_end, now) {
            let change = self.quarantine.record_crash(run.request, back_end, now);
            changes.requests.extend(change);
        }
        changes
    }

    /// Records that a run of this node completed successfully.
    pub(super) fn record_completed(
        &mut self,
        request: RequestDigest,
        parts: &SharedParts,
        now: Timestamp,
    ) -> QuarantineChanges {
        let mut changes = self.record_sound_run(parts, now);
        let request = self.quarantine.record_completed(request, now);
        changes.requests.extend(request);
        changes
    }

    /// Records that a run of this node shows that none of its parts crashes back ends.
    pub(super) fn record_sound_run(
        &mut self,
        parts: &SharedParts,
        now: Timestamp,
    ) -> QuarantineChanges {
        let parts = self.part_quarantine.record_sound_run(parts, now);
        self.apply_part_changes(parts, now)
    }

    /// Drops expired records.
    pub(super) fn expire_quarantine(&mut self, now: Timestamp) -> QuarantineChanges {
        if !self.settings.features.quarantine {
            return QuarantineChanges::default();
        }
        let parts = self.part_quarantine.expire(now);
        let mut changes = self.apply_part_changes(parts, now);
        changes.requests.extend(self.quarantine.expire(now));
        changes
    }

    /// Returns the refusal of a request that is quarantined, or whose prompt contains a part that
    /// is.
    pub(super) fn refuse_crashing(&self, demand: &Demand, now: Timestamp) -> Option<Decision> {
        if !self.settings.features.quarantine {
            return None;
        }
        let request = self.quarantine.status(demand.digest, now);
        let parts = || self.part_quarantine.refusal(&demand.shared_parts, now);
        let remaining = request
            .map(|status| status.remaining)
            .or_else(|| Some(parts()?.remaining))?;
        Some(Decision::Refuse(Reason::CrashesBackEnds, remaining))
    }

    pub(super) fn apply_crashing_requests(
        &mut self,
        message: &Gossip,
        now: Timestamp,
    ) -> QuarantineChanges {
        if !self.settings.features.quarantine {
            return QuarantineChanges::default();
        }
        let time_at_age = |age_ms: u32| now - Span::from_milliseconds(u64::from(age_ms));
        let parts = self
            .part_quarantine
            .merge_reports(&message.crashing_parts, now);
        let mut changes = self.apply_part_changes(parts, now);
        let mut reports = message.crashing_requests.clone();
        for report in &mut reports {
            let part_quarantine = &self.part_quarantine;
            report.crashes.retain(|crash| {
                !part_quarantine.explains(crash.back_end, time_at_age(crash.age_ms))
            });
        }
        reports.retain(|report| !report.crashes.is_empty() || report.completion_age_ms.is_some());
        let requests = self.quarantine.merge_reports(&reports, now);
        changes.requests.extend(requests);
        changes
    }

    /// Releases the requests whose crashes the newly quarantined parts explain.
    fn apply_part_changes(&mut self, parts: Vec<PartChange>, now: Timestamp) -> QuarantineChanges {
        let has_new = parts
            .iter()
            .any(|change| matches!(change, PartChange::Quarantined { .. }));
        let requests = if has_new {
            let part_quarantine = &self.part_quarantine;
            let is_explained = |back_end, at| part_quarantine.explains(back_end, at);
            self.quarantine.remove_explained(is_explained, now)
        } else {
            Vec::new()
        };
        QuarantineChanges { requests, parts }
    }

    pub(super) fn crashing_requests(&mut self, now: Timestamp) -> Vec<RequestReport> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.quarantine.reports(now)
    }

    pub(super) fn crashing_parts(&mut self, now: Timestamp) -> Vec<PartReport> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.part_quarantine.reports(now)
    }
}
