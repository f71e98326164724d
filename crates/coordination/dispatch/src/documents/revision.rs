//! Revisions of documents, and version vectors of the revisions that a node knows.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;

/// Number of newest epochs that a version vector tracks. A document that an epoch before these
/// confirmed and that no later one has written again is no longer sent to peers.
const MAXIMUM_EPOCHS: usize = 4;

/// Position of a change in the history of the document source.
///
/// The source raises the number with each change. A restore from an older copy loses the last
/// changes and reuses their numbers, so each restore raises the epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of restores of the source before the change.
    pub epoch: u64,
    /// Number of the change within the source's history.
    pub number: u64,
}

impl Revision {
    fn epoch_start(epoch: u64) -> Self {
        Self { epoch, number: 0 }
    }

    pub(super) fn next(self) -> Self {
        Self {
            number: self.number.saturating_add(1),
            ..self
        }
    }
}

/// Revision of a source that was never restored.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { epoch: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// The changes that a node knows: in each epoch, all up to a number.
///
/// Changes that an earlier epoch confirmed stay valid after a restore until they are written
/// again, so a node that knows the whole newest epoch may still lack changes of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    /// The last known revision of each epoch, in order.
    last_known: Vec<Revision>,
}

impl VersionVector {
    /// The last known revision of the newest epoch.
    pub fn newest(&self) -> Option<Revision> {
        self.last_known.last().copied()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.last_known.is_empty()
    }

    /// The last known revision of each epoch, in order.
    pub fn revisions(&self) -> &[Revision] {
        &self.last_known
    }

    /// Whether anything of an epoch is known.
    pub fn has_epoch(&self, epoch: u64) -> bool {
        self.last_known.iter().any(|known| known.epoch == epoch)
    }

    /// Whether a change is known. Changes of epochs that are no longer tracked count as known.
    pub fn covers(&self, revision: Revision) -> bool {
        if revision.epoch < self.oldest_tracked_epoch() {
            return true;
        }
        let mut known = self.last_known.iter();
        known.any(|known| known.epoch == revision.epoch && known.number >= revision.number)
    }

    /// Whether all changes that another node knows are known.
    pub fn includes(&self, other: &Self) -> bool {
        other.last_known.iter().all(|last| self.covers(*last))
    }

    /// Records that all changes of the revision's epoch up to it are known.
    pub fn advance(&mut self, revision: Revision) {
        if self.covers(revision) {
            return;
        }
        self.last_known
            .retain(|known| known.epoch != revision.epoch);
        let index = self.last_known.partition_point(|known| *known < revision);
        self.last_known.insert(index, revision);
        let surplus = self.last_known.len().saturating_sub(MAXIMUM_EPOCHS);
        self.last_known.drain(..surplus);
    }

    /// Records all changes that another node knows.
    pub fn merge(&mut self, other: &Self) {
        for last in &other.last_known {
            self.advance(*last);
        }
    }

    /// The oldest tracked epoch; 0 while all epochs are tracked.
    fn oldest_tracked_epoch(&self) -> u64 {
        let is_full = self.last_known.len() == MAXIMUM_EPOCHS;
        let oldest = self.last_known.first().filter(|_| is_full);
        oldest.map_or(0, |oldest| oldest.epoch)
    }

    /// The ranges of unknown revisions, and the start of the last one, which has no end.
    pub(super) fn unknown_ranges(&self) -> (Vec<Range<Revision>>, Revision) {
        let mut start = Revision::epoch_start(self.oldest_tracked_epoch());
        let mut ranges = Vec::new();
        for last in &self.last_known {
            ranges.push(start..Revision::epoch_start(last.epoch));
            start = last.next();
        }
        (ranges, start)
    }
}

impl FromIterator<Revision> for VersionVector {
    fn from_iter<Revisions: IntoIterator<Item = Revision>>(revisions: Revisions) -> Self {
        let mut vector = Self::default();
        for revision in revisions {
            vector.advance(revision);
        }
        vector
    }
}

impl From<Revision> for VersionVector {
    fn from(revision: Revision) -> Self {
        Self::from_iter([revision])
    }
}
