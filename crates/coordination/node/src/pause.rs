//! Detects that the process was paused.
//!
//! After a pause the node's state may be out of date. Each event therefore compares the
//! clock with the previous event's, and after a large gap the node revalidates its
//! state: it drains its queues so that the entry nodes resubmit, checks its leases, and
//! grants nothing until the platform or a peer has confirmed the directory, or until a
//! grace period has ended without a reply.

use crate::node::Node;
use crate::request::Phase;
use eiderferry_types::{Reason, Refusal, Span};
use rand::Rng;

/// Gap between two events from which on the process counts as paused; ticks are far more
/// frequent.
const PAUSE_THRESHOLD: Span = Span::from_milliseconds(1_000);
/// Time for which a node waits after a pause for the directory to be confirmed before it
/// continues without.
const VERIFICATION_GRACE: Span = Span::from_milliseconds(1_000);

/// Time after which a caller whose request expired during a pause may retry.
const RETRY_AFTER_PAUSE: Span = Span::from_milliseconds(500);

impl Node {
    pub(crate) fn check_for_pause(&mut self, gap: Span) {
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.fleet.detector.clear_all_suspicions();
        self.free_slots.clear();
        self.saturated_until.clear();
        self.unverified_until = Some(self.now + VERIFICATION_GRACE);
        self.directory_reads.reset();
        self.configuration_reads.reset();
        self.ping_zone_for_versions();
        self.revalidate_cells();
        self.resubmit_waiting();
    }

    /// Whether the node still waits for its directory to be confirmed after a pause.
    pub(crate) fn is_unverified(&mut self) -> bool {
        match self.unverified_until {
            Some(until) if self.now < until => true,
            _ => {
                self.unverified_until = None;
                false
            }
        }
    }

    /// Records that the directory in force has been confirmed.
    pub(crate) fn confirm_directory(&mut self) {
        self.unverified_until = None;
    }

    fn ping_zone_for_versions(&mut self) {
        self.verification_echo = self.random.random_range(1..=u16::MAX);
        for peer in self.fleet.same_zone_peers() {
            self.ping_with_echo(peer, self.verification_echo);
        }
    }

    /// Rejects waiting requests that expired during the pause; the others request a slot
    /// again.
    fn resubmit_waiting(&mut self) {
        let now = self.now;
        let is_waiting = |phase: &Phase| !matches!(phase, Phase::Running { .. });
        let expired: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| now >= request.due && is_waiting(&request.phase))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            let refusal = Refusal::not_run(Reason::Paused, Some(RETRY_AFTER_PAUSE));
            self.cancel_slot_request(sequence);
            self.reject(sequence, refusal);
        }
        for request in self.requests.values_mut() {
            if matches!(request.phase, Phase::RequestingSlot(_)) {
                request.phase = Phase::BackingOff { until: self.now };
            }
        }
    }
}
