//! The node's state, the entry points for events, and the dispatch of peer messages.

use crate::catalog::Catalog;
use crate::claims::Settlements;
use crate::class_counts::ClassCounts;
use crate::decision::{Decision, DecisionLog, Step};
use crate::held_cells::HeldCell;
use crate::message::{Envelope, Message};
use crate::output::Output;
use crate::probes::ProbeSchedule;
use crate::releases::Releases;
use crate::request::{LocalRequest, Phase};
use crate::restored_directory::LeavingOverrides;
use crate::retry_budget::RetryBudget;
use eiderferry_admission::{CellPolicy, CellSnapshot};
use eiderferry_config::{Configuration, Directory};
use eiderferry_dissemination::{ReadSchedule, Replica};
use eiderferry_membership::Fleet;
use eiderferry_once::{KeyName, KeyTable, KeyTableFull, OwnershipHistory};
use eiderferry_quarantine::{PartQuarantine, Quarantine};
use eiderferry_types::{CellId, ClassId, Incarnation, NodeId, RequestId, Span, Timestamp, ZoneId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval at which [`Node::tick`] must be called.
pub(crate) const TICK_INTERVAL: Span = Span::from_milliseconds(50);
/// Repeat window used until a configuration sets one.
const DEFAULT_REPEAT_WINDOW: Span = Span::from_milliseconds(60_000);
/// Time for which a new node waits for newer document versions before it reports ready;
/// it reports ready earlier once it has heard from a peer.
const READY_DELAY: Span = Span::from_milliseconds(1_500);

/// Identity of one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Identifier of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneId,
    /// Incarnation number of this run of its process.
    pub incarnation: Incarnation,
}

/// Memory limits, seed peers and policy of a node.
#[derive(Clone, Debug)]
pub struct NodeLimits {
    /// Maximum number of idempotency keys kept at a time.
    pub key_table_entries: usize,
    /// Maximum number of decisions kept to explain requests.
    pub decision_log_entries: usize,
    /// Whether each decision is also emitted as [`Output::Decided`].
    pub emit_decisions: bool,
    /// Addresses of peers to fetch documents from while none are known.
    pub seeds: Vec<SocketAddr>,
    /// Admission policy of the cells held here.
    pub cell_policy: CellPolicy,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            key_table_entries: 50_000,
            decision_log_entries: 20_000,
            emit_decisions: false,
            seeds: Vec::new(),
            cell_policy: CellPolicy::default(),
        }
    }
}

/// The control state of one entry node.
pub struct Node {
    pub(crate) identity: Identity,
    pub(crate) limits: NodeLimits,
    pub(crate) started: Timestamp,
    pub(crate) now: Timestamp,
    pub(crate) fleet: Fleet,
    pub(crate) configuration: Replica<Configuration>,
    pub(crate) directory: Replica<Directory>,
    pub(crate) leaving_overrides: LeavingOverrides,
    pub(crate) catalog: Catalog,
    pub(crate) configuration_reads: ReadSchedule,
    pub(crate) directory_reads: ReadSchedule,
    /// Version of the last configuration that was rejected as invalid.
    pub(crate) invalid_configuration: u64,
    pub(crate) cells: BTreeMap<CellId, HeldCell>,
    pub(crate) requests: BTreeMap<u64, LocalRequest>,
    pub(crate) next_sequence: u64,
    pub(crate) releases: Releases,
    pub(crate) keys: KeyTable,
    pub(crate) key_history: OwnershipHistory,
    pub(crate) settlements: Settlements,
    /// Free slots per cell as last reported, with the time of the report.
    pub(crate) free_slots: BTreeMap<CellId, (u32, Timestamp)>,
    /// Cells that recently refused a class, with the time until which they aren't asked
    /// again.
    pub(crate) saturated_until: BTreeMap<(CellId, ClassId), Timestamp>,
    pub(crate) counts: BTreeMap<ClassId, ClassCounts>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) probes: ProbeSchedule,
    pub(crate) quarantine: Quarantine,
    pub(crate) part_quarantine: PartQuarantine,
    pub(crate) draining: bool,
    /// Set after this node's process was paused, as its directory may be out of date: the node
    /// grants nothing until the directory is confirmed, or at the latest until this time.
    pub(crate) directory_unverified_until: Option<Timestamp>,
    /// Echo value of the pings sent after the last pause.
    pub(crate) verification_echo: u16,
    pub(crate) heard_any_peer: bool,
    pub(crate) random: ChaCha8Rng,
    pub(crate) decisions: DecisionLog,
    inbox: VecDeque<Message>,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node without documents or peers. `seed` seeds its random choices.
    pub fn new(identity: Identity, limits: NodeLimits, now: Timestamp, seed: u64) -> Self {
        let decisions = DecisionLog::new(limits.decision_log_entries);
        let keys = KeyTable::new(limits.key_table_entries, DEFAULT_REPEAT_WINDOW);
        Self {
            identity,
            started: now,
            now,
            fleet: Fleet::new(identity.node, identity.zone),
            configuration: Replica::default(),
            directory: Replica::default(),
            leaving_overrides: LeavingOverrides::default(),
            catalog: Catalog::default(),
            configuration_reads: ReadSchedule::default(),
            directory_reads: ReadSchedule::default(),
            invalid_configuration: 0,
            cells: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_sequence: 0,
            releases: Releases::default(),
            keys,
            key_history: OwnershipHistory::new(identity.node, DEFAULT_REPEAT_WINDOW, now),
            settlements: Settlements::default(),
            free_slots: BTreeMap::new(),
            saturated_until: BTreeMap::new(),
            counts: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            probes: ProbeSchedule::default(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            draining: false,
            directory_unverified_until: None,
            verification_echo: 0,
            heard_any_peer: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            decisions,
            inbox: VecDeque::new(),
            outputs: Vec::new(),
            limits,
        }
    }

    /// Identity of this node.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Interval at which [`Node::tick`] must be called.
    pub const fn tick_interval() -> Span {
        TICK_INTERVAL
    }

    /// Removes and returns the outputs emitted since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles messages from a peer. Messages from an earlier run of the peer are
    /// dropped, and so are replies addressed to an earlier run of this node.
    pub fn receive(&mut self, now: Timestamp, envelope: Envelope) {
        self.advance_clock(now);
        let outdated = self
            .fleet
            .detector
            .is_stale(envelope.from, envelope.incarnation);
        let misdirected = envelope
            .receiver
            .is_some_and(|mark| mark != self.identity.incarnation.mark());
        if outdated || envelope.from == self.identity.node {
            return;
        }
        self.heard_any_peer = true;
        self.record_heard(envelope.from, envelope.incarnation);
        for message in envelope.messages {
            if misdirected && message.is_reply() {
                continue;
            }
            self.handle(envelope.from, envelope.incarnation, message);
        }
        self.process_inbox();
    }

    /// Runs periodic work; must be called every [`Node::tick_interval`].
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_clock(now);
        self.probe();
        self.read_documents();
        self.clear_expired_overrides();
        self.tick_cells();
        self.tick_requests();
        self.resend_releases();
        self.resend_settlements();
        self.keys.tick(self.now);
        self.tick_quarantine();
        self.process_inbox();
    }

    /// Issues a ticket, the idempotency key of one non-repeatable request.
    pub fn issue_ticket(&mut self, now: Timestamp) -> Result<KeyName, KeyTableFull> {
        self.advance_clock(now);
        let Identity {
            node, incarnation, ..
        } = self.identity;
        self.keys.issue_ticket(self.now, node, incarnation)
    }

    /// Starts draining: the node rejects new requests, hands over its queues and
    /// finishes its open requests.
    pub fn drain(&mut self, now: Timestamp) {
        self.advance_clock(now);
        self.draining = true;
        self.fleet.set_own_draining(true);
        self.announce_to_zone();
        self.drain_all_queues();
        self.process_inbox();
    }

    /// Cancels draining: the node accepts new requests again.
    pub fn undrain(&mut self, now: Timestamp) {
        self.advance_clock(now);
        self.draining = false;
        self.fleet.set_own_draining(false);
        self.announce_to_zone();
        self.process_inbox();
    }

    /// Whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the node is draining and has no open requests and no unacknowledged
    /// releases.
    pub fn is_drained(&self) -> bool {
        self.draining && self.requests.is_empty() && self.releases.is_empty()
    }

    /// Whether the node accepts requests: it has both documents, and has either heard
    /// from a peer or waited for a while after its start, since a peer may know a newer
    /// configuration than the platform returns.
    pub fn is_ready(&self) -> bool {
        let has_documents =
            self.configuration.current().is_some() && self.directory.current().is_some();
        let has_listened = self.heard_any_peer || self.now.since(self.started) >= READY_DELAY;
        has_documents && has_listened
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.current()
    }

    /// The directory in force.
    pub fn directory(&self) -> Option<&Arc<Directory>> {
        self.directory.current()
    }

    /// Lookup tables built from both documents.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Log of recent decisions.
    pub fn decisions(&self) -> &DecisionLog {
        &self.decisions
    }

    /// Number of open requests accepted by this node.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of open requests that run on a back end.
    pub fn running_requests(&self) -> usize {
        let is_running = |request: &&LocalRequest| matches!(request.phase, Phase::Running { .. });
        self.requests.values().filter(is_running).count()
    }

    /// Whether a request was accepted by this run of the node and is still open.
    pub fn is_open(&self, request: RequestId) -> bool {
        request.incarnation == self.identity.incarnation
            && self.requests.contains_key(&request.sequence)
    }

    /// Time of the last event, on the caller's clock.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The node that holds a cell, according to this node's view of the fleet.
    pub fn holder_of(&self, cell: CellId) -> Option<NodeId> {
        self.fleet.holder(cell, self.now)
    }

    /// Snapshots of the cells held here.
    pub fn held_cells(&self) -> impl Iterator<Item = (CellId, CellSnapshot)> + '_ {
        self.cells
            .iter()
            .map(|(id, held)| (*id, held.cell.snapshot(self.now)))
    }

    /// Last known incarnation of a peer.
    pub fn incarnation_of(&self, node: NodeId) -> Option<Incarnation> {
        self.fleet.detector.incarnation(node)
    }

    /// Advances the clock, which never goes back, and detects a pause of the process.
    pub(crate) fn advance_clock(&mut self, now: Timestamp) {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.check_for_pause(gap);
    }

    /// Handles the messages that the node has sent to itself.
    pub(crate) fn process_inbox(&mut self) {
        let Identity {
            node, incarnation, ..
        } = self.identity;
        while let Some(message) = self.inbox.pop_front() {
            self.handle(node, incarnation, message);
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        if to == self.identity.node {
            self.inbox.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    pub(crate) fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn request_id(&self, sequence: u64) -> RequestId {
        RequestId {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
            sequence,
        }
    }

    pub(crate) fn record_step(&mut self, sequence: u64, step: Step) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let decision = Decision {
            request: self.request_id(sequence),
            class: request.submission.class,
            tenant: request.submission.tenant,
            at: self.now,
            step,
        };
        if self.limits.emit_decisions {
            self.outputs.push(Output::Decided(decision.clone()));
        }
        self.decisions.push(decision);
    }

    fn handle(&mut self, from: NodeId, incarnation: Incarnation, message: Message) {
        match message {
            Message::RequestSlot { .. } | Message::Register { .. } => {
                self.handle_slot_request(from, incarnation, message);
            }
            Message::Release {
                attempt_id,
                cell,
                observation,
            } => {
                self.handle_release(from, incarnation, attempt_id, cell, &observation);
            }
            Message::Grant {
                attempt_id,
                back_end,
                free,
            } => {
                self.handle_grant(from, attempt_id, back_end, free);
            }
            Message::Queued {
                attempt_id,
                wait_ms,
            } => self.handle_queued(from, attempt_id, wait_ms),
            Message::Refuse {
                attempt_id,
                reason,
                retry_after_ms,
            } => {
                self.handle_refuse(from, attempt_id, reason, retry_after_ms);
            }
            Message::Resubmit {
                attempt_id,
                directory,
                live_holder,
            } => {
                self.handle_resubmit(from, attempt_id, directory, live_holder);
            }
            Message::Released { attempt_id } => self.releases.acknowledge(from, attempt_id),
            Message::CheckLeases { cell, attempt_ids } => {
                self.handle_check_leases(from, cell, attempt_ids);
            }
            Message::SlowStream {
                cell,
                back_end,
                per_token,
            } => {
                self.handle_slow_stream(cell, back_end, per_token);
            }
            Message::FreeSlots { cell, free } => {
                self.free_slots.insert(cell, (free, self.now));
            }
            Message::TenantUsage { cell, running } => self.handle_tenant_usage(cell, running),
            Message::Claim { key, sequence } => {
                self.handle_claim(from, incarnation, key, sequence);
            }
            Message::ClaimReply { sequence, reply } => {
                self.handle_claim_reply(from, sequence, reply);
            }
            Message::Settle {
                key,
                sequence,
                verdict,
            } => {
                self.handle_settle(from, incarnation, key, sequence, verdict);
            }
            Message::Settled { sequence } => self.settlements.acknowledge(sequence),
            Message::Ping {
                configuration,
                directory,
                draining,
                echo,
            } => {
                self.handle_ping(from, configuration, directory, draining, echo);
            }
            Message::Pong {
                configuration,
                directory,
                draining,
                echo,
            } => {
                self.handle_pong(from, configuration, directory, draining, echo);
            }
            Message::CrashingRequests { reports } => self.handle_crashing_requests(&reports),
            Message::CrashingParts { reports } => self.handle_crashing_parts(&reports),
            Message::Fetch {
                kind,
                known_version,
            } => self.handle_fetch(from, kind, known_version),
            Message::ConfigurationUpdate(update) => {
                self.handle_configuration_update(from, &update);
            }
            Message::DirectoryUpdate(update) => self.handle_directory_update(from, &update),
        }
    }
}

impl Message {
    /// Whether the message is only valid for the run of the receiver that it addresses.
    fn is_reply(&self) -> bool {
        matches!(
            self,
            Message::Grant { .. }
                | Message::Queued { .. }
                | Message::Refuse { .. }
                | Message::Resubmit { .. }
                | Message::Released { .. }
                | Message::CheckLeases { .. }
                | Message::ClaimReply { .. }
                | Message::Settled { .. }
        )
    }
}
