//! Routing logic of an entry node: the production state machine or a simple baseline.

use eiderferry_admission::{CellPolicy, LoadReport};
use eiderferry_config::{Directory, EntryState};
use eiderferry_node::{
    AttemptEnd, CacheUpdate, Dispatch, DocumentKind, Identity, Node, NodeLimits, Output,
    PlatformDocument, Submission,
};
use eiderferry_types::{
    BackEndId, PoolId, Reason, Refusal, RequestId, Span, Timestamp, Verdict, ZoneId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The production state machine.
    Eiderferry,
    /// The production state machine with one rule disabled, to measure the effect of the rule
    /// or to show that the checker detects its absence.
    Without(Rule),
    /// Random back end of the node's zone.
    Random,
    /// Round robin over the back ends of the node's zone.
    RoundRobin,
    /// Back end of the node's zone with the lowest load according to delayed reports.
    LeastLoaded,
    /// One scheduler over all zones with exact and immediate knowledge, including the response
    /// lengths.
    Oracle,
}

/// A rule of the router that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Serve higher tiers first.
    TierOrder,
    /// Guarantee each class its minimum share.
    MinimumShares,
    /// Refuse requests early if their deadline is unreachable.
    EarlyRefusal,
    /// Prefer back ends that have the prompt's prefix cached.
    PrefixAffinity,
    /// Send fewer requests to slow back ends.
    SlowDetection,
    /// Share capacity fairly among tenants.
    TenantFairness,
    /// Forward only the next token of the current attempt.
    TokenOrder,
    /// Give the verdict `not_run` only if the request was certainly not executed.
    VerdictCare,
    /// Execute non-repeatable calls at most once.
    NotRepeatable,
    /// Send no new requests to leaving back ends.
    LeavingList,
    /// Finish open requests before a planned stop.
    Draining,
    /// Disseminate configurations between nodes.
    Dissemination,
    /// Accept newer configurations from peers after a restart.
    AskingPeers,
}

/// Rules and the names of the policies that disable them.
const RULE_NAMES: [(Rule, &str); 13] = [
    (Rule::TierOrder, "without-tier-order"),
    (Rule::MinimumShares, "without-minimum-shares"),
    (Rule::EarlyRefusal, "without-early-refusal"),
    (Rule::PrefixAffinity, "without-prefix-affinity"),
    (Rule::SlowDetection, "without-slow-detection"),
    (Rule::TenantFairness, "without-tenant-fairness"),
    (Rule::TokenOrder, "without-token-order"),
    (Rule::VerdictCare, "without-verdict-care"),
    (Rule::NotRepeatable, "without-not-repeatable"),
    (Rule::LeavingList, "without-leaving-list"),
    (Rule::Draining, "without-draining"),
    (Rule::Dissemination, "without-dissemination"),
    (Rule::AskingPeers, "without-asking-peers"),
];

impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Policy::Eiderferry => "eiderferry",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastLoaded => "least-loaded",
            Policy::Oracle => "oracle",
            Policy::Without(rule) => RULE_NAMES
                .iter()
                .find(|(known, _)| known == rule)
                .map_or("without", |(_, name)| name),
        };
        formatter.write_str(name)
    }
}

/// Error for a name that is not a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPolicy(String);

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rules: Vec<&str> = RULE_NAMES.iter().map(|(_, name)| *name).collect();
        write!(
            formatter,
            "unknown policy {:?}; known: eiderferry, random, round-robin, least-loaded, oracle, {}",
            self.0,
            rules.join(", ")
        )
    }
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let named = [
            Policy::Eiderferry,
            Policy::Random,
            Policy::RoundRobin,
            Policy::LeastLoaded,
            Policy::Oracle,
        ];
        let ablations = RULE_NAMES.iter().map(|(rule, _)| Policy::Without(*rule));
        named
            .into_iter()
            .chain(ablations)
            .find(|policy| policy.to_string() == text)
            .ok_or_else(|| UnknownPolicy(text.to_owned()))
    }
}

impl Policy {
    /// Returns the admission rules of the cells under this policy.
    pub(crate) fn cell_policy(self) -> CellPolicy {
        let mut policy = CellPolicy::default();
        if let Policy::Without(rule) = self {
            match rule {
                Rule::TierOrder => policy.tier_order = false,
                Rule::MinimumShares => policy.minimum_shares = false,
                Rule::EarlyRefusal => policy.early_refusal = false,
                Rule::PrefixAffinity => policy.prefix_affinity = false,
                Rule::SlowDetection => policy.slow_detection = false,
                Rule::TenantFairness => policy.tenant_fairness = false,
                // The simulation disables the other rules outside the state machine.
                _ => {}
            }
        }
        policy
    }
}

/// Routing logic of one entry node.
pub(crate) enum EntryLogic {
    /// The production state machine.
    Node(Box<Node>),
    /// A baseline router.
    Baseline(Box<BaselineRouter>),
}

impl EntryLogic {
    pub fn new(policy: Policy, identity: Identity, now: Timestamp, seed: u64) -> Self {
        match policy {
            Policy::Random | Policy::RoundRobin | Policy::LeastLoaded => {
                Self::Baseline(Box::new(BaselineRouter::new(policy, identity, seed)))
            }
            _ => {
                let limits = NodeLimits {
                    decision_log_entries: 0,
                    cell_policy: policy.cell_policy(),
                    ..NodeLimits::default()
                };
                Self::Node(Box::new(Node::new(identity, limits, now, seed)))
            }
        }
    }

    pub fn node(&self) -> Option<&Node> {
        match self {
            Self::Node(node) => Some(node),
            Self::Baseline(_) => None,
        }
    }

    pub fn node_mut(&mut self) -> Option<&mut Node> {
        match self {
            Self::Node(node) => Some(node),
            Self::Baseline(_) => None,
        }
    }

    pub fn submit(&mut self, now: Timestamp, submission: Submission) -> RequestId {
        match self {
            Self::Node(node) => node.submit(now, submission),
            Self::Baseline(baseline) => baseline.submit(now, submission),
        }
    }

    pub fn attempt_ended(&mut self, now: Timestamp, id: RequestId, attempt: u8, end: AttemptEnd) {
        match self {
            Self::Node(node) => node.attempt_ended(now, id, attempt, end),
            Self::Baseline(baseline) => baseline.attempt_ended(now, id, attempt, end),
        }
    }

    pub fn caller_disconnected(&mut self, now: Timestamp, id: RequestId) {
        match self {
            Self::Node(node) => node.caller_disconnected(now, id),
            Self::Baseline(baseline) => {
                baseline.requests.remove(&id.sequence);
            }
        }
    }

    pub fn report_slow_stream(&mut self, now: Timestamp, id: RequestId, per_token: Span) {
        if let Self::Node(node) = self {
            node.report_slow_stream(now, id, per_token);
        }
    }

    pub fn tick(&mut self, now: Timestamp) {
        match self {
            Self::Node(node) => node.tick(now),
            Self::Baseline(baseline) => baseline.tick(now),
        }
    }

    pub fn handle_platform_response(
        &mut self,
        now: Timestamp,
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    ) {
        match self {
            Self::Node(node) => node.handle_platform_response(now, kind, response),
            Self::Baseline(baseline) => {
                if let Ok(Some(PlatformDocument::Directory(directory))) = response {
                    baseline.apply_directory(&directory);
                }
            }
        }
    }

    pub fn handle_load_report(
        &mut self,
        now: Timestamp,
        back_end: BackEndId,
        report: &LoadReport,
        cache: &CacheUpdate,
    ) {
        match self {
            Self::Node(node) => node.handle_load_report(now, back_end, report, cache),
            Self::Baseline(baseline) => {
                if let Some(entry) = baseline.back_ends.get_mut(&back_end) {
                    entry.reported_load = report.running + report.waiting;
                }
            }
        }
    }

    pub fn take_outputs(&mut self) -> Vec<Output> {
        match self {
            Self::Node(node) => node.take_outputs(),
            Self::Baseline(baseline) => std::mem::take(&mut baseline.outputs),
        }
    }
}

/// Maximum number of attempts per request.
const BASELINE_MAX_ATTEMPTS: u8 = 3;
/// Interval between two reads of the directory.
const BASELINE_READ_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Interval between two polls of each back end.
const BASELINE_POLL_INTERVAL: Span = Span::from_milliseconds(1_000);
/// Time for which a dispatch is valid.
const BASELINE_DISPATCH_VALIDITY: Span = Span::from_milliseconds(60_000);

/// A back end as listed in the directory, with its last reported load.
struct BaselineBackEnd {
    pool: PoolId,
    zone: ZoneId,
    address: std::net::SocketAddr,
    leaving: bool,
    reported_load: u32,
}

/// A router that immediately sends each request to a back end of its zone; the back ends
/// queue requests by tier.
pub(crate) struct BaselineRouter {
    policy: Policy,
    identity: Identity,
    rng: ChaCha8Rng,
    back_ends: BTreeMap<BackEndId, BaselineBackEnd>,
    /// Submission, attempt number and number of delivered tokens by sequence number.
    requests: BTreeMap<u64, (Submission, u8, u32)>,
    next_sequence: u64,
    next_round_robin: usize,
    next_directory_read: Timestamp,
    next_poll: Timestamp,
    directory_version: u64,
    outputs: Vec<Output>,
}

impl BaselineRouter {
    fn new(policy: Policy, identity: Identity, seed: u64) -> Self {
        Self {
            policy,
            identity,
            rng: ChaCha8Rng::seed_from_u64(seed),
            back_ends: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_sequence: 0,
            next_round_robin: 0,
            next_directory_read: Timestamp::default(),
            next_poll: Timestamp::default(),
            directory_version: 0,
            outputs: Vec::new(),
        }
    }

    fn submit(&mut self, now: Timestamp, submission: Submission) -> RequestId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.requests.insert(sequence, (submission, 0, 0));
        self.dispatch(now, sequence);
        self.id(sequence)
    }

    fn id(&self, sequence: u64) -> RequestId {
        RequestId {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
            sequence,
        }
    }

    fn dispatch(&mut self, now: Timestamp, sequence: u64) {
        let Some((submission, attempt, delivered_tokens)) = self.requests.get(&sequence).cloned()
        else {
            return;
        };
        let request = self.id(sequence);
        let Some(back_end) = self.choose_back_end(submission.pool) else {
            self.requests.remove(&sequence);
            let refusal = Refusal::not_run(Reason::NoBackEnd, None);
            self.outputs.push(Output::Reject { request, refusal });
            return;
        };
        self.outputs.push(Output::Dispatch(Dispatch {
            request,
            attempt,
            back_end,
            address: self.back_ends[&back_end].address,
            dispatch_by: now + BASELINE_DISPATCH_VALIDITY,
            delivered_tokens,
        }));
    }

    fn choose_back_end(&mut self, pool: PoolId) -> Option<BackEndId> {
        let zone = self.identity.zone;
        let candidates: Vec<BackEndId> = self
            .back_ends
            .iter()
            .filter(|(_, entry)| entry.pool == pool && entry.zone == zone && !entry.leaving)
            .map(|(id, _)| *id)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        self.next_round_robin += 1;
        match self.policy {
            Policy::RoundRobin => Some(candidates[self.next_round_robin % candidates.len()]),
            Policy::LeastLoaded => candidates
                .iter()
                .copied()
                .min_by_key(|id| (self.back_ends[id].reported_load, *id)),
            _ => Some(candidates[self.rng.random_range(0..candidates.len())]),
        }
    }

    fn attempt_ended(&mut self, now: Timestamp, id: RequestId, attempt: u8, end: AttemptEnd) {
        let Some((submission, current, delivered)) = self.requests.get_mut(&id.sequence) else {
            return;
        };
        if *current != attempt {
            return;
        }
        let AttemptEnd::Failed {
            verdict,
            observation,
            ..
        } = end
        else {
            self.requests.remove(&id.sequence);
            return;
        };
        let may_retry = verdict == Verdict::NotRun || submission.not_repeatable.is_none();
        if may_retry && attempt + 1 < BASELINE_MAX_ATTEMPTS {
            *current += 1;
            *delivered += observation.tokens;
            self.dispatch(now, id.sequence);
            return;
        }
        self.requests.remove(&id.sequence);
        let refusal = Refusal {
            verdict,
            reason: Reason::BackEndFailed,
            retry_after: None,
        };
        self.outputs.push(Output::Reject {
            request: id,
            refusal,
        });
    }

    fn tick(&mut self, now: Timestamp) {
        if now >= self.next_directory_read {
            self.next_directory_read = now + BASELINE_READ_INTERVAL;
            let known_version = self.directory_version;
            let kind = DocumentKind::Directory;
            self.outputs.push(Output::ReadPlatform {
                kind,
                known_version,
            });
        }
        if now >= self.next_poll && self.policy == Policy::LeastLoaded {
            self.next_poll = now + BASELINE_POLL_INTERVAL;
            for (back_end, entry) in &self.back_ends {
                self.outputs.push(Output::PollBackEnd {
                    back_end: *back_end,
                    address: entry.address,
                    cache_cursor: 0,
                });
            }
        }
    }

    fn apply_directory(&mut self, directory: &Directory) {
        self.directory_version = directory.version;
        let known = std::mem::take(&mut self.back_ends);
        for entry in &directory.back_ends {
            let reported_load = known.get(&entry.id).map_or(0, |old| old.reported_load);
            self.back_ends.insert(
                entry.id,
                BaselineBackEnd {
                    pool: entry.role,
                    zone: entry.zone,
                    address: entry.address,
                    leaving: entry.state == EntryState::Leaving,
                    reported_load,
                },
            );
        }
    }
}
