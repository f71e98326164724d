//! When a request is quarantined, for how long, and what is reported to other nodes.

use eiderferry_quarantine::{
    ChangeSource, CrashReport, Quarantine, QuarantineChange, RequestReport,
};
use eiderferry_types::{RequestDigest, Span, Timestamp};
use rstest::rstest;

const START: Timestamp = Timestamp(10_000_000_000);
const REQUEST: RequestDigest = RequestDigest(7);
const TEN_MINUTES_MS: u64 = 600_000;
/// Maximum number of requests that a node stores.
const MAX_RECORDS: usize = 4_096;

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

/// The state of a node that observed these back ends crash while running the request, 1 s apart.
fn quarantine_with_crashes(back_ends: std::ops::Range<u32>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for back_end in back_ends {
        quarantine.record_crash(REQUEST, back_end, after(u64::from(back_end) * 1_000));
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, at: Timestamp) -> bool {
    quarantine.status(REQUEST, at).is_some()
}

fn report(crashes: &[(u32, u32)], completion_age_ms: Option<u32>) -> RequestReport {
    let crashes = crashes.iter();
    RequestReport {
        request: REQUEST,
        crashes: crashes
            .map(|(back_end, age_ms)| CrashReport {
                back_end: *back_end,
                age_ms: *age_ms,
            })
            .collect(),
        completion_age_ms,
    }
}

#[rstest]
#[case(1, false)]
#[case(2, false)]
#[case(3, true)]
#[case(9, true)]
fn a_request_is_quarantined_from_its_third_crash(#[case] crashes: u32, #[case] expected: bool) {
    let quarantine = quarantine_with_crashes(0..crashes);
    assert_eq!(is_refused(&quarantine, after(10_000)), expected);
}

#[test]
fn only_the_third_crash_returns_a_quarantine_change() {
    let mut quarantine = quarantine_with_crashes(0..2);
    let change = quarantine.record_crash(REQUEST, 2, after(2_000));
    let expected = QuarantineChange::Quarantined {
        request: REQUEST,
        crashes: 3,
        remaining: Span::from_milliseconds(TEN_MINUTES_MS),
        source: ChangeSource::Own,
    };
    assert_eq!(change, Some(expected));
    assert_eq!(quarantine.record_crash(REQUEST, 3, after(3_000)), None);
}

#[test]
fn a_crash_reported_by_several_nodes_counts_once() {
    let mut quarantine = quarantine_with_crashes(0..2);
    quarantine.merge_reports(&[report(&[(1, 300), (0, 1_400)], None)], after(1_500));
    quarantine.record_crash(REQUEST, 1, after(1_900));
    assert!(!is_refused(&quarantine, after(2_000)));
}

#[test]
fn a_later_crash_of_the_same_back_end_counts_again() {
    let mut quarantine = quarantine_with_crashes(0..1);
    quarantine.record_crash(REQUEST, 0, after(4_000));
    quarantine.record_crash(REQUEST, 0, after(8_000));
    assert!(is_refused(&quarantine, after(8_000)));
}

#[test]
fn crashes_reported_by_different_nodes_add_up_in_any_order() {
    let reports = [
        report(&[(1, 5_000)], None),
        report(&[(2, 3_000)], None),
        report(&[(1, 5_100), (3, 1_000)], None),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [1, 0, 2]] {
        let mut quarantine = Quarantine::default();
        for number in order {
            quarantine.merge_reports(&[reports[number].clone()], START);
        }
        assert!(is_refused(&quarantine, START), "order {order:?}");
    }
}

#[test]
fn a_local_completion_clears_the_request() {
    let mut quarantine = quarantine_with_crashes(0..3);
    let change = quarantine.record_completed(REQUEST, after(2_100));
    let source = ChangeSource::Own;
    let cleared = QuarantineChange::Cleared {
        request: REQUEST,
        source,
    };
    assert_eq!(change, Some(cleared));
    assert!(!is_refused(&quarantine, after(2_100)));
}

#[test]
fn a_reported_completion_clears_the_request_despite_late_crash_reports() {
    let mut quarantine = quarantine_with_crashes(0..3);
    quarantine.merge_reports(&[report(&[], Some(100))], after(3_000));
    assert!(!is_refused(&quarantine, after(3_000)));
    quarantine.merge_reports(
        &[report(&[(4, 1_500), (5, 1_500), (6, 1_500)], None)],
        after(3_500),
    );
    assert!(!is_refused(&quarantine, after(3_500)));
}

/// A frequent request may be running on several back ends when they are lost together.
#[test]
fn crashes_just_after_a_completion_do_not_count() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completed(REQUEST, START);
    for back_end in 0..5 {
        quarantine.record_crash(REQUEST, back_end, after(200));
    }
    assert!(!is_refused(&quarantine, after(200)));
    let reports = quarantine.reports(after(200));
    assert_eq!(reports, vec![report(&[], Some(200))]);
}

#[test]
fn crashes_long_after_a_completion_count() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completed(REQUEST, START);
    for back_end in 0..3 {
        quarantine.record_crash(REQUEST, back_end, after(11_000));
    }
    assert!(is_refused(&quarantine, after(11_000)));
}

#[test]
fn one_crash_renews_an_expired_quarantine() {
    let mut quarantine = quarantine_with_crashes(0..3);
    let after_quarantine = after(TEN_MINUTES_MS + 2_001);
    assert!(is_refused(&quarantine, after(TEN_MINUTES_MS + 1_999)));
    assert!(!is_refused(&quarantine, after_quarantine));
    assert_eq!(
        quarantine.expire(after_quarantine),
        vec![QuarantineChange::Expired { request: REQUEST }]
    );
    quarantine.record_crash(REQUEST, 9, after_quarantine);
    assert!(is_refused(&quarantine, after_quarantine));
}

#[test]
fn quarantined_requests_are_dropped_after_an_hour_and_suspected_ones_after_ten_minutes() {
    let mut suspected = quarantine_with_crashes(0..2);
    suspected.expire(after(TEN_MINUTES_MS + 1_100));
    assert_eq!(suspected.counts().suspected, 0);
    let mut quarantined = quarantine_with_crashes(0..3);
    quarantined.expire(after(TEN_MINUTES_MS * 6));
    assert_eq!(quarantined.counts().suspected, 1);
    quarantined.expire(after(TEN_MINUTES_MS * 6 + 2_100));
    assert_eq!(quarantined.counts().suspected, 0);
}

#[test]
fn changes_are_reported_for_two_seconds_and_quarantined_requests_until_they_expire() {
    let mut suspected = quarantine_with_crashes(0..2);
    assert_eq!(suspected.reports(after(2_900)).len(), 1);
    assert!(suspected.reports(after(3_100)).is_empty());
    let mut quarantined = quarantine_with_crashes(0..3);
    assert_eq!(quarantined.reports(after(300_000)).len(), 1);
    assert_eq!(quarantined.reports_at_start(after(300_000)).len(), 1);
}

/// Only the first completion of a frequent request is reported.
#[test]
fn repeated_completions_are_not_reported_again() {
    let mut quarantine = quarantine_with_crashes(0..1);
    let mut report_count = 0;
    for second in 0..120 {
        let now = after(1_000 + second * 1_000);
        quarantine.record_completed(REQUEST, now);
        quarantine.expire(now);
        report_count += quarantine.reports(now).len();
    }
    assert!(report_count <= 3, "told {report_count} times");
    assert_eq!(quarantine.counts().suspected, 0);
}

#[test]
fn records_are_bounded_and_quarantined_requests_are_not_evicted() {
    let mut quarantine = quarantine_with_crashes(0..3);
    for number in 100..20_100 {
        quarantine.record_crash(RequestDigest(number), 1, after(3_000 + number));
    }
    let counts = quarantine.counts();
    assert!(counts.suspected + counts.quarantined <= MAX_RECORDS);
    assert_eq!(counts.quarantined, 1);
    assert!(counts.evicted > 0);
    assert!(is_refused(&quarantine, after(30_000)));
}

#[test]
fn a_message_has_a_bounded_number_of_reports_and_quarantined_requests_first() {
    let mut quarantine = quarantine_with_crashes(0..3);
    for number in 100..400 {
        quarantine.record_crash(RequestDigest(number), 1, after(2_500));
    }
    let reports = quarantine.reports(after(2_600));
    assert!(reports.len() <= 18, "{} told", reports.len());
    assert_eq!(reports[0].request, REQUEST);
}

#[test]
fn changes_that_do_not_fit_one_message_are_reported_in_the_next_ones() {
    let mut quarantine = Quarantine::default();
    for number in 100..160 {
        quarantine.record_crash(RequestDigest(number), 1, START);
    }
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..8 {
        reported.extend(
            quarantine
                .reports(after(100))
                .iter()
                .map(|report| report.request),
        );
    }
    assert_eq!(reported.len(), 60);
}
