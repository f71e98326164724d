//! Keeps a directory that was restored from an older copy from reactivating back ends that
//! had left.

use eiderferry_config::{Directory, EntryState};
use eiderferry_types::{BackEndId, Span, Timestamp};
use std::collections::BTreeSet;

/// Time for which overrides last after the first directory of a new epoch; the changes that the
/// platform lost are expected to be written again within it.
const OVERRIDE_TIME: Span = Span::from_milliseconds(10_000);

/// Back ends that count as leaving because the last directory before a restore did not list them
/// as live. An override ends when the directory no longer lists the back end as live, or when it
/// expires.
#[derive(Debug, Default)]
pub(crate) struct LeavingOverrides {
    back_ends: BTreeSet<BackEndId>,
    expires_at: Timestamp,
}

fn is_live(directory: &Directory, id: BackEndId) -> bool {
    let entry = directory.back_end(id);
    entry.is_some_and(|entry| entry.state == EntryState::Live)
}

impl LeavingOverrides {
    /// Adds overrides if `newer` starts a new epoch, and drops those that it makes unnecessary.
    pub fn update(&mut self, previous: Option<&Directory>, newer: &Directory, now: Timestamp) {
        if let Some(previous) = previous.filter(|previous| previous.epoch < newer.epoch) {
            self.expires_at = now + OVERRIDE_TIME;
            let listed = newer.back_ends.iter().map(|entry| entry.id);
            self.back_ends
                .extend(listed.filter(|id| !is_live(previous, *id)));
        }
        self.back_ends.retain(|id| is_live(newer, *id));
    }

    /// Whether a back end counts as leaving although the directory lists it as live.
    pub fn contains(&self, id: BackEndId) -> bool {
        self.back_ends.contains(&id)
    }

    /// Removes all overrides if they have expired; returns whether any were removed.
    pub fn clear_if_expired(&mut self, now: Timestamp) -> bool {
        let has_expired = now >= self.expires_at && !self.back_ends.is_empty();
        if has_expired {
            self.back_ends.clear();
        }
        has_expired
    }
}
