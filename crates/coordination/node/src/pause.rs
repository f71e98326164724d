//! Noticing that the process stood still.
//!
//! A paused process wakes up believing what it knew before. It therefore compares
//! the clock on every entrance, and after a gap treats that knowledge as a guess:
//! queues are given back to their owners, leases are checked, and nothing is
//! granted or dispatched until the directory has been confirmed by the platform or
//! a peer, or a short grace is over and nobody answers.

use crate::node::Node;
use crate::request::Phase;
use eiderferry_types::{Reason, Refusal, Span};
use rand::Rng;

/// A gap between two entrances that counts as a pause; ticks come far more often.
const PAUSE_THRESHOLD: Span = Span::from_milliseconds(1_000);
/// How long a woken node waits for a confirmation before it goes on without.
const VERIFICATION_GRACE: Span = Span::from_milliseconds(1_000);

/// When a caller may come back whose request ran out of time during a pause.
const RETRY_AFTER_PAUSE: Span = Span::from_milliseconds(500);

impl Node {
    pub(crate) fn check_for_pause(&mut self, gap: Span) {
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.fleet.detector.pardon_all();
        self.free_slots.clear();
        self.saturated_until.clear();
        self.unverified_until = Some(self.now + VERIFICATION_GRACE);
        self.directory_reads.hurry();
        self.configuration_reads.hurry();
        self.ping_zone_for_versions();
        self.revalidate_cells();
        self.resubmit_waiting();
    }

    /// Whether a woken node still waits for a confirmation.
    pub(crate) fn is_unverified(&mut self) -> bool {
        match self.unverified_until {
            Some(until) if self.now < until => true,
            _ => {
                self.unverified_until = None;
                false
            }
        }
    }

    /// Notes that the directory in force has been confirmed.
    pub(crate) fn confirm_directory(&mut self) {
        self.unverified_until = None;
    }

    fn ping_zone_for_versions(&mut self) {
        self.verification_echo = self.random.random_range(1..=u16::MAX);
        for peer in self.fleet.zone_peers() {
            self.ping_with_echo(peer, self.verification_echo);
        }
    }

    /// Requests whose time ran out while the process stood still end with that
    /// reason; the others ask anew.
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
