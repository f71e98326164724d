//! State of a dispatcher, for metrics.

use super::Dispatcher;
use crate::load::cache_index::FollowCounts;
use crate::{ColdRole, PartCounts, QuarantineCounts, Revision, SplitStats};
use eiderferry_types::Timestamp;

/// State of a dispatcher, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Peers held to be alive.
    pub live_peers: usize,
    /// Largest number of nodes known at once, including this one.
    pub known_nodes: u32,
    /// Known back ends.
    pub back_ends: usize,
    /// Back ends ejected for failures, which get no requests for now.
    pub ejected_back_ends: usize,
    /// Cold back ends.
    pub cold_back_ends: usize,
    /// Cold back ends to which this node may send.
    pub cold_back_ends_as_sender: usize,
    /// Back ends that have stated a rate limit.
    pub limited_back_ends: usize,
    /// Rate-limited back ends to which this node sends.
    pub limited_back_ends_as_sender: usize,
    /// Whether this node is an aggregator of its zone.
    pub is_aggregator: bool,
    /// Other zones held to be partitioned from this one.
    pub silent_zones: usize,
    /// Evacuated zones, whose back ends get no new requests.
    pub evacuated_zones: usize,
    /// Leases held at back ends.
    pub leases: usize,
    /// Streams whose software version is known.
    pub stream_records: usize,
    /// Software versions listed in the pool that has most of them.
    pub software_versions: usize,
    /// Newest known revision of the newest epoch.
    pub newest_revision: Revision,
    /// Version of the routing table.
    pub table_version: u64,
    /// Age of the latest confirmation in seconds; infinite if there is none.
    pub confirmed_age_seconds: f64,
    /// Split of the largest pool that is split.
    pub largest_split: SplitStats,
    /// Number of engines whose caches this node follows.
    pub followed_cache_count: usize,
    /// Counts of cache following since the start.
    pub cache_counts: FollowCounts,
    /// Counts of requests that crash back ends.
    pub quarantine: QuarantineCounts,
    /// Prompt parts suspected or quarantined for crashing back ends.
    pub part_quarantine: PartCounts,
    /// Back ends examined for requests since the start.
    pub examined_back_ends: u64,
    /// Evaluations of which engines' caches to follow since the start.
    pub follow_evaluations: u64,
}

impl Dispatcher {
    fn largest_split(&self) -> SplitStats {
        let splits = self.back_ends.splits().filter(|split| split.is_active());
        let stats = splits.map(|split| split.stats());
        stats
            .max_by_key(|stats| stats.ranked_engines)
            .unwrap_or_default()
    }

    /// State of a dispatcher, for metrics.
    pub fn snapshot(&self, now: Timestamp) -> Snapshot {
        let table = self.document_store.table();
        let age = self.document_store.confirmed_age(now);
        let count = |role| {
            let states = self.back_ends.all();
            states.filter(|state| state.warmup.role() == role).count()
        };
        let cold_back_ends_as_sender = count(ColdRole::Sender) + count(ColdRole::MainSender);
        let (limited, limited_back_ends_as_sender) = self.limit_counts();
        let (followed_cache_count, cache_counts) = self.cache_counts();
        Snapshot {
            live_peers: self.peers.live_count(),
            known_nodes: self.peers.max_known(),
            back_ends: self.back_ends.all().count(),
            ejected_back_ends: self
                .back_ends
                .all()
                .filter(|state| state.health.is_ejected(now))
                .count(),
            cold_back_ends: cold_back_ends_as_sender + count(ColdRole::OtherNodes),
            cold_back_ends_as_sender,
            limited_back_ends: limited,
            limited_back_ends_as_sender,
            is_aggregator: self.is_aggregator(),
            silent_zones: self.silent_zones.len(),
            evacuated_zones: self.evacuated_zones.len(),
            leases: self.leases.len(),
            stream_records: self.stream_records.len(),
            software_versions: self.back_ends.max_software_versions(),
            newest_revision: self
                .document_store
                .version_vector()
                .newest()
                .unwrap_or_default(),
            table_version: table.map_or(0, |table| table.version()),
            confirmed_age_seconds: age.map_or(f64::INFINITY, |age| age.seconds()),
            largest_split: self.largest_split(),
            followed_cache_count,
            cache_counts,
            quarantine: self.quarantine.counts(),
            part_quarantine: self.part_quarantine.counts(),
            examined_back_ends: self.examined_back_ends,
            follow_evaluations: self.follow_evaluations(),
        }
    }
}
