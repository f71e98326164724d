//! Requests that crash back ends, over a whole fleet: nodes that are cut off, restart, pause
//! or lose messages.

mod support;

use eiderferry_dispatch::{Decision, Features, Outcome, StreamPacing};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use support::{Fleet, back_end, back_end_change, demand, granted};

/// Engines of the fleet.
const ENGINES: usize = 12;
/// Time that nodes have to hear of the third crash.
const KNOWN_WITHIN_MS: u64 = 3_000;
/// The request that crashes engines.
const FATAL: u64 = 77;

/// Engines that crashed last and are not back yet.
const DOWN: usize = 3;

/// A fleet before engines, some of which are down.
struct Day {
    fleet: Fleet,
    down: Vec<InstanceId>,
}

/// A fleet in three zones before engines of these zones.
fn day(count: usize) -> Day {
    let mut fleet = Fleet::new(count, 3);
    add_engines(&mut fleet, 0..count);
    fleet.run_with_platform(10_000, 1);
    Day {
        fleet,
        down: Vec::new(),
    }
}

fn add_engines(fleet: &mut Fleet, nodes: std::ops::Range<usize>) {
    let now = fleet.now;
    for node in &mut fleet.nodes[nodes] {
        for number in 0..ENGINES {
            let engine = back_end(&format!("engine-{number}"), number, number % 3);
            node.apply(back_end_change(engine, 1), now);
        }
    }
}

impl Day {
    fn run(&mut self, milliseconds: u64) {
        self.fleet.run_with_platform(milliseconds, 1);
    }

    fn restart(&mut self, node: usize) {
        self.fleet.restart(node);
        add_engines(&mut self.fleet, node..node + 1);
    }

    /// Sends the fatal request by a node; whether an engine got it, which then crashed.
    fn send_fatal(&mut self, node: usize) -> bool {
        let now = self.fleet.now;
        let mut fatal = demand(FATAL, 2_000, 100);
        fatal.excluded_back_ends.clone_from(&self.down);
        let node = &mut self.fleet.nodes[node];
        match node.dispatch(&fatal, now) {
            Decision::Grant(grant) => {
                node.release(grant.lease, Outcome::IncompleteResponse, now);
                node.record_crash(fatal.digest, &grant.instance, now);
                self.down.push(grant.instance);
                if self.down.len() > DOWN {
                    self.down.remove(0);
                }
                true
            }
            Decision::Refuse(reason, _) => {
                assert_eq!(reason, Reason::CrashesBackEnds);
                false
            }
        }
    }

    /// Crashes three engines by three nodes, half a second apart.
    fn crash_three(&mut self) {
        let count = self.fleet.nodes.len();
        for number in 0..3 {
            assert!(self.send_fatal(number * (count - 1) / 2));
            self.run(500);
        }
    }

    /// Engines that the request still reaches when each node is asked once.
    fn sends_by_all(&mut self) -> usize {
        let nodes = 0..self.fleet.nodes.len();
        nodes.filter(|node| self.send_fatal(*node)).count()
    }
}

#[rstest]
#[case::small(8, None)]
#[case::with_digests(30, None)]
#[case::with_aggregators(72, None)]
#[case::small_losing_messages(8, Some(5))]
#[case::with_aggregators_losing_messages(72, Some(5))]
fn all_nodes_refuse_it_soon_after_the_third_crash(
    #[case] count: usize,
    #[case] lost_each: Option<u64>,
) {
    let mut day = day(count);
    day.fleet.lost_each = lost_each;
    day.crash_three();
    day.run(KNOWN_WITHIN_MS - 500);
    assert_eq!(day.sends_by_all(), 0);
}

#[rstest]
#[case(8)]
#[case(72)]
fn a_zone_that_was_cut_off_hears_of_it_when_it_is_back(#[case] count: usize) {
    let mut day = day(count);
    day.fleet.cut = [(2, 0), (2, 1)].into();
    day.run(1_000);
    for node in [0, 1, 3] {
        assert!(day.send_fatal(node));
        day.run(500);
    }
    day.run(20_000);
    day.fleet.cut.clear();
    day.run(KNOWN_WITHIN_MS);
    assert_eq!(day.sends_by_all(), 0);
}

#[rstest]
#[case(8)]
#[case(72)]
fn a_node_that_starts_anew_hears_of_it(#[case] count: usize) {
    let mut day = day(count);
    day.crash_three();
    day.run(30_000);
    for node in 0..count / 2 {
        day.restart(node);
    }
    day.run(KNOWN_WITHIN_MS);
    assert_eq!(day.sends_by_all(), 0);
}

/// A rolling restart: no node is there from before, what is known lives on in the others.
#[test]
fn it_is_known_still_after_all_nodes_started_anew_one_after_the_other() {
    let mut day = day(8);
    day.crash_three();
    for node in 0..8 {
        day.restart(node);
        day.run(2_000);
    }
    assert_eq!(day.sends_by_all(), 0);
}

#[test]
fn a_paused_node_refuses_it_once_it_is_back() {
    let mut day = day(8);
    day.fleet.dark.insert(5);
    day.crash_three();
    day.run(8_000);
    day.fleet.dark.clear();
    let now = day.fleet.now;
    day.fleet.nodes[5].resume_after_pause(now);
    day.run(KNOWN_WITHIN_MS);
    assert!(!day.send_fatal(5));
}

/// Nobody is left who knows: it costs three engines once more, and no fourth.
#[test]
fn after_a_loss_of_all_nodes_it_costs_three_engines_and_no_more() {
    let mut day = day(8);
    day.crash_three();
    for node in 0..8 {
        day.restart(node);
    }
    day.run(5_000);
    let mut sends = 0;
    for number in 0..24 {
        sends += usize::from(day.send_fatal(number % 8));
        day.run(1_000);
    }
    assert_eq!(sends, 3);
}

/// Requests that broke off together with the fatal one are served elsewhere, by all nodes.
#[test]
fn what_ran_beside_it_is_served() {
    let mut day = day(8);
    for round in 0..3 {
        assert!(day.send_fatal(round));
        let now = day.fleet.now;
        for thing in 0..20 {
            let crashed = InstanceId::from(format!("engine-{}", (thing + round as u64) % 4));
            let digest = demand(thing, 2_000, 100).digest;
            day.fleet.nodes[thing as usize % 8].record_crash(digest, &crashed, now);
            if round == 1 {
                let node = &mut day.fleet.nodes[(thing as usize + 1) % 8];
                let grant = granted(node.dispatch(&demand(thing, 2_000, 100), now));
                node.record_first_event(grant.lease, now);
                node.record_pacing(grant.lease, &one_event(now));
                node.release(grant.lease, Outcome::Completed, now);
            }
        }
        day.run(500);
    }
    day.run(KNOWN_WITHIN_MS);
    let now = day.fleet.now;
    for thing in 0..20 {
        for node in &mut day.fleet.nodes {
            granted(node.dispatch(&demand(thing, 2_000, 100), now));
        }
    }
    assert_eq!(day.sends_by_all(), 0);
}

fn one_event(now: Timestamp) -> StreamPacing {
    let mut pacing = StreamPacing::default();
    pacing.record(1, now);
    pacing
}

/// Of what breaks off with one back end, most is told by one message.
#[test]
fn a_crash_is_told_at_once_and_not_again_within_some_milliseconds() {
    let mut day = day(8);
    let mut now = day.fleet.now;
    let node = &mut day.fleet.nodes[0];
    assert_eq!(node.crash_announcement(now), None);
    let crashed = InstanceId::from("engine-1");
    node.record_crash(demand(1, 2_000, 100).digest, &crashed, now);
    let told = node.crash_announcement(now).expect("news");
    assert_eq!(told.message.crashing_requests.len(), 1);
    assert_eq!(told.to.len(), 7);
    node.record_crash(demand(2, 2_000, 100).digest, &crashed, now);
    assert_eq!(node.crash_announcement(now), None);
    now = now + Span::from_milliseconds(60);
    let told = node.crash_announcement(now).expect("news");
    assert_eq!(told.message.crashing_requests.len(), 2);
}

/// An answer that finds fault with the request shows no run.
#[test]
fn an_answer_of_rejection_clears_nothing() {
    let mut day = day(8);
    let now = day.fleet.now;
    let node = &mut day.fleet.nodes[0];
    let mut fatal = demand(FATAL, 2_000, 100);
    fatal.is_stream = false;
    let lease = granted(node.dispatch(&fatal, now)).lease;
    for number in 0..3 {
        node.record_crash(
            fatal.digest,
            &InstanceId::from(format!("engine-{number}")),
            now,
        );
    }
    node.release(lease, Outcome::Rejected, now);
    assert!(matches!(
        node.dispatch(&fatal, now),
        Decision::Refuse(Reason::CrashesBackEnds, _)
    ));
}

/// Without the quarantine each node sends it on for ever.
#[test]
fn with_the_quarantine_switched_off_it_goes_on() {
    let mut day = day(8);
    day.fleet.switch(Features {
        quarantine: false,
        ..Features::ALL
    });
    add_engines(&mut day.fleet, 0..8);
    day.run(5_000);
    day.crash_three();
    day.run(KNOWN_WITHIN_MS);
    assert_eq!(day.sends_by_all(), 8);
    let now = day.fleet.now;
    for node in &day.fleet.nodes {
        assert_eq!(node.snapshot(now).quarantine.quarantined, 0);
    }
}

/// A crash breaks sixty requests of one node off.
#[test]
fn a_crash_costs_few_bytes_and_soon_none() {
    let mut day = day(72);
    day.fleet.measure_bytes();
    let quiet = bytes_of_a_second(&mut day);
    let now = day.fleet.now;
    for thing in 0..60 {
        let digest = demand(thing, 2_000, 100).digest;
        day.fleet.nodes[3].record_crash(digest, &InstanceId::from("engine-1"), now);
    }
    let told = bytes_of_a_second(&mut day);
    day.run(10_000);
    let after = bytes_of_a_second(&mut day);
    let per_node = (told - quiet) / 72;
    assert!(per_node <= 8_000, "{per_node} bytes a second and node");
    assert!(after <= quiet + quiet / 10, "{after} bytes after {quiet}");
}

fn bytes_of_a_second(day: &mut Day) -> usize {
    let before = day.fleet.bytes;
    day.run(1_000);
    day.fleet.bytes - before
}
