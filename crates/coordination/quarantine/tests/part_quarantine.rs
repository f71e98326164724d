//! Which prompt parts are quarantined, for whom and for how long.

use eiderferry_quarantine::{
    InterruptedRun, PartChange, PartKey, PartQuarantine, PartReport, SharedParts,
};
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;
use std::sync::Arc;

const START: Timestamp = Timestamp(10_000_000_000);
const POOL: u32 = 1;
const CALLER: u32 = 5;
const OTHER_CALLER: u32 = 6;
/// The part at fault, and sound ones.
const FAULTY: u64 = 0xbad;
const SOUND: u64 = 0xa1;
const OTHER: u64 = 0xb2;
const MINUTE_MS: u64 = 60_000;
/// Time from a crash for which a part stays quarantined.
const QUARANTINE_MS: u64 = 10 * MINUTE_MS;
/// Maximum number of parts with crashes that a node stores.
const MAX_RECORDS: usize = 1_024;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

fn parts_of(caller: u32, ids: &[u64]) -> SharedParts {
    SharedParts {
        pool: POOL,
        caller,
        ids: Arc::from(ids),
    }
}

fn parts(ids: &[u64]) -> SharedParts {
    parts_of(CALLER, ids)
}

fn crash(
    quarantine: &mut PartQuarantine,
    parts: &SharedParts,
    back_end: u32,
    is_at_start: bool,
    now: Timestamp,
) -> Vec<PartChange> {
    let run = InterruptedRun {
        parts,
        back_end,
        is_at_start,
    };
    quarantine.record_crash(&run, now)
}

/// Records crashes at the start of responses, a second apart, each of another back end.
fn crash_at_start(
    quarantine: &mut PartQuarantine,
    parts: &SharedParts,
    back_ends: std::ops::Range<u32>,
) {
    for back_end in back_ends {
        let now = after(u64::from(back_end) * 1_000);
        crash(quarantine, parts, back_end, true, now);
    }
}

fn is_refused(quarantine: &PartQuarantine, parts: &SharedParts, now: Timestamp) -> bool {
    quarantine.refusal(parts, now).is_some()
}

#[rstest]
#[case::at_start(true, 3)]
#[case::while_waiting(false, 6)]
fn a_part_is_refused_from_this_crash_on(#[case] is_at_start: bool, #[case] expected: u32) {
    let mut quarantine = PartQuarantine::default();
    let request = parts(&[FAULTY]);
    for back_end in 1..=expected {
        let now = after(u64::from(back_end) * 1_000);
        assert!(!is_refused(&quarantine, &request, now), "{back_end}");
        crash(&mut quarantine, &request, back_end, is_at_start, now);
    }
    let refusal = quarantine.refusal(&request, after(7_000)).expect("refused");
    assert_eq!(refusal.quarantined.ids(), "bad");
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), after(7_000)));
}

#[test]
fn several_observations_of_a_crash_count_once() {
    let mut quarantine = PartQuarantine::default();
    for observer in 0..10 {
        crash(
            &mut quarantine,
            &parts(&[FAULTY]),
            1,
            true,
            after(observer * 190),
        );
    }
    assert!(!is_refused(&quarantine, &parts(&[FAULTY]), after(2_000)));
}

#[test]
fn back_ends_lost_together_show_nothing_about_a_part() {
    let mut quarantine = PartQuarantine::default();
    for back_end in 0..10 {
        let now = after(u64::from(back_end) * 9);
        crash(&mut quarantine, &parts(&[SOUND]), back_end, true, now);
    }
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), after(1_000)));
}

/// All back ends crash again and again, so that nothing completes any more.
#[test]
fn a_part_that_was_sound_in_the_last_minute_is_not_refused() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_sound_run(&parts(&[SOUND]), START);
    crash_at_start(&mut quarantine, &parts(&[SOUND]), 1..50);
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), after(50_000)));
    crash_at_start(&mut quarantine, &parts(&[SOUND]), 61..64);
    assert!(is_refused(&quarantine, &parts(&[SOUND]), after(64_000)));
}

#[test]
fn a_sound_run_releases_a_part() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..3);
    let changes = quarantine.record_sound_run(&parts(&[FAULTY]), after(5_000));
    assert!(matches!(changes[..], [PartChange::Released { .. }]));
    assert!(!is_refused(&quarantine, &parts(&[FAULTY]), after(5_000)));
}

/// Both occur in all crashes, and one of them also in a run that completed without the other.
#[test]
fn of_two_parts_in_all_crashes_the_one_that_was_never_sound_is_refused() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_sound_run(&parts(&[SOUND, OTHER]), START);
    crash_at_start(&mut quarantine, &parts(&[SOUND, FAULTY, OTHER]), 0..3);
    let refusal = quarantine.refusal(&parts(&[SOUND, FAULTY]), after(3_000));
    assert_eq!(refusal.expect("refused").quarantined.ids(), "bad");
    assert!(!is_refused(
        &quarantine,
        &parts(&[SOUND, OTHER]),
        after(3_000)
    ));
}

#[test]
fn parts_never_seen_apart_are_refused_together_until_one_is_sound() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[SOUND, FAULTY]), 0..3);
    let now = after(3_000);
    assert!(is_refused(&quarantine, &parts(&[SOUND, FAULTY]), now));
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), now));
    assert!(!is_refused(&quarantine, &parts(&[FAULTY]), now));
    quarantine.record_sound_run(&parts(&[SOUND]), now);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), now));
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), now));
}

#[test]
fn parts_never_seen_apart_are_told_apart_by_a_crash_with_one_of_them() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[SOUND, FAULTY]), 0..3);
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 3..4);
    let now = after(4_000);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), now));
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), now));
}

/// A request with a new part runs beside the faulty one, at the start of its response each time.
#[rstest]
#[case(2)]
#[case(3)]
fn a_new_part_beside_the_faulty_one_is_not_refused(#[case] times: u32) {
    let mut quarantine = PartQuarantine::default();
    for back_end in 0..4 {
        let now = after(u64::from(back_end) * 1_000);
        crash(&mut quarantine, &parts(&[FAULTY]), back_end, true, now);
        if back_end < times {
            crash(&mut quarantine, &parts(&[SOUND]), back_end, true, now);
        }
    }
    let now = after(4_000);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), now));
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), now));
}

/// Crashes that the faulty part explains don't add up with two others.
#[test]
fn a_crash_that_a_part_explains_counts_against_no_other() {
    let mut quarantine = PartQuarantine::default();
    for back_end in 0..5 {
        let now = after(u64::from(back_end) * 1_000);
        crash(&mut quarantine, &parts(&[FAULTY]), back_end, true, now);
        if back_end < 4 {
            crash(&mut quarantine, &parts(&[SOUND]), back_end, true, now);
        }
    }
    crash_at_start(&mut quarantine, &parts(&[SOUND]), 6..8);
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), after(8_000)));
    assert!(quarantine.explains(3, after(3_000)));
    assert!(!quarantine.explains(6, after(6_000)));
}

#[test]
fn two_faulty_parts_are_both_refused() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY, SOUND]), 0..3);
    crash_at_start(&mut quarantine, &parts(&[OTHER, SOUND]), 3..6);
    quarantine.record_sound_run(&parts(&[SOUND]), after(6_000));
    let now = after(6_000);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), now));
    assert!(is_refused(&quarantine, &parts(&[OTHER]), now));
    assert!(!is_refused(&quarantine, &parts(&[SOUND]), now));
}

/// Ids are the callers' own words: one caller can't have the parts of another refused.
#[test]
fn a_part_is_refused_for_one_caller_until_it_crashes_under_another() {
    let mut quarantine = PartQuarantine::default();
    let of_other = parts_of(OTHER_CALLER, &[FAULTY]);
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..4);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), after(4_000)));
    assert!(!is_refused(&quarantine, &of_other, after(4_000)));
    crash_at_start(&mut quarantine, &of_other, 5..6);
    assert!(is_refused(&quarantine, &of_other, after(6_000)));
    let of_third = parts_of(7, &[FAULTY]);
    assert!(is_refused(&quarantine, &of_third, after(6_000)));
}

#[test]
fn a_part_is_refused_at_the_pool_whose_back_ends_crash() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..3);
    let elsewhere = SharedParts {
        pool: 2,
        ..parts(&[FAULTY])
    };
    assert!(!is_refused(&quarantine, &elsewhere, after(3_000)));
}

#[test]
fn the_quarantine_ends_after_ten_minutes_and_one_crash_renews_it() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..3);
    let end = 2_000 + QUARANTINE_MS;
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), after(end - 1)));
    assert!(!is_refused(&quarantine, &parts(&[FAULTY]), after(end)));
    let changes = quarantine.expire(after(end));
    assert!(matches!(changes[..], [PartChange::Released { .. }]));
    crash(
        &mut quarantine,
        &parts(&[FAULTY]),
        9,
        true,
        after(end + 500),
    );
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), after(end + 600)));
}

/// Nodes that each saw other crashes judge alike once they have exchanged their reports.
#[rstest]
#[case::in_order([0, 1, 2])]
#[case::in_reverse([2, 1, 0])]
#[case::mixed([1, 2, 0])]
fn nodes_with_the_same_reports_refuse_the_same_parts(#[case] order: [usize; 3]) {
    let mut observers = [
        PartQuarantine::default(),
        PartQuarantine::default(),
        PartQuarantine::default(),
    ];
    for (number, observer) in observers.iter_mut().enumerate() {
        let back_end = number as u32;
        let now = after(u64::from(back_end) * 500);
        crash(observer, &parts(&[FAULTY, OTHER]), back_end, true, now);
        crash(observer, &parts(&[SOUND, OTHER]), back_end, true, now);
    }
    observers[1].record_sound_run(&parts(&[OTHER]), after(1_400));
    observers[2].record_sound_run(&parts(&[SOUND]), after(1_500));
    let now = after(1_700);
    let reports: Vec<Vec<PartReport>> = observers
        .iter_mut()
        .map(|observer| observer.reports(now))
        .collect();
    for observer in &mut observers {
        for number in order {
            observer.merge_reports(&reports[number], now);
        }
        assert!(is_refused(observer, &parts(&[FAULTY]), now));
        assert!(!is_refused(observer, &parts(&[SOUND, OTHER]), now));
    }
}

/// A node with a sound run of a part reports it to a node that reports crashes with the part.
#[test]
fn a_report_of_a_crash_is_answered_with_the_sound_run() {
    let mut observer = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    peer.record_sound_run(&parts(&[SOUND]), START);
    crash_at_start(&mut observer, &parts(&[SOUND]), 0..3);
    let now = after(3_000);
    assert!(is_refused(&observer, &parts(&[SOUND]), now));
    peer.merge_reports(&observer.reports(now), now);
    let changes = observer.merge_reports(&peer.reports(now), now);
    assert!(matches!(changes[..], [PartChange::Released { .. }]));
}

#[test]
fn a_node_that_starts_is_told_of_refused_parts() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..3);
    let now = after(5 * MINUTE_MS);
    let mut started = PartQuarantine::default();
    started.merge_reports(&quarantine.reports_at_start(now), now);
    assert!(is_refused(&started, &parts(&[FAULTY]), now));
}

#[test]
fn reports_end_after_two_seconds_but_for_refused_parts() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[SOUND]), 0..1);
    assert_eq!(quarantine.reports(after(1_000)).len(), 1);
    assert_eq!(quarantine.reports(after(2_001)), []);
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 3..6);
    let messages = (0..8).flat_map(|_| quarantine.reports(after(60_000)));
    let reported: Vec<PartKey> = messages.map(|report| report.part).collect();
    let faulty = PartKey {
        pool: POOL,
        id: FAULTY,
    };
    assert_eq!(reported, [faulty, faulty]);
}

/// Ten thousand new parts in a minute, each in one crash or in one sound run.
#[test]
fn memory_is_bounded_and_the_refused_part_is_kept() {
    let mut quarantine = PartQuarantine::default();
    crash_at_start(&mut quarantine, &parts(&[FAULTY]), 0..3);
    for number in 0..10_000u32 {
        let now = after(3_000 + u64::from(number) * 6);
        let id = 0x1_0000 + u64::from(number);
        if number.is_multiple_of(2) {
            crash(&mut quarantine, &parts(&[id]), number, false, now);
        } else {
            quarantine.record_sound_run(&parts(&[id]), now);
        }
    }
    let counts = quarantine.counts();
    assert!(counts.suspected + counts.quarantined <= MAX_RECORDS);
    assert!(counts.evicted > 0);
    assert!(is_refused(&quarantine, &parts(&[FAULTY]), after(63_000)));
}
