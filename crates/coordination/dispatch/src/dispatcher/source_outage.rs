//! Tells an outage of the document source from a time in which no node read it.
//!
//! During an outage, entries of live back ends may expire because the back ends cannot renew them.
//! A removal read afterwards therefore takes effect only after a grace period. If all readers were
//! lost while the source was available, removals are final and take effect at once. Both leave the
//! latest confirmation overdue; only failed calls of a reader show an outage. Nodes pass on the
//! time of the failure, so that it remains known if the readers that saw it are lost.

use super::Dispatcher;
use super::messages::TRANSIT_ALLOWANCE;
use crate::{Change, DocumentContent, DocumentKey};
use eiderferry_types::{Span, Timestamp};

/// Time after the source's recovery within which back ends that are alive and reach it write their
/// expired entries again.
pub const SOURCE_RECOVERY_GRACE: Span = Span::from_milliseconds(2_000);

/// What a node knows of the latest outage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceOutage {
    /// The first failed call after the last response, of any reader.
    failed_at: Option<Timestamp>,
    /// First confirmation after the outage.
    recovered_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Records that a call of this node to the source failed. Only the first failure after a
    /// response is recorded: it tells when this node's calls began to fail.
    pub fn record_source_failure(&mut self, now: Timestamp) {
        self.source_outage.failed_at = self.source_outage.failed_at.max(Some(now));
    }

    /// Records a failure that another node reported with its age in milliseconds.
    pub(super) fn record_reported_source_failure(&mut self, age_ms: u32, now: Timestamp) {
        self.record_source_failure(now - Span::from_milliseconds(u64::from(age_ms)));
    }

    /// Age of the failure to report to other nodes, in milliseconds.
    pub(super) fn source_failure_age_ms(&self, now: Timestamp) -> Option<u32> {
        let failed_at = self.unanswered_source_failure(now)?;
        Some((now.since(failed_at) + TRANSIT_ALLOWANCE).milliseconds() as u32)
    }

    /// Time of the first failed call since the latest confirmation. Failures before it concern only
    /// the nodes that saw them, as another node had a response.
    fn unanswered_source_failure(&self, now: Timestamp) -> Option<Timestamp> {
        let confirmed_at = self.confirmed_at(now)?;
        let failed_at = self.source_outage.failed_at?;
        (failed_at > confirmed_at).then_some(failed_at)
    }

    /// Whether the source has been unavailable since the latest confirmation: no node had a
    /// response for long enough, and a reader's call failed in that time.
    pub fn is_source_outage_known(&self, now: Timestamp) -> bool {
        self.is_confirmation_overdue(now) && self.unanswered_source_failure(now).is_some()
    }

    /// Records the end of an outage if a confirmation at `at` ends one.
    pub(super) fn record_source_recovery(&mut self, at: Timestamp) {
        if self.is_source_outage_known(at) {
            self.source_outage.recovered_at = Some(at);
        }
    }

    /// Turns the removal of a back end into an expiry if its entry may have expired in an outage.
    pub(super) fn with_recovery_grace(&self, mut change: Change, now: Timestamp) -> Change {
        let is_removal = change.content == DocumentContent::Removed;
        let is_back_end = matches!(change.key, DocumentKey::BackEnd(_));
        if is_removal
            && is_back_end
            && let Some(grace) = self.remaining_recovery_grace(now)
        {
            change.content = DocumentContent::Expired(grace);
        }
        change
    }

    /// Time left for back ends to write their expired entries again.
    fn remaining_recovery_grace(&self, now: Timestamp) -> Option<Span> {
        if self.is_source_outage_known(now) {
            return Some(SOURCE_RECOVERY_GRACE);
        }
        let recovered_at = self.source_outage.recovered_at?;
        let remaining = now.until(recovered_at + SOURCE_RECOVERY_GRACE);
        (remaining > Span::ZERO).then_some(remaining)
    }
}
