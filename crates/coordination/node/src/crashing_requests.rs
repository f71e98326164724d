//! Quarantine of requests that crash back ends: crashes are recorded, reported to other
//! nodes, and the requests are refused on all nodes.

use crate::message::Message;
use crate::node::Node;
use eiderferry_quarantine::{QuarantineChange, RequestReport};
use eiderferry_types::{BackEndId, NodeId, Reason, Refusal, RequestDigest, Verdict};
use rand::seq::IndexedRandom;

/// Peers in the own zone that get a report immediately after a crash; all others learn of
/// it from the reports that accompany pings.
const OWN_ZONE_FANOUT: usize = 8;
/// Peers in other zones that get a report immediately after a crash.
const OTHER_ZONE_FANOUT: usize = 2;

impl Node {
    /// The refusal of a request if it is quarantined. It names no time to retry after,
    /// because retrying doesn't help.
    pub(crate) fn crash_refusal(&self, request: RequestDigest) -> Option<Refusal> {
        self.quarantine.status(request, self.now)?;
        Some(Refusal {
            verdict: Verdict::NotRun,
            reason: Reason::CrashesBackEnds,
            retry_after: None,
        })
    }

    /// Records that a back end crashed while it ran a request, and reports it to some
    /// peers immediately.
    pub(crate) fn record_crash(&mut self, request: RequestDigest, back_end: BackEndId) {
        let change = self.quarantine.record_crash(request, back_end.0, self.now);
        self.emit_quarantine_change(change);
        for peer in self.sample_crash_report_peers() {
            self.send_crash_reports(peer);
        }
    }

    /// Records that a request completed, which counts against its quarantine.
    pub(crate) fn record_success(&mut self, request: RequestDigest) {
        let change = self.quarantine.record_completed(request, self.now);
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
    }

    /// Sends the crash reports that a peer needs after its start.
    pub(crate) fn send_crash_reports_at_start(&mut self, peer: NodeId) {
        let reports = self.quarantine.reports_at_start(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingRequests { reports });
        }
    }

    pub(crate) fn handle_crashing_requests(&mut self, reports: &[RequestReport]) {
        for change in self.quarantine.merge_reports(reports, self.now) {
            self.emit_quarantine_change(Some(change));
        }
    }

    /// Drops expired crash records.
    pub(crate) fn tick_quarantine(&mut self) {
        for change in self.quarantine.expire(self.now) {
            self.emit_quarantine_change(Some(change));
        }
    }

    fn emit_quarantine_change(&mut self, change: Option<QuarantineChange>) {
        if let Some(change) = change {
            self.emit(crate::Output::QuarantineChanged(change));
        }
    }
}
