//! Selection of the changes that a message reports.

use eiderferry_types::{Span, Timestamp};

/// Time for which a change is included in messages (2 s). In that time a node sends several
/// messages to every other node, or to the aggregators that forward them, so single messages
/// may be lost.
pub(crate) const CHANGE_REPORT_DURATION: Span = Span::from_milliseconds(2_000);

/// Recently changed items, as many as one message reports. If there are more, the first half goes
/// to those that other nodes act on, and the others take turns in the second half. Each item comes
/// with whether other nodes act on it and until when it is reported.
pub(crate) fn recent_changes<T: Copy + Ord>(
    changed: impl Iterator<Item = (bool, Timestamp, T)>,
    limit: usize,
    batch_number: usize,
) -> Vec<T> {
    let mut changed: Vec<(bool, Timestamp, T)> = changed.collect();
    changed.sort_unstable_by(|left, right| right.cmp(left));
    let mut changed: Vec<T> = changed.into_iter().map(|(_, _, item)| item).collect();
    if changed.len() > limit {
        let others = &mut changed[limit / 2..];
        let step = batch_number.wrapping_mul(limit / 2);
        others.rotate_left(step % others.len());
        changed.truncate(limit);
    }
    changed
}
