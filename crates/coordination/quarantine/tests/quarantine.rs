//! When a request is quarantined, for how long, and what is told of it.

use eiderferry_quarantine::{
    ChangeSource, CrashReport, Quarantine, QuarantineChange, RequestReport,
};
use eiderferry_types::{RequestDigest, Span, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp(10_000_000_000);
const REQUEST: RequestDigest = RequestDigest(7);
const TEN_MINUTES_MS: u64 = 600_000;
/// Requests that a node keeps.
const MOST_RECORDS: usize = 4_096;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// A node that saw back ends crash under the request, a second apart.
fn crashed(back_ends: std::ops::Range<u32>) -> Quarantine {
    let mut subject = Quarantine::default();
    for back_end in back_ends {
        subject.record_crash(REQUEST, back_end, after(u64::from(back_end) * 1_000));
    }
    subject
}

fn is_refused(subject: &Quarantine, at: Timestamp) -> bool {
    subject.status(REQUEST, at).is_some()
}

fn report(crashes: &[(u32, u32)], completed_ms: Option<u32>) -> RequestReport {
    let crashes = crashes.iter();
    RequestReport {
        request: REQUEST,
        crashes: crashes
            .map(|(back_end, age_ms)| CrashReport {
                back_end: *back_end,
                age_ms: *age_ms,
            })
            .collect(),
        completed_ms,
    }
}

#[rstest]
#[case(1, false)]
#[case(2, false)]
#[case(3, true)]
#[case(9, true)]
fn a_request_is_refused_from_its_third_crash(#[case] crashes: u32, #[case] expected: bool) {
    let subject = crashed(0..crashes);
    assert_eq!(is_refused(&subject, after(10_000)), expected);
}

#[test]
fn the_third_crash_is_told_once() {
    let mut subject = crashed(0..2);
    let change = subject.record_crash(REQUEST, 2, after(2_000));
    let expected = QuarantineChange::Quarantined {
        request: REQUEST,
        crashes: 3,
        remaining: Span::from_milliseconds(TEN_MINUTES_MS),
        source: ChangeSource::Own,
    };
    assert_eq!(change, Some(expected));
    assert_eq!(subject.record_crash(REQUEST, 3, after(3_000)), None);
}

#[test]
fn one_crash_that_several_nodes_saw_counts_once() {
    let mut subject = crashed(0..2);
    subject.merge_reports(&[report(&[(1, 300), (0, 1_400)], None)], after(1_500));
    subject.record_crash(REQUEST, 1, after(1_900));
    assert!(!is_refused(&subject, after(2_000)));
}

#[test]
fn a_back_end_that_crashes_again_once_it_is_back_counts_again() {
    let mut subject = crashed(0..1);
    subject.record_crash(REQUEST, 0, after(4_000));
    subject.record_crash(REQUEST, 0, after(8_000));
    assert!(is_refused(&subject, after(8_000)));
}

#[test]
fn crashes_seen_by_different_nodes_add_up_in_any_order() {
    let reports = [
        report(&[(1, 5_000)], None),
        report(&[(2, 3_000)], None),
        report(&[(1, 5_100), (3, 1_000)], None),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [1, 0, 2]] {
        let mut subject = Quarantine::default();
        for number in order {
            subject.merge_reports(&[reports[number].clone()], START);
        }
        assert!(is_refused(&subject, START), "order {order:?}");
    }
}

#[test]
fn a_request_that_ends_well_is_cleared() {
    let mut subject = crashed(0..3);
    let change = subject.record_completed(REQUEST, after(2_100));
    let source = ChangeSource::Own;
    let cleared = QuarantineChange::Cleared {
        request: REQUEST,
        source,
    };
    assert_eq!(change, Some(cleared));
    assert!(!is_refused(&subject, after(2_100)));
}

#[test]
fn that_it_ended_well_elsewhere_clears_it_too_and_outlasts_late_reports() {
    let mut subject = crashed(0..3);
    subject.merge_reports(&[report(&[], Some(100))], after(3_000));
    assert!(!is_refused(&subject, after(3_000)));
    subject.merge_reports(
        &[report(&[(4, 1_500), (5, 1_500), (6, 1_500)], None)],
        after(3_500),
    );
    assert!(!is_refused(&subject, after(3_500)));
}

/// A frequent request runs at many back ends when several are lost together.
#[test]
fn a_request_that_just_ended_well_is_not_blamed_for_back_ends_lost_together() {
    let mut subject = Quarantine::default();
    subject.record_completed(REQUEST, START);
    for back_end in 0..5 {
        subject.record_crash(REQUEST, back_end, after(200));
    }
    assert!(!is_refused(&subject, after(200)));
    let told = subject.reports(after(200));
    assert_eq!(told, vec![report(&[], Some(200))]);
}

#[test]
fn a_request_that_turned_bad_long_after_it_ended_well_is_refused() {
    let mut subject = Quarantine::default();
    subject.record_completed(REQUEST, START);
    for back_end in 0..3 {
        subject.record_crash(REQUEST, back_end, after(11_000));
    }
    assert!(is_refused(&subject, after(11_000)));
}

#[test]
fn after_its_time_one_crash_brings_it_back() {
    let mut subject = crashed(0..3);
    let over = after(TEN_MINUTES_MS + 2_001);
    assert!(is_refused(&subject, after(TEN_MINUTES_MS + 1_999)));
    assert!(!is_refused(&subject, over));
    assert_eq!(
        subject.expire(over),
        vec![QuarantineChange::Expired { request: REQUEST }]
    );
    subject.record_crash(REQUEST, 9, over);
    assert!(is_refused(&subject, over));
}

#[test]
fn what_was_quarantined_is_forgotten_after_an_hour_and_a_suspicion_after_ten_minutes() {
    let mut suspected = crashed(0..2);
    suspected.expire(after(TEN_MINUTES_MS + 1_100));
    assert_eq!(suspected.counts().suspected, 0);
    let mut quarantined = crashed(0..3);
    quarantined.expire(after(TEN_MINUTES_MS * 6));
    assert_eq!(quarantined.counts().suspected, 1);
    quarantined.expire(after(TEN_MINUTES_MS * 6 + 2_100));
    assert_eq!(quarantined.counts().suspected, 0);
}

#[test]
fn a_change_is_told_for_two_seconds_and_a_quarantine_as_long_as_it_lasts() {
    let mut suspected = crashed(0..2);
    assert_eq!(suspected.reports(after(2_900)).len(), 1);
    assert!(suspected.reports(after(3_100)).is_empty());
    let mut quarantined = crashed(0..3);
    assert_eq!(quarantined.reports(after(300_000)).len(), 1);
    assert_eq!(quarantined.reports_at_start(after(300_000)).len(), 1);
}

/// Of a request that ends well all the time only the first end is told.
#[test]
fn a_frequent_request_is_not_told_for_ever() {
    let mut subject = crashed(0..1);
    let mut told = 0;
    for second in 0..120 {
        let now = after(1_000 + second * 1_000);
        subject.record_completed(REQUEST, now);
        subject.expire(now);
        told += subject.reports(now).len();
    }
    assert!(told <= 3, "told {told} times");
    assert_eq!(subject.counts().suspected, 0);
}

#[test]
fn memory_is_bounded_and_the_quarantined_stay() {
    let mut subject = crashed(0..3);
    for number in 100..20_100 {
        subject.record_crash(RequestDigest(number), 1, after(3_000 + number));
    }
    let counts = subject.counts();
    assert!(counts.suspected + counts.quarantined <= MOST_RECORDS);
    assert_eq!(counts.quarantined, 1);
    assert!(counts.evicted > 0);
    assert!(is_refused(&subject, after(30_000)));
}

#[test]
fn a_message_tells_a_bounded_number_and_first_what_others_act_on() {
    let mut subject = crashed(0..3);
    for number in 100..400 {
        subject.record_crash(RequestDigest(number), 1, after(2_500));
    }
    let told = subject.reports(after(2_600));
    assert!(told.len() <= 18, "{} told", told.len());
    assert_eq!(told[0].request, REQUEST);
}

#[test]
fn what_does_not_fit_one_message_is_told_by_the_next_ones() {
    let mut subject = Quarantine::default();
    for number in 100..160 {
        subject.record_crash(RequestDigest(number), 1, START);
    }
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..8 {
        told.extend(
            subject
                .reports(after(100))
                .iter()
                .map(|report| report.request),
        );
    }
    assert_eq!(told.len(), 60);
}
