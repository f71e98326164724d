//! Quarantine of requests and prompt parts that crash back ends: crashes are recorded, reported to
//! other nodes, and the requests are refused on all nodes.

use crate::message::Message;
use crate::node::Node;
use crate::request::Submission;
use eiderferry_admission::Observation;
use eiderferry_quarantine::{
    InterruptedRun, PartChange, PartReport, QuarantineChange, RequestReport,
};
use eiderferry_types::{BackEndId, NodeId, Reason, Refusal, Span, Timestamp, Verdict};
use rand::seq::IndexedRandom;

/// Peers in the own zone that get a report immediately after a crash; all others learn of
/// it from the reports that accompany pings.
const OWN_ZONE_FANOUT: usize = 8;
/// Longest time between the first token of a response and a crash that its prompt can have caused.
const MAX_CRASH_DELAY: Span = Span::from_milliseconds(500);
/// Peers in other zones that get a report immediately after a crash.
const OTHER_ZONE_FANOUT: usize = 2;

impl Node {
    /// The refusal of a request if it, or a part of its prompt, is quarantined. It names no time to
    /// retry after, because retrying doesn't help.
    pub(crate) fn crash_refusal(&self, submission: &Submission) -> Option<Refusal> {
        let parts = &submission.shared_parts;
        let is_refused = self
            .quarantine
            .status(submission.digest, self.now)
            .is_some()
            || self.part_quarantine.refusal(parts, self.now).is_some();
        is_refused.then_some(Refusal {
            verdict: Verdict::NotRun,
            reason: Reason::CrashesBackEnds,
            retry_after: None,
        })
    }

    /// Records that a back end crashed while it ran a request, and reports it to some
    /// peers immediately.
    pub(crate) fn record_crash(
        &mut self,
        submission: &Submission,
        back_end: BackEndId,
        observation: &Observation,
    ) {
        let now = self.now;
        let writing_time = observation.first_token.map(|_| {
            let gaps = u64::from(observation.tokens.saturating_sub(1));
            Span(observation.per_token.unwrap_or_default().0 * gaps)
        });
        // A back end that has been writing for longer survived the start of this response.
        if writing_time.is_none_or(|time| time <= MAX_CRASH_DELAY) {
            let run = InterruptedRun {
                parts: &submission.shared_parts,
                back_end: back_end.0,
                is_at_start: writing_time.is_some(),
            };
            let changes = self.part_quarantine.record_crash(&run, now);
            self.emit_part_changes(changes);
        }
        if !self.part_quarantine.explains(back_end.0, now) {
            let request = submission.digest;
            let change = self.quarantine.record_crash(request, back_end.0, now);
            self.emit_quarantine_change(change);
        }
        for peer in self.sample_crash_report_peers() {
            self.send_crash_reports(peer);
        }
    }

    /// Records that a request completed, which counts against its quarantine.
    pub(crate) fn record_success(&mut self, submission: &Submission) {
        let changes = self
            .part_quarantine
            .record_sound_run(&submission.shared_parts, self.now);
        self.emit_part_changes(changes);
        let change = self
            .quarantine
            .record_completed(submission.digest, self.now);
        self.emit_quarantine_change(change);
    }

    fn sample_crash_report_peers(&mut self) -> Vec<NodeId> {
        let (same_zone_peers, other_zone_peers) =
            (self.fleet.same_zone_peers(), self.fleet.other_zone_peers());
        let random = &mut self.random;
        let chosen = same_zone_peers
            .choose_multiple(random, OWN_ZONE_FANOUT)
            .copied();
        let mut peers: Vec<NodeId> = chosen.collect();
        peers.extend(other_zone_peers.choose_multiple(random, OTHER_ZONE_FANOUT));
        peers
    }

    /// Sends the known crash reports to a peer, if there are any.
    pub(crate) fn send_crash_reports(&mut self, peer: NodeId) {
        let reports = self.quarantine.reports(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingRequests { reports });
        }
        let reports = self.part_quarantine.reports(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingParts { reports });
        }
    }

    /// Sends the crash reports that a peer needs after its start.
    pub(crate) fn send_crash_reports_at_start(&mut self, peer: NodeId) {
        let reports = self.quarantine.reports_at_start(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingRequests { reports });
        }
        let reports = self.part_quarantine.reports_at_start(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingParts { reports });
        }
    }

    pub(crate) fn handle_crashing_requests(&mut self, reports: &[RequestReport]) {
        let now = self.now;
        let mut reports = reports.to_vec();
        for report in &mut reports {
            report.crashes.retain(|crash| {
                let at = now - Span::from_milliseconds(u64::from(crash.age_ms));
                !self.part_quarantine.explains(crash.back_end, at)
            });
        }
        reports.retain(|report| !report.crashes.is_empty() || report.completion_age_ms.is_some());
        for change in self.quarantine.merge_reports(&reports, now) {
            self.emit_quarantine_change(Some(change));
        }
    }

    pub(crate) fn handle_crashing_parts(&mut self, reports: &[PartReport]) {
        let changes = self.part_quarantine.merge_reports(reports, self.now);
        self.emit_part_changes(changes);
    }

    /// Drops expired crash records.
    pub(crate) fn tick_quarantine(&mut self) {
        for change in self.quarantine.expire(self.now) {
            self.emit_quarantine_change(Some(change));
        }
        let changes = self.part_quarantine.expire(self.now);
        self.emit_part_changes(changes);
    }

    /// Reports changes, and releases the requests whose crashes newly quarantined parts explain.
    fn emit_part_changes(&mut self, changes: Vec<PartChange>) {
        let has_new = changes
            .iter()
            .any(|change| matches!(change, PartChange::Quarantined { .. }));
        if has_new {
            let parts = &self.part_quarantine;
            let is_explained = |back_end: u32, at: Timestamp| parts.explains(back_end, at);
            for change in self.quarantine.remove_explained(is_explained, self.now) {
                self.emit(crate::Output::QuarantineChanged(change));
            }
        }
        for change in changes {
            self.emit(crate::Output::PartQuarantineChanged(change));
        }
    }

    fn emit_quarantine_change(&mut self, change: Option<QuarantineChange>) {
        if let Some(change) = change {
            self.emit(crate::Output::QuarantineChanged(change));
        }
    }
}
