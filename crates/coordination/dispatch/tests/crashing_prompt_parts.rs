//! A prompt part that crashes each engine that starts a response to it, across a fleet: how many
//! requests with it still reach engines, and whether sound requests are served.

mod support;

use eiderferry_dispatch::{
    CrashedRun, Decision, LeaseId, Outcome, RunProgress, SOUND_WRITING_TIME, SharedParts,
    StreamPacing,
};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, Span, Timestamp};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use support::{Fleet, back_end, back_end_change, demand, granted};

const ZONES: usize = 3;
const FAULTY_PART: u64 = 0xbad;
const SHARED_PART: u64 = 0xa1;
/// Time from a request to the start of its response.
const START_DELAY: Span = Span::from_milliseconds(200);
/// Time from the start of a response to its end.
const RUN_TIME: Span = Span::from_milliseconds(1_500);
/// Time for which a crashed engine is down.
const DOWN_TIME: Span = Span::from_milliseconds(3_000);
/// Time within which all nodes must know of the part after the fifth crash.
const PROPAGATION_TIME: Span = Span::from_milliseconds(3_000);
const CRASH_THRESHOLD: usize = 5;
const MAX_LATER_SENDS: usize = 3;
/// Time after the fifth crash from which sound requests have to be served.
const RECOVERY_TIME: Span = Span::from_milliseconds(6_000);
const MIN_SERVED_SHARE: f64 = 0.9;

#[derive(Clone, Debug)]
struct Run {
    node: usize,
    lease: LeaseId,
    engine: usize,
    starts_at: Timestamp,
    has_started: bool,
    run: CrashedRun,
}

#[derive(Clone, Debug)]
struct Engine {
    /// Number of restarts, which is part of the instance's name.
    restarts: usize,
    down_until: Timestamp,
}

struct Storm {
    fleet: Fleet,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    requests: u64,
    revision: u64,
    crashes: Vec<Timestamp>,
    /// Times at which requests with the faulty part reached engines.
    faulty_sends: Vec<Timestamp>,
    /// Times of sound requests, and whether each was sent to an engine that was up.
    sound: Vec<(Timestamp, bool)>,
    refused_sound: usize,
}

impl Storm {
    fn new(nodes: usize, engine_count: usize) -> Self {
        let mut storm = Self {
            fleet: Fleet::new(nodes, ZONES),
            engines: vec![
                Engine {
                    restarts: 0,
                    down_until: Timestamp::default(),
                };
                engine_count
            ],
            runs: Vec::new(),
            requests: 0,
            revision: 1,
            crashes: Vec::new(),
            faulty_sends: Vec::new(),
            sound: Vec::new(),
            refused_sound: 0,
        };
        for engine in 0..engine_count {
            storm.list(engine);
        }
        storm.fleet.run_with_platform(12_000, 1);
        storm
    }

    fn instance(&self, engine: usize) -> InstanceId {
        let restarts = self.engines[engine].restarts;
        InstanceId::from(format!("engine-{engine}-{restarts}"))
    }

    /// Lists an engine's current run on all nodes.
    fn list(&mut self, engine: usize) {
        self.revision += 1;
        let instance = self.instance(engine);
        let listed = back_end(instance.as_str(), engine, engine % ZONES);
        let now = self.fleet.now;
        for node in &mut self.fleet.nodes {
            node.apply(back_end_change(listed.clone(), self.revision), now);
        }
    }

    /// Sends a request that differs from all others, with these shared parts.
    fn send(&mut self, node: usize, shared: &[u64]) {
        let now = self.fleet.now;
        self.requests += 1;
        let mut request = demand(SHARED_PART, 2_000, 100);
        request.digest.0 = self.requests;
        request.shared_parts = SharedParts {
            ids: Arc::from(shared),
            ..request.shared_parts
        };
        let is_faulty = shared.contains(&FAULTY_PART);
        let decision = self.fleet.nodes[node].dispatch(&request, now);
        let is_sent = match decision {
            Decision::Grant(grant) => {
                let engine = (0..self.engines.len())
                    .find(|engine| self.instance(*engine) == grant.instance)
                    .filter(|engine| self.engines[*engine].down_until <= now);
                if let Some(engine) = engine {
                    self.runs.push(Run {
                        node,
                        lease: grant.lease,
                        engine,
                        starts_at: now + START_DELAY,
                        has_started: false,
                        run: CrashedRun {
                            request: request.digest,
                            shared_parts: request.shared_parts.clone(),
                            instance: grant.instance,
                            progress: RunProgress::Waiting,
                        },
                    });
                } else {
                    let node = &mut self.fleet.nodes[node];
                    node.release(grant.lease, Outcome::ConnectionRefused, now);
                }
                engine.is_some()
            }
            Decision::Refuse(Reason::CrashesBackEnds, _) => {
                self.refused_sound += usize::from(!is_faulty);
                false
            }
            Decision::Refuse(..) => false,
        };
        if !is_faulty {
            self.sound.push((now, is_sent));
        } else if is_sent {
            self.faulty_sends.push(now);
        }
    }

    fn step(&mut self) {
        self.fleet.run_with_platform(100, 1);
        let now = self.fleet.now;
        for engine in 0..self.engines.len() {
            let state = &mut self.engines[engine];
            if state.down_until != Timestamp::default() && state.down_until <= now {
                state.down_until = Timestamp::default();
                state.restarts += 1;
                self.list(engine);
            }
        }
        for number in 0..self.runs.len() {
            let run = &mut self.runs[number];
            if run.has_started || run.starts_at > now {
                continue;
            }
            run.has_started = true;
            let is_faulty = run.run.shared_parts.ids.contains(&FAULTY_PART);
            let (node, lease, engine) = (run.node, run.lease, run.engine);
            if !is_faulty {
                self.fleet.nodes[node].record_first_event(lease, now);
            } else if self.engines[engine].down_until <= now {
                self.engines[engine].down_until = now + DOWN_TIME;
                self.crashes.push(now);
            }
        }
        self.end_runs(now);
    }

    /// Ends the runs that are complete, and those whose engine has crashed.
    fn end_runs(&mut self, now: Timestamp) {
        let runs = std::mem::take(&mut self.runs);
        for mut run in runs {
            let node = &mut self.fleet.nodes[run.node];
            if self.engines[run.engine].down_until > now {
                run.run.progress = match run.has_started {
                    false => RunProgress::Waiting,
                    true if now.since(run.starts_at) < Span::from_milliseconds(200) => {
                        RunProgress::Started(Span::from_milliseconds(50))
                    }
                    true => RunProgress::Writing(now.since(run.starts_at)),
                };
                node.release(run.lease, Outcome::IncompleteResponse, now);
                node.record_crash(&run.run, now);
            } else if run.starts_at + RUN_TIME <= now {
                let mut pacing = StreamPacing::default();
                pacing.record(1, run.starts_at);
                pacing.record(9, now);
                node.record_pacing(run.lease, &pacing);
                node.release(run.lease, Outcome::Completed, now);
            } else {
                if now.since(run.starts_at) >= SOUND_WRITING_TIME {
                    node.record_writing(run.lease, now);
                }
                self.runs.push(run);
            }
        }
    }

    /// Runs the fleet with sound requests at all nodes and, if asked, one or two requests with the
    /// faulty part in each tick, each at another node.
    fn run(&mut self, milliseconds: u64, has_faulty: bool) {
        let count = self.fleet.nodes.len();
        for tick in 0..milliseconds / 100 {
            self.step();
            for number in 0..8u64 {
                let node = (self.requests as usize * 7 + number as usize) % count;
                let subject = 0xc000 + (self.requests % 40);
                self.send(node, &[SHARED_PART, subject]);
            }
            if has_faulty {
                for _ in 0..1 + tick % 2 {
                    let node = (self.requests as usize * 13) % count;
                    self.send(node, &[SHARED_PART, FAULTY_PART, 0xd000 + self.requests]);
                }
            }
        }
    }

    /// The crash from which the time to learn of the part counts.
    fn counted_crash(&self) -> Timestamp {
        let counted = self.crashes.len().min(CRASH_THRESHOLD);
        self.crashes[counted - 1]
    }

    fn assert_few_later_sends(&self) {
        let from = self.counted_crash() + PROPAGATION_TIME;
        let later = self.faulty_sends.iter().filter(|at| **at > from).count();
        assert!(
            later <= MAX_LATER_SENDS,
            "{later} requests with the part reached engines later; {} crashes",
            self.crashes.len()
        );
    }

    fn assert_sound_requests_served(&self) {
        let from = self.counted_crash() + RECOVERY_TIME;
        let sound = self.sound.iter().filter(|(at, _)| *at > from);
        let served = sound.clone().filter(|(_, is_sent)| *is_sent).count();
        let share = served as f64 / sound.count().max(1) as f64;
        assert!(
            share >= MIN_SERVED_SHARE,
            "{share:.2} of the sound requests"
        );
        assert_eq!(self.refused_sound, 0, "sound requests refused for a part");
    }
}

#[rstest]
#[case::small(8, 9, None)]
#[case::small_losing_messages(8, 9, Some(5))]
#[case::with_aggregators(72, 27, None)]
#[case::large(295, 45, None)]
#[case::large_losing_messages(295, 45, Some(5))]
fn a_part_that_crashed_five_engines_reaches_few_others(
    #[case] nodes: usize,
    #[case] engines: usize,
    #[case] loss_interval: Option<u64>,
) {
    let mut storm = Storm::new(nodes, engines);
    storm.fleet.loss_interval = loss_interval;
    storm.run(3_000, false);
    storm.run(12_000, true);
    storm.assert_few_later_sends();
    storm.assert_sound_requests_served();
}

/// A node that starts, or resumes after a pause, is sent the part at once.
#[rstest]
#[case::restarted(true)]
#[case::paused(false)]
fn a_node_that_was_away_refuses_the_part(#[case] is_restarted: bool) {
    let mut storm = Storm::new(8, 9);
    storm.run(3_000, false);
    if !is_restarted {
        storm.fleet.stopped_nodes.insert(5);
    }
    storm.run(8_000, true);
    let crashes = storm.crashes.len();
    if is_restarted {
        storm.fleet.restart(5);
        for engine in 0..storm.engines.len() {
            storm.list(engine);
        }
    } else {
        storm.fleet.stopped_nodes.clear();
        let now = storm.fleet.now;
        storm.fleet.nodes[5].resume_after_pause(now);
    }
    storm.run(PROPAGATION_TIME.milliseconds(), false);
    for _ in 0..20 {
        storm.step();
        storm.send(5, &[SHARED_PART, FAULTY_PART]);
    }
    assert_eq!(storm.crashes.len(), crashes);
}

/// Engines crash at random while all requests share a part: neither it nor the rarer parts beside it
/// are ever refused.
#[rstest]
#[case::in_turn(8, 9, 1)]
#[case::three_at_once(8, 9, 3)]
#[case::with_aggregators(72, 27, 3)]
fn crashes_for_other_reasons_refuse_no_part(
    #[case] nodes: usize,
    #[case] engines: usize,
    #[case] at_once: usize,
) {
    let mut storm = Storm::new(nodes, engines);
    storm.run(2_000, false);
    for round in 0..60 {
        let now = storm.fleet.now;
        for number in 0..at_once {
            let engine = (round * 5 + number) % engines;
            if storm.engines[engine].down_until <= now {
                storm.engines[engine].down_until = now + DOWN_TIME;
            }
        }
        storm.end_runs(now);
        storm.run(500, false);
    }
    assert_eq!(storm.refused_sound, 0);
    let quarantined = storm.fleet.nodes.iter().map(|node| {
        let snapshot = node.snapshot(storm.fleet.now);
        snapshot.part_quarantine.quarantined
    });
    assert_eq!(quarantined.max(), Some(0));
}

/// A run exonerates its parts if events of it kept arriving, not if its back end fell silent.
#[rstest]
#[case::writing(true)]
#[case::silent_after_the_first_event(false)]
fn a_run_that_broke_off_exonerates_its_parts_if_it_had_been_writing(#[case] is_writing: bool) {
    let mut storm = Storm::new(8, 9);
    let now = storm.fleet.now;
    let node = &mut storm.fleet.nodes[0];
    let mut request = demand(SHARED_PART, 2_000, 100);
    request.shared_parts.ids = Arc::from([FAULTY_PART]);
    let lease = granted(node.dispatch(&request, now)).lease;
    node.record_first_event(lease, now);
    let now = now + Span::from_milliseconds(1_200);
    if is_writing {
        node.record_writing(lease, now);
    }
    node.release(lease, Outcome::IncompleteResponse, now);
    for number in 0..3 {
        let run = CrashedRun {
            request: demand(number, 10, 10).digest,
            shared_parts: request.shared_parts.clone(),
            instance: InstanceId::from(format!("crashed-{number}")),
            progress: RunProgress::Started(Span::ZERO),
        };
        node.record_crash(&run, now + Span::from_milliseconds(number * 200));
    }
    let quarantined = node.snapshot(now).part_quarantine.quarantined;
    assert_eq!(quarantined, usize::from(!is_writing));
}

/// Back ends of another zone that a part crashed refuse connections; the others there keep getting
/// requests.
#[test]
fn a_zone_whose_engines_a_part_crashed_is_not_held_to_be_partitioned() {
    let mut storm = Storm::new(8, 9);
    let now = storm.fleet.now;
    let shared_parts = SharedParts {
        pool: 1,
        caller: 1,
        ids: Arc::from([FAULTY_PART]),
    };
    let node = &mut storm.fleet.nodes[0];
    for (number, engine) in [1, 4, 2].into_iter().enumerate() {
        let run = CrashedRun {
            request: demand(number as u64, 10, 10).digest,
            shared_parts: shared_parts.clone(),
            instance: InstanceId::from(format!("engine-{engine}-0")),
            progress: RunProgress::Started(Span::ZERO),
        };
        node.record_crash(&run, now + Span::from_milliseconds(number as u64 * 200));
    }
    let now = now + Span::from_milliseconds(500);
    for engine in [1, 4] {
        let mut request = demand(SHARED_PART, 2_000, 100);
        let engines = (0..9).map(|number| InstanceId::from(format!("engine-{number}-0")));
        let crashed = InstanceId::from(format!("engine-{engine}-0"));
        request.excluded_back_ends = engines.filter(|other| *other != crashed).collect();
        let lease = granted(node.dispatch(&request, now)).lease;
        node.release(lease, Outcome::ConnectionRefused, now);
    }
    assert_eq!(node.snapshot(now).ejected_back_ends, 2);
}

/// Mean bytes per node and second in a second, after this many parts were found to crash engines.
fn bytes_per_second(storm: &mut Storm, seconds: u64) -> usize {
    let before = storm.fleet.bytes;
    storm.fleet.run_with_platform(seconds * 1_000, 1);
    (storm.fleet.bytes - before) / storm.fleet.nodes.len() / seconds as usize
}

#[rstest]
#[case::small(8, 9)]
#[case::with_aggregators(72, 27)]
#[case::large(295, 45)]
fn reports_of_parts_take_few_bytes(#[case] nodes: usize, #[case] engines: usize) {
    let mut measured = BTreeMap::new();
    for parts in [0u64, 1, 10, 100] {
        let mut storm = Storm::new(nodes, engines);
        let now = storm.fleet.now;
        for part in 0..parts {
            for number in 0..3u64 {
                let run = CrashedRun {
                    request: demand(part, 10, 10).digest,
                    shared_parts: SharedParts {
                        pool: 0x1234_5678,
                        caller: 0x1234_5678,
                        ids: Arc::from([0x1234_5678_9abc_0000 + part]),
                    },
                    instance: InstanceId::from(format!("crashed-{part}-{number}")),
                    progress: RunProgress::Started(Span::ZERO),
                };
                let at = now + Span::from_milliseconds(number * 150);
                storm.fleet.nodes[part as usize % nodes].record_crash(&run, at);
            }
        }
        storm.fleet.measure_bytes();
        let at_first = bytes_per_second(&mut storm, 3);
        let steady = bytes_per_second(&mut storm, 10);
        measured.insert(parts, (at_first, steady));
    }
    println!("{nodes} nodes, bytes per node and second, first 3 s and later: {measured:?}");
    let (calm_at_first, calm) = measured[&0];
    assert!(measured[&1].0 <= calm_at_first + 2_000, "{measured:?}");
    assert!(measured[&100].1 <= calm + 2_000, "{measured:?}");
}
