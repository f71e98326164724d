//! Requests under which back ends crash: noted here, told to other nodes, refused on all.

use crate::message::Message;
use crate::node::Node;
use eiderferry_quarantine::{QuarantineChange, RequestReport};
use eiderferry_types::{BackEndId, NodeId, Reason, Refusal, RequestDigest, Verdict};
use rand::seq::IndexedRandom;

/// Nodes of the own zone, and elsewhere, that hear of a crash at once; from there it goes on.
const ZONE_FANOUT: usize = 8;
const REMOTE_FANOUT: usize = 2;

impl Node {
    /// The refusal of a request under which back ends crash, if it is one. Coming again does not
    /// help.
    pub(crate) fn crash_refusal(&self, request: RequestDigest) -> Option<Refusal> {
        self.quarantine.status(request, self.now)?;
        Some(Refusal {
            verdict: Verdict::NotRun,
            reason: Reason::CrashesBackEnds,
            retry_after: None,
        })
    }

    /// Notes that a back end crashed under a request, and tells some nodes at once.
    pub(crate) fn record_crash(&mut self, request: RequestDigest, back_end: BackEndId) {
        let change = self.quarantine.record_crash(request, back_end.0, self.now);
        self.emit_quarantine_change(change);
        for peer in self.sample_crash_report_peers() {
            self.send_crash_reports(peer);
        }
    }

    /// Notes that a request ended well.
    pub(crate) fn record_success(&mut self, request: RequestDigest) {
        let change = self.quarantine.record_completed(request, self.now);
        self.emit_quarantine_change(change);
    }

    fn sample_crash_report_peers(&mut self) -> Vec<NodeId> {
        let (zone, remote) = (self.fleet.zone_peers(), self.fleet.remote_peers());
        let random = &mut self.random;
        let chosen = zone.choose_multiple(random, ZONE_FANOUT).copied();
        let mut peers: Vec<NodeId> = chosen.collect();
        peers.extend(remote.choose_multiple(random, REMOTE_FANOUT));
        peers
    }

    /// Tells a node what is known of such requests, if anything is.
    pub(crate) fn send_crash_reports(&mut self, peer: NodeId) {
        let reports = self.quarantine.reports(self.now);
        if !reports.is_empty() {
            self.send(peer, Message::CrashingRequests { reports });
        }
    }

    /// A node that has just started knows of none.
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

    /// Forgets what is too old.
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
