//! Quarantine of requests that crash back ends across a fleet whose nodes are partitioned, restart,
//! pause or lose messages.

mod support;

use eiderferry_dispatch::{
    CrashedRun, Decision, Dispatcher, Features, Outcome, RunProgress, SharedParts, StreamPacing,
};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};
use rstest::rstest;
use support::{Fleet, back_end, back_end_change, demand, granted};

/// Number of engines of the fleet.
const ENGINES: usize = 12;
/// Time in milliseconds within which all nodes must know of the third crash.
const PROPAGATION_MS: u64 = 3_000;
/// Shared part of the prompt of the request that crashes engines.
const CRASHING_PROMPT: u64 = 77;

/// Number of crashed engines that are down at the same time; the earlier ones have restarted.
const MAX_DOWN: usize = 3;

/// A fleet with engines, some of which are down.
struct CrashScenario {
    fleet: Fleet,
    down: Vec<InstanceId>,
}

/// A scenario with nodes and engines in three zones.
fn scenario(count: usize) -> CrashScenario {
    let mut fleet = Fleet::new(count, 3);
    add_engines(&mut fleet, 0..count);
    fleet.run_with_platform(10_000, 1);
    CrashScenario {
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

/// Records a crash under a request whose prompt has no parts.
fn record_crash(
    node: &mut Dispatcher,
    request: RequestDigest,
    instance: &InstanceId,
    now: Timestamp,
) {
    let run = CrashedRun {
        request,
        shared_parts: SharedParts::default(),
        instance: instance.clone(),
        progress: RunProgress::Waiting,
    };
    node.record_crash(&run, now);
}

impl CrashScenario {
    fn run(&mut self, milliseconds: u64) {
        self.fleet.run_with_platform(milliseconds, 1);
    }

    fn restart(&mut self, node: usize) {
        self.fleet.restart(node);
        add_engines(&mut self.fleet, node..node + 1);
    }

    /// Dispatches the crashing request at a node. Returns whether an engine got it, which then
    /// crashed.
    fn send_crashing_request(&mut self, node: usize) -> bool {
        let now = self.fleet.now;
        let mut crashing_request = demand(CRASHING_PROMPT, 2_000, 100);
        crashing_request.excluded_back_ends.clone_from(&self.down);
        let node = &mut self.fleet.nodes[node];
        match node.dispatch(&crashing_request, now) {
            Decision::Grant(grant) => {
                node.release(grant.lease, Outcome::IncompleteResponse, now);
                record_crash(node, crashing_request.digest, &grant.instance, now);
                self.down.push(grant.instance);
                if self.down.len() > MAX_DOWN {
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

    /// Crashes three engines through three different nodes, half a second apart.
    fn crash_three_engines(&mut self) {
        let count = self.fleet.nodes.len();
        for number in 0..3 {
            assert!(self.send_crashing_request(number * (count - 1) / 2));
            self.run(500);
        }
    }

    /// Number of nodes that still send the request to an engine when each is asked once.
    fn count_sends_by_all_nodes(&mut self) -> usize {
        let nodes = 0..self.fleet.nodes.len();
        nodes
            .filter(|node| self.send_crashing_request(*node))
            .count()
    }
}

#[rstest]
#[case::small(8, None)]
#[case::with_digests(30, None)]
#[case::with_aggregators(72, None)]
#[case::small_losing_messages(8, Some(5))]
#[case::with_aggregators_losing_messages(72, Some(5))]
fn all_nodes_refuse_the_request_soon_after_the_third_crash(
    #[case] count: usize,
    #[case] loss_interval: Option<u64>,
) {
    let mut scenario = scenario(count);
    scenario.fleet.loss_interval = loss_interval;
    scenario.crash_three_engines();
    scenario.run(PROPAGATION_MS - 500);
    assert_eq!(scenario.count_sends_by_all_nodes(), 0);
}

#[rstest]
#[case(8)]
#[case(72)]
fn a_partitioned_zone_learns_of_the_crashes_when_the_partition_heals(#[case] count: usize) {
    let mut scenario = scenario(count);
    scenario.fleet.partitioned_zones = [(2, 0), (2, 1)].into();
    scenario.run(1_000);
    for node in [0, 1, 3] {
        assert!(scenario.send_crashing_request(node));
        scenario.run(500);
    }
    scenario.run(20_000);
    scenario.fleet.partitioned_zones.clear();
    scenario.run(PROPAGATION_MS);
    assert_eq!(scenario.count_sends_by_all_nodes(), 0);
}

#[rstest]
#[case(8)]
#[case(72)]
fn a_restarted_node_learns_of_the_crashes(#[case] count: usize) {
    let mut scenario = scenario(count);
    scenario.crash_three_engines();
    scenario.run(30_000);
    for node in 0..count / 2 {
        scenario.restart(node);
    }
    scenario.run(PROPAGATION_MS);
    assert_eq!(scenario.count_sends_by_all_nodes(), 0);
}

/// Each node learns of the crashes from the others before the last node that saw them restarts.
#[test]
fn the_quarantine_survives_a_rolling_restart() {
    let mut scenario = scenario(8);
    scenario.crash_three_engines();
    for node in 0..8 {
        scenario.restart(node);
        scenario.run(2_000);
    }
    assert_eq!(scenario.count_sends_by_all_nodes(), 0);
}

#[test]
fn a_paused_node_refuses_the_request_after_it_resumes() {
    let mut scenario = scenario(8);
    scenario.fleet.stopped_nodes.insert(5);
    scenario.crash_three_engines();
    scenario.run(8_000);
    scenario.fleet.stopped_nodes.clear();
    let now = scenario.fleet.now;
    scenario.fleet.nodes[5].resume_after_pause(now);
    scenario.run(PROPAGATION_MS);
    assert!(!scenario.send_crashing_request(5));
}

/// After a restart of all nodes none knows of the crashes: three more engines crash, and no fourth.
#[test]
fn after_a_restart_of_all_nodes_the_request_crashes_only_three_engines() {
    let mut scenario = scenario(8);
    scenario.crash_three_engines();
    for node in 0..8 {
        scenario.restart(node);
    }
    scenario.run(5_000);
    let mut sends = 0;
    for number in 0..24 {
        sends += usize::from(scenario.send_crashing_request(number % 8));
        scenario.run(1_000);
    }
    assert_eq!(sends, 3);
}

/// Requests that were interrupted together with the crashing one are still served by all nodes.
#[test]
fn requests_that_ran_beside_the_crashing_one_are_served() {
    let mut scenario = scenario(8);
    for round in 0..3 {
        assert!(scenario.send_crashing_request(round));
        let now = scenario.fleet.now;
        for prompt in 0..20 {
            let crashed = InstanceId::from(format!("engine-{}", (prompt + round as u64) % 4));
            let digest = demand(prompt, 2_000, 100).digest;
            let node = &mut scenario.fleet.nodes[prompt as usize % 8];
            record_crash(node, digest, &crashed, now);
            if round == 1 {
                let node = &mut scenario.fleet.nodes[(prompt as usize + 1) % 8];
                let grant = granted(node.dispatch(&demand(prompt, 2_000, 100), now));
                node.record_first_event(grant.lease, now);
                node.record_pacing(grant.lease, &one_event(now));
                node.release(grant.lease, Outcome::Completed, now);
            }
        }
        scenario.run(500);
    }
    scenario.run(PROPAGATION_MS);
    let now = scenario.fleet.now;
    for prompt in 0..20 {
        for node in &mut scenario.fleet.nodes {
            granted(node.dispatch(&demand(prompt, 2_000, 100), now));
        }
    }
    assert_eq!(scenario.count_sends_by_all_nodes(), 0);
}

fn one_event(now: Timestamp) -> StreamPacing {
    let mut pacing = StreamPacing::default();
    pacing.record(1, now);
    pacing
}

/// Delaying later announcements reports most requests interrupted by one crash in one message.
#[test]
fn a_crash_is_announced_at_once_and_later_ones_are_batched() {
    let mut scenario = scenario(8);
    let mut now = scenario.fleet.now;
    let node = &mut scenario.fleet.nodes[0];
    assert_eq!(node.crash_announcement(now), None);
    let crashed = InstanceId::from("engine-1");
    record_crash(node, demand(1, 2_000, 100).digest, &crashed, now);
    let announcement = node.crash_announcement(now).expect("an announcement");
    assert_eq!(announcement.message.crashing_requests.len(), 1);
    assert_eq!(announcement.to.len(), 7);
    record_crash(node, demand(2, 2_000, 100).digest, &crashed, now);
    assert_eq!(node.crash_announcement(now), None);
    now = now + Span::from_milliseconds(60);
    let announcement = node.crash_announcement(now).expect("an announcement");
    assert_eq!(announcement.message.crashing_requests.len(), 2);
}

/// A response that rejects the request does not show that an engine ran it.
#[test]
fn a_rejection_does_not_clear_the_quarantine() {
    let mut scenario = scenario(8);
    let now = scenario.fleet.now;
    let node = &mut scenario.fleet.nodes[0];
    let mut crashing_request = demand(CRASHING_PROMPT, 2_000, 100);
    crashing_request.is_stream = false;
    let lease = granted(node.dispatch(&crashing_request, now)).lease;
    for number in 0..3 {
        record_crash(
            node,
            crashing_request.digest,
            &InstanceId::from(format!("engine-{number}")),
            now,
        );
    }
    node.release(lease, Outcome::Rejected, now);
    assert!(matches!(
        node.dispatch(&crashing_request, now),
        Decision::Refuse(Reason::CrashesBackEnds, _)
    ));
}

/// Without the quarantine every node keeps sending the request to engines.
#[test]
fn without_the_quarantine_the_request_keeps_crashing_engines() {
    let mut scenario = scenario(8);
    scenario.fleet.restart_all_with(Features {
        quarantine: false,
        ..Features::ALL
    });
    add_engines(&mut scenario.fleet, 0..8);
    scenario.run(5_000);
    scenario.crash_three_engines();
    scenario.run(PROPAGATION_MS);
    assert_eq!(scenario.count_sends_by_all_nodes(), 8);
    let now = scenario.fleet.now;
    for node in &scenario.fleet.nodes {
        assert_eq!(node.snapshot(now).quarantine.quarantined, 0);
    }
}

/// A crash interrupts sixty requests of one node.
#[test]
fn announcing_a_crash_takes_few_bytes_and_ends_soon() {
    let mut scenario = scenario(72);
    scenario.fleet.measure_bytes();
    let quiet = bytes_in_one_second(&mut scenario);
    let now = scenario.fleet.now;
    for prompt in 0..60 {
        let digest = demand(prompt, 2_000, 100).digest;
        let engine = InstanceId::from("engine-1");
        record_crash(&mut scenario.fleet.nodes[3], digest, &engine, now);
    }
    let during = bytes_in_one_second(&mut scenario);
    scenario.run(10_000);
    let after = bytes_in_one_second(&mut scenario);
    let per_node = (during - quiet) / 72;
    assert!(per_node <= 8_000, "{per_node} bytes per node and second");
    assert!(
        after <= quiet + quiet / 10,
        "{after} bytes per second afterwards, {quiet} before"
    );
}

fn bytes_in_one_second(scenario: &mut CrashScenario) -> usize {
    let before = scenario.fleet.bytes;
    scenario.run(1_000);
    scenario.fleet.bytes - before
}
