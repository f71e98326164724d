//! Quarantine of requests that crash back ends, when callers send them to several nodes.

use eiderferry_admission::{Observation, Outcome};
use eiderferry_config::{Configuration, Directory, DirectoryEntry, EntryState};
use eiderferry_node::{
    AttemptEnd, CacheUpdate, DocumentKind, Envelope, Identity, Node, NodeLimits, Output,
    PlatformDocument, SharedParts, Submission,
};
use eiderferry_types::{
    BackEndId, ClassId, Incarnation, NodeId, PoolId, Reason, RequestDigest, RequestId, Span,
    TenantId, Timestamp, Verdict, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const ZONE: ZoneId = ZoneId(1);
const NODES: u32 = 3;
const BACK_ENDS: u32 = 8;
/// Time from the start of a run to the crash that it causes.
const TIME_TO_CRASH: Span = Span::from_milliseconds(150);
/// Time within which all nodes have to refuse a part after the fifth crash.
const PROPAGATION_TIME: Span = Span::from_milliseconds(3_000);
/// Time for which a back end is down after a crash.
const DOWNTIME: Span = Span::from_milliseconds(1_000);
const FATAL: RequestDigest = RequestDigest(666);
const CONFIGURATION: &str = "version: 1
zones:
  - { id: 1, name: zone-1 }
pools:
  - { id: 1, name: pool-1, kind: engine, model: model-1, slots_per_back_end: 8,
      kv_tokens_per_back_end: 2000000, back_ends_per_cell: 8 }
classes:
  - { id: 1, name: class-1, tier: 1, time_to_first_token_ms: 2000, time_per_token_ms: 62,
      minimum_share: 0.05 }
tenants:
  - { id: 1, name: tenant-1, key_digests: [], classes: [class-1], pools: [pool-1] }
";

fn address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 9))
}

fn directory() -> Directory {
    Directory {
        epoch: 0,
        version: 1,
        nodes: (1..=NODES)
            .map(|number| DirectoryEntry {
                id: NodeId(number),
                zone: ZONE,
                role: (),
                address: address(number),
                state: EntryState::Live,
            })
            .collect(),
        back_ends: (1..=BACK_ENDS)
            .map(|number| DirectoryEntry {
                id: BackEndId(number),
                zone: ZONE,
                role: PoolId(1),
                address: address(100 + number),
                state: EntryState::Live,
            })
            .collect(),
    }
}

fn observation(outcome: Outcome) -> Observation {
    Observation {
        outcome,
        ..Observation::UNUSED
    }
}

/// Starts a run of a node that has read both documents from the platform.
fn node(number: u32, incarnation: Incarnation, now: Timestamp) -> Node {
    let identity = Identity {
        node: NodeId(number),
        zone: ZONE,
        incarnation,
    };
    let mut node = Node::new(identity, NodeLimits::default(), now, u64::from(number));
    let document = PlatformDocument::Directory(directory());
    node.handle_platform_response(now, DocumentKind::Directory, Ok(Some(document)));
    let configuration = Configuration::from_yaml("test", CONFIGURATION).expect("valid");
    let document = PlatformDocument::Configuration(configuration);
    node.handle_platform_response(now, DocumentKind::Configuration, Ok(Some(document)));
    node
}

/// Nodes whose messages are delivered immediately, and back ends that the fatal requests crash.
struct Fleet {
    now: Timestamp,
    nodes: Vec<Node>,
    fatal_requests: BTreeSet<RequestId>,
    /// Crashed back ends, with the time until which they are down.
    down: BTreeMap<BackEndId, Timestamp>,
    /// Number of times that a fatal request crashed a back end.
    crashes: u32,
    crash_times: Vec<Timestamp>,
    completed: u32,
    refused: Vec<(Reason, Verdict)>,
}

impl Fleet {
    fn start() -> Self {
        let now = Timestamp(1_000);
        let nodes = (1..=NODES).map(|number| node(number, Incarnation(580_000_000), now));
        let mut fleet = Self {
            now,
            nodes: nodes.collect(),
            fatal_requests: BTreeSet::new(),
            down: BTreeMap::new(),
            crashes: 0,
            crash_times: Vec::new(),
            completed: 0,
            refused: Vec::new(),
        };
        fleet.run(5_000);
        fleet
    }

    fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 50 {
            self.now = self.now + Span::from_milliseconds(50);
            for index in 0..self.nodes.len() {
                self.nodes[index].tick(self.now);
            }
            self.apply_outputs();
        }
    }

    fn submit(&mut self, index: usize, digest: RequestDigest) {
        self.submit_parts(index, digest, &[], digest == FATAL);
    }

    /// Submits a request whose prompt has these shared parts.
    fn submit_parts(&mut self, index: usize, digest: RequestDigest, parts: &[u64], is_fatal: bool) {
        let submission = Submission {
            digest,
            class: ClassId(1),
            tenant: TenantId(1),
            pool: PoolId(1),
            prompt_tokens: 800,
            prefixes: Vec::new(),
            shared_parts: SharedParts {
                pool: 1,
                caller: 1,
                ids: Arc::from(parts),
            },
            first_token_due: self.now + Span::from_milliseconds(2_000),
            not_repeatable: None,
        };
        let request = self.nodes[index].submit(self.now, submission);
        if is_fatal {
            self.fatal_requests.insert(request);
        }
        self.apply_outputs();
        self.run(200);
    }

    fn apply_outputs(&mut self) {
        loop {
            let mut is_idle = true;
            for index in 0..self.nodes.len() {
                for output in self.nodes[index].take_outputs() {
                    is_idle = false;
                    self.apply_output(index, output);
                }
            }
            if is_idle {
                return;
            }
        }
    }

    /// Runs an attempt on a back end, which is down for `DOWNTIME` after a crash.
    fn run_attempt(&mut self, back_end: BackEndId, is_fatal: bool) -> AttemptEnd {
        let is_down = self
            .down
            .get(&back_end)
            .is_some_and(|until| self.now < *until);
        if !is_down && !is_fatal {
            self.completed += 1;
            return AttemptEnd::Completed(observation(Outcome::Completed));
        }
        if !is_down {
            self.now = self.now + TIME_TO_CRASH;
            self.crashes += 1;
            self.crash_times.push(self.now);
            self.down.insert(back_end, self.now + DOWNTIME);
        }
        let verdict = if is_down {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        AttemptEnd::Failed {
            verdict,
            observation: observation(Outcome::Failed),
            has_crashed: !is_down,
        }
    }

    /// Sends the fatal request through each node in turn until it has crashed three back ends.
    fn crash_three_back_ends(&mut self) {
        for number in 0..12 {
            if self.crashes == 3 {
                return;
            }
            self.submit(number % NODES as usize, FATAL);
        }
        panic!("{} crashes", self.crashes);
    }

    fn apply_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                let identity = self.nodes[index].identity();
                let envelope = Envelope {
                    from: identity.node,
                    incarnation: identity.incarnation,
                    receiver: None,
                    messages: vec![message],
                };
                self.nodes[to.0 as usize - 1].receive(self.now, envelope);
            }
            Output::Dispatch(dispatch) => {
                let is_fatal = self.fatal_requests.contains(&dispatch.request);
                let end = self.run_attempt(dispatch.back_end, is_fatal);
                let (request, attempt) = (dispatch.request, dispatch.attempt);
                self.nodes[index].attempt_ended(self.now, request, attempt, end);
            }
            Output::Reject { refusal, .. } => self.refused.push((refusal.reason, refusal.verdict)),
            Output::PollBackEnd { back_end, .. } => {
                let report = eiderferry_admission::LoadReport::default();
                let update = CacheUpdate::default();
                self.nodes[index].handle_load_report(self.now, back_end, &report, &update);
            }
            _ => {}
        }
    }
}

/// Without the quarantine, each submission would crash as many back ends as it has attempts.
#[test]
fn all_nodes_refuse_a_request_after_its_third_crash() {
    let mut fleet = Fleet::start();
    fleet.crash_three_back_ends();
    fleet.refused.clear();
    for number in 0..12 {
        fleet.submit(number % NODES as usize, FATAL);
    }
    assert_eq!(fleet.crashes, 3);
    assert_eq!(
        fleet.refused,
        [(Reason::CrashesBackEnds, Verdict::NotRun); 12]
    );
}

#[test]
fn a_request_quarantined_while_open_is_refused_as_may_have_run() {
    let mut fleet = Fleet::start();
    fleet.crash_three_back_ends();
    let expected = (Reason::CrashesBackEnds, Verdict::MayHaveRun);
    assert_eq!(fleet.refused.last(), Some(&expected));
}

#[test]
fn other_requests_complete_once_the_back_ends_are_up_again() {
    let mut fleet = Fleet::start();
    fleet.crash_three_back_ends();
    fleet.run(DOWNTIME.milliseconds());
    for number in 0..12 {
        fleet.submit(number % NODES as usize, RequestDigest(number as u64));
    }
    assert_eq!(fleet.completed, 12);
}

#[test]
fn a_restarted_node_learns_of_the_quarantined_request() {
    let mut fleet = Fleet::start();
    fleet.crash_three_back_ends();
    fleet.nodes[2] = node(3, Incarnation(590_000_000), fleet.now);
    fleet.run(3_000);
    fleet.submit(2, FATAL);
    assert_eq!(fleet.crashes, 3);
}

/// Requests with one part in common and otherwise different.
#[test]
fn all_nodes_refuse_a_prompt_part_that_crashes_back_ends() {
    const SOUND_PART: u64 = 0xa1;
    const FATAL_PART: u64 = 0xbad;
    let mut fleet = Fleet::start();
    let nodes = NODES as usize;
    for number in 0..6 {
        let digest = RequestDigest(100 + number);
        fleet.submit_parts(number as usize % nodes, digest, &[SOUND_PART], false);
    }
    let mut digests = (1_000..).map(RequestDigest);
    let mut submit_fatal = |fleet: &mut Fleet, number: usize| {
        let digest = digests.next().expect("a digest");
        fleet.submit_parts(number % nodes, digest, &[SOUND_PART, FATAL_PART], true);
    };
    for number in 0..40 {
        submit_fatal(&mut fleet, number);
    }
    let deadline = fleet.crash_times[4] + PROPAGATION_TIME;
    let times = fleet.crash_times.iter();
    let later = times.filter(|at| **at > deadline).count();
    assert!(later <= 3, "{later} of {} crashes", fleet.crashes);
    let crashes = fleet.crashes;
    fleet.run(DOWNTIME.milliseconds());
    fleet.refused.clear();
    for number in 0..12 {
        submit_fatal(&mut fleet, number);
    }
    assert_eq!(fleet.crashes, crashes);
    assert_eq!(
        fleet.refused,
        [(Reason::CrashesBackEnds, Verdict::NotRun); 12]
    );
    let completed = fleet.completed;
    for number in 0..12 {
        let digest = RequestDigest(200 + number);
        fleet.submit_parts(number as usize % nodes, digest, &[SOUND_PART], false);
    }
    assert_eq!(fleet.completed, completed + 12);
}
