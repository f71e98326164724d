//! The state machine behind a relay's routing decisions.

mod aggregation;
mod cache_index;
mod cold_senders;
mod document_source;
mod home_scopes;
mod leases;
mod messages;
mod notices;
mod quarantine;
mod rate_limits;
mod reader_role;
mod replicas;
mod request_share;
mod round_robin;
mod snapshot;
mod source_outage;
mod streams;
mod tunnels;
mod unknown_names;
mod zone_digest;

pub use cache_index::{CacheUpdate, DueCacheCall};
pub use leases::{ExpiredLease, LeaseRelease};
pub(crate) use messages::{
    CROSS_ZONE_FANOUT, CROSS_ZONE_TICKS, LARGE_ZONE_CROSS_ZONE_FANOUT, SAME_ZONE_FANOUT,
};
pub use notices::NoticeSource;
pub use quarantine::{CrashedRun, QuarantineChanges, SOUND_WRITING_TIME};
pub use reader_role::ReaderRole;
pub use snapshot::Snapshot;
pub use source_outage::SOURCE_RECOVERY_GRACE;
pub use streams::{StreamLookup, StreamOutput};
pub use unknown_names::UnknownName;

use aggregation::Aggregation;
use cache_index::FollowedCaches;
use document_source::MissingDocuments;
use home_scopes::HomeScopes;
use leases::{FailedConnection, Lease};
use quarantine::PendingCrashReports;
use request_share::RequestShare;
use source_outage::SourceOutage;

use crate::load::registry::Registry;
use crate::placement::locality::RoundTrips;
use crate::placement::pool_split::PersistentSilence;
use crate::placement::replication::LossProbabilities;
use crate::streams::lookups::StreamLookups;
use crate::streams::records::StreamRecords;
use crate::{
    ApplyOutcome, Change, ColdRateLimit, Distance, DocumentContent, DocumentKey, DocumentStore,
    Envelope, Features, Gossip, LeaseId, LimitChange, PeerChange, Peers, Placement, RetryBudget,
    RetryBudgetSettings, Revision, SplitChange, VersionVector, WarmupChange,
};
use eiderferry_quarantine::{PartQuarantine, Quarantine};
use eiderferry_routing::{BackEnd, InstanceId, NodeName, PoolName, ZoneName, ZoneRegions};
use eiderferry_types::{Span, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use unknown_names::unknown_names;
use zone_digest::ZoneDigests;

/// Interval between two ticks.
pub const TICK: Span = Span::from_milliseconds(100);
/// Largest number of placements in one message.
const PLACEMENTS_PER_MESSAGE: usize = 40;
/// Time after a request's end for which this node still reports on its back end.
const OUTCOME_LIFETIME: Span = Span::from_milliseconds(4_000);
/// How long a back end that an earlier epoch removed is withheld when a restored store lists it
/// again. Covers the expiry of its entry: three heartbeats at intervals of one to two seconds.
const WITHHOLD_TIME: Span = Span::from_milliseconds(6_000);

/// Settings that a dispatcher is created with.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Name of this node.
    pub node: NodeName,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Address at which this node receives messages of its peers.
    pub address: SocketAddr,
    /// Addresses of some other nodes; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Incarnation of this process, which distinguishes restarts of a node.
    pub incarnation: u32,
    /// Limit on retries over all nodes.
    pub retry_budget: RetryBudgetSettings,
    /// Bandwidth of this node's link in Mbit/s.
    pub link_mbps: u16,
    /// Time within which a change that the platform has confirmed must be in force.
    pub propagation_deadline: Span,
    /// Limit on the request rate to a cold back end over all nodes.
    pub cold_rate_limit: ColdRateLimit,
    /// Region of each zone.
    pub regions: ZoneRegions,
    /// Optional parts that are switched on.
    pub features: Features,
}

/// Result of a tick.
#[derive(Clone, Debug, Default)]
pub struct TickOutput {
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Peers that were discovered, lost or recovered.
    pub peer_changes: Vec<PeerChange>,
    /// Back ends that became cold or warm, or whose senders changed.
    pub warmup_changes: Vec<WarmupChange>,
    /// Back ends whose rate limit changed, or this node's role for it.
    pub limit_changes: Vec<LimitChange>,
    /// Pools whose split between streams and long prompts changed.
    pub split_changes: Vec<SplitChange>,
    /// Requests and prompt parts whose quarantine has begun or ended.
    pub quarantine_changes: QuarantineChanges,
    /// Leases that expired without being released.
    pub expired_leases: Vec<ExpiredLease>,
    /// Messages about streams, and finished lookups.
    pub streams: StreamOutput,
}

/// Result of a received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiveOutput {
    /// Change in the state of the sending peer.
    pub change: Option<PeerChange>,
    /// Whether the sender wants a reply.
    pub wants_reply: bool,
    /// Whether the sender has newer documents, which have to be fetched.
    pub has_newer_documents: bool,
    /// Document changes that the message carried.
    pub changes: Vec<ReceivedChange>,
    /// Requests and prompt parts whose quarantine has begun or ended.
    pub quarantine_changes: QuarantineChanges,
}

/// A received document change and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedChange {
    /// Key of the document.
    pub key: DocumentKey,
    /// Kind of the change, as a word for logs.
    pub kind: &'static str,
    /// Revision of the change.
    pub revision: Revision,
    /// Whether the change was applied.
    pub outcome: ApplyOutcome,
    /// Zones and regions that the document names and the settings don't contain.
    pub unknown_names: Vec<UnknownName>,
}

/// Makes the routing decisions of one node.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    document_store: DocumentStore,
    peers: Peers,
    back_ends: Registry,
    retry_budgets: HashMap<PoolName, RetryBudget>,
    leases: HashMap<LeaseId, Lease>,
    /// Back ends whose leases were released lately, with the time of the latest release.
    recently_released: HashMap<InstanceId, Timestamp>,
    /// Recent failed connections to back ends of other zones.
    failed_connections: HashMap<ZoneName, HashMap<InstanceId, FailedConnection>>,
    next_lease: u64,
    /// Placements queued for the next messages.
    placements: Vec<Placement>,
    ticks: u64,
    /// Round-robin position among the peers of the own zone.
    same_zone_cursor: usize,
    /// Round-robin position among the peers of other zones.
    other_zone_cursor: usize,
    /// Changes that were known at the last announcement.
    announced_versions: VersionVector,
    is_stopping: bool,
    started: Option<Timestamp>,
    /// Time of the last tick or message.
    now: Timestamp,
    /// Documents that other nodes have and this one lacks.
    missing_documents: MissingDocuments,
    /// Back ends and evacuations whose entries in the store expired, with the time at which they
    /// are removed here.
    expired_entries: BTreeMap<DocumentKey, Timestamp>,
    source_outage: SourceOutage,
    /// Withheld back ends, with the time from which each may be released.
    withheld: BTreeMap<InstanceId, Timestamp>,
    zone_digests: ZoneDigests,
    followed_caches: FollowedCaches,
    aggregation: Aggregation,
    silent_zones: BTreeSet<ZoneName>,
    round_trips: RoundTrips,
    home_scopes: HomeScopes,
    persistent_silence: PersistentSilence,
    /// Evacuated zones, whose back ends get no new requests.
    evacuated_zones: BTreeSet<ZoneName>,
    /// Probability, by pool, that a stream is lost.
    losses: LossProbabilities,
    quarantine: Quarantine,
    part_quarantine: PartQuarantine,
    request_share: RequestShare,
    stream_records: StreamRecords,
    stream_lookups: StreamLookups,
    pending_crash_reports: PendingCrashReports,
    /// Whether some back end was cold at the last tick.
    has_cold_back_ends: bool,
    /// Back ends examined for requests since the start.
    examined_back_ends: u64,
    random: ChaCha8Rng,
}

impl Dispatcher {
    /// Creates a dispatcher without peers or documents.
    pub fn new(settings: DispatcherSettings) -> Self {
        let peers = Peers::new(
            settings.address,
            settings.zone.clone(),
            settings.seeds.clone(),
        );
        let seed = settings.node.digest() ^ u64::from(settings.incarnation);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Random starting points: nodes that start together would otherwise send to the same peer
        // in the same tick.
        let (same_zone_cursor, other_zone_cursor) =
            (random.random::<u16>(), random.random::<u16>());
        Self {
            settings,
            document_store: DocumentStore::default(),
            peers,
            back_ends: Registry::default(),
            retry_budgets: HashMap::new(),
            leases: HashMap::new(),
            recently_released: HashMap::new(),
            failed_connections: HashMap::new(),
            next_lease: 0,
            placements: Vec::new(),
            ticks: 0,
            same_zone_cursor: usize::from(same_zone_cursor),
            other_zone_cursor: usize::from(other_zone_cursor),
            announced_versions: VersionVector::default(),
            is_stopping: false,
            started: None,
            now: Timestamp::default(),
            missing_documents: MissingDocuments::default(),
            expired_entries: BTreeMap::new(),
            source_outage: SourceOutage::default(),
            withheld: BTreeMap::new(),
            zone_digests: ZoneDigests::default(),
            followed_caches: FollowedCaches::default(),
            aggregation: Aggregation::default(),
            silent_zones: BTreeSet::new(),
            round_trips: RoundTrips::default(),
            home_scopes: HomeScopes::default(),
            persistent_silence: PersistentSilence::default(),
            evacuated_zones: BTreeSet::new(),
            losses: LossProbabilities::default(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            request_share: RequestShare::default(),
            stream_records: StreamRecords::default(),
            stream_lookups: StreamLookups::default(),
            pending_crash_reports: PendingCrashReports::default(),
            has_cold_back_ends: false,
            examined_back_ends: 0,
            random,
        }
    }

    /// The store of known documents.
    pub fn document_store(&self) -> &DocumentStore {
        &self.document_store
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.peers.set_seeds(seeds);
    }

    /// Reports this node as stopping in all further messages.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Resets the silence timers after a pause of this process: silence before it shows nothing
    /// about the peers.
    pub fn resume_after_pause(&mut self, now: Timestamp) {
        self.peers.reset_silence(now);
        self.aggregation.reset_silence(now);
    }

    /// Applies a document change received now.
    pub fn apply(&mut self, change: Change, now: Timestamp) -> ReceivedChange {
        let change = self.with_recovery_grace(change, now);
        let (key, kind, revision) = (change.key.clone(), change.content.kind(), change.revision);
        let outcome = self.document_store.apply(change.clone());
        let mut unknown = Vec::new();
        if outcome == ApplyOutcome::Applied {
            self.update_derived_state(change, now);
            unknown = unknown_names(&key, &self.document_store, &self.settings.regions);
        }
        if outcome == ApplyOutcome::Withheld {
            self.withhold(&key, now);
        }
        ReceivedChange {
            key,
            kind,
            revision,
            outcome,
            unknown_names: unknown,
        }
    }

    /// Updates the state that is derived from documents after a change was applied.
    fn update_derived_state(&mut self, change: Change, now: Timestamp) {
        self.home_scopes.record_document(&change.key);
        let table = self.document_store.table().cloned();
        match (change.key, change.content) {
            (key @ DocumentKey::BackEnd(_), DocumentContent::BackEnd(back_end)) => {
                self.expired_entries.remove(&key);
                self.withheld.remove(&back_end.instance);
                self.drop_previous_run_state(&back_end);
                let table = table.as_deref();
                self.back_ends.upsert(back_end, change.revision, table, now);
            }
            (DocumentKey::Evacuation(zone), DocumentContent::Evacuated) => {
                self.expired_entries
                    .remove(&DocumentKey::Evacuation(zone.clone()));
                self.evacuated_zones.insert(zone);
            }
            (DocumentKey::Table, _) => {
                if let Some(table) = table {
                    self.back_ends.apply_table(&table);
                }
            }
            (key, DocumentContent::Expired(removal_delay)) => {
                self.expired_entries.insert(key, now + removal_delay);
            }
            (key, _) => self.remove_document_state(&key, now),
        }
    }

    /// Drops the state of a removed document.
    fn remove_document_state(&mut self, key: &DocumentKey, now: Timestamp) {
        self.expired_entries.remove(key);
        match key {
            DocumentKey::BackEnd(instance) => {
                self.withheld.remove(instance);
                self.back_ends.remove(instance);
            }
            DocumentKey::Evacuation(zone) => self.end_evacuation(zone, now),
            DocumentKey::Table => {}
        }
    }

    /// Keeps a back end out of use until its removal is written again or it is released.
    fn withhold(&mut self, key: &DocumentKey, now: Timestamp) {
        if let DocumentKey::BackEnd(instance) = key {
            self.back_ends.remove(instance);
            let until = now + WITHHOLD_TIME;
            self.withheld.insert(instance.clone(), until);
        }
    }

    /// Releases the withheld back ends whose removal was not written again in time, as confirmed by
    /// the platform.
    fn release_withheld(&mut self, now: Timestamp) {
        let Some(confirmed) = self.confirmed_at(now) else {
            return;
        };
        let due = self
            .withheld
            .iter()
            .filter(|(_, until)| **until <= confirmed);
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            self.withheld.remove(&instance);
            if let Some(change) = self.document_store.release_withheld(&instance) {
                self.update_derived_state(change, now);
            }
        }
    }

    /// Ends the evacuation of a zone: its back ends get requests again and count as cold.
    fn end_evacuation(&mut self, zone: &ZoneName, now: Timestamp) {
        if !self.evacuated_zones.remove(zone) {
            return;
        }
        let states = self.back_ends.all_mut();
        for state in states.filter(|state| state.back_end.zone == *zone) {
            state.warmup.record_zone_return(now);
        }
    }

    /// Drops cached state of a back end's previous run when the back end has restarted.
    fn drop_previous_run_state(&mut self, back_end: &BackEnd) {
        let known = self.back_ends.get(&back_end.instance);
        if known.is_some_and(|known| back_end.is_different_run(&known.back_end)) {
            self.followed_caches.discard(&back_end.instance);
            self.recently_released.remove(&back_end.instance);
        }
    }

    /// Time of the platform's latest confirmation.
    fn confirmed_at(&self, now: Timestamp) -> Option<Timestamp> {
        let age = self.document_store.confirmed_age(now)?;
        Some(now - age)
    }

    /// Removes expired documents that were not written again in time. An evacuation ends only once
    /// the platform has confirmed that it was not renewed.
    fn remove_expired(&mut self, now: Timestamp) {
        let confirmed = self.confirmed_at(now);
        let is_due = |(key, until): &(&DocumentKey, &Timestamp)| match key {
            DocumentKey::Evacuation(_) => confirmed.is_some_and(|confirmed| **until <= confirmed),
            _ => **until <= now,
        };
        let due = self.expired_entries.iter().filter(is_due);
        let keys: Vec<DocumentKey> = due.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove_document_state(&key, now);
        }
    }

    /// Records that the platform confirmed, to this node or to a peer, that no change is newer than
    /// the known ones.
    pub fn record_confirmation(&mut self, known: &VersionVector, at: Timestamp) {
        self.record_source_recovery(at);
        self.document_store.record_confirmation(known, at);
    }

    /// Handles a message from a peer.
    pub fn receive(
        &mut self,
        address: SocketAddr,
        message: &Gossip,
        now: Timestamp,
    ) -> ReceiveOutput {
        self.now = now;
        let change = self.peers.record_message(address, message, now);
        self.record_peer_table(message.table_stamp);
        if let Some(age) = message.source_failed_ms {
            self.record_reported_source_failure(age, now);
        }
        self.apply_own_loads(message, now);
        self.apply_aggregation(address, message, now);
        self.apply_zone_digests(address, message, now);
        self.back_ends.apply_placements(&message.placements, now);
        let changes = self.apply_recent_changes(message, now);
        let quarantine_changes = self.apply_crashing_requests(message, now);
        self.apply_limits(message, now);
        let knows_all = self
            .document_store
            .version_vector()
            .includes(&message.version_vector)
            || (self.follows_known_changes(message) && message.recent_changes.is_some());
        if let Some(age) = message.confirmed_ms
            && knows_all
        {
            let at = now - Span::from_milliseconds(u64::from(age));
            self.record_confirmation(&message.version_vector, at);
        }
        ReceiveOutput {
            change,
            wants_reply: message.wants_reply,
            has_newer_documents: !knows_all,
            changes,
            quarantine_changes,
        }
    }

    /// Whether the changes in a message directly follow the known ones.
    fn follows_known_changes(&self, message: &Gossip) -> bool {
        let batch = message.recent_changes.as_ref();
        batch.is_some_and(|batch| self.document_store.version_vector().includes(&batch.base))
    }

    fn apply_recent_changes(&mut self, message: &Gossip, now: Timestamp) -> Vec<ReceivedChange> {
        let Some(batch) = message.recent_changes.as_ref() else {
            return Vec::new();
        };
        let changes = batch.changes.iter().cloned();
        changes.map(|change| self.apply(change, now)).collect()
    }

    /// Whether this node is an aggregator of its zone.
    pub fn is_aggregator(&self) -> bool {
        self.aggregation.is_active()
    }

    /// Evacuated zones, whose back ends get no new requests.
    pub fn evacuated_zones(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated_zones
    }

    /// Other zones from which nothing is heard.
    pub fn silent_zones(&self) -> &BTreeSet<ZoneName> {
        &self.silent_zones
    }

    /// Network distance between this node and another.
    pub fn distance_to(&self, address: SocketAddr) -> Distance {
        let zone = self.peers.zone_of(address);
        zone.map_or(Distance::Unknown, |zone| {
            Distance::between(&self.settings.zone, zone, &self.settings.regions)
        })
    }

    fn uptime(&self, now: Timestamp) -> Span {
        self.started
            .map_or(Span::ZERO, |started| now.since(started))
    }
}
