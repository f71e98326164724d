//! Routing decisions of a relay node, free of I/O.
//!
//! The [`Dispatcher`] is a state machine: its caller passes in requests, outcomes, documents and
//! messages of other nodes together with the current time, and carries out what it returns. Each
//! node decides alone, from its own counts and from what its peers report of theirs; no other node
//! is consulted while a request waits.

#![forbid(unsafe_code)]

mod dispatcher;
mod documents;
mod features;
mod fleet;
mod load;
mod paths;
mod placement;
mod streams;

pub use dispatcher::{
    CacheUpdate, CrashedRun, Dispatcher, DispatcherSettings, DueCacheCall, ExpiredLease,
    LeaseRelease, NoticeSource, QuarantineChanges, ReaderRole, ReceiveOutput, ReceivedChange,
    SOUND_WRITING_TIME, SOURCE_RECOVERY_GRACE, Snapshot, StreamLookup, StreamOutput, TICK,
    TickOutput, UnknownName,
};
pub use documents::document_service::{Admission, DocumentService, TransferId};
pub use documents::document_store::{
    ApplyOutcome, Change, DocumentContent, DocumentKey, DocumentStore, TableStamp,
};
pub use documents::revision::{Revision, VersionVector};
pub use eiderferry_quarantine::{
    CrashReport, PartChange, PartCounts, PartKey, PartReport, QuarantineChange, QuarantineCounts,
    QuarantinedParts, RequestReport, SharedParts,
};
pub use features::Features;
pub use fleet::message::{
    ChangeBatch, Envelope, FleetSummary, Gossip, LoadReport, Member, Placement, ZoneAge, ZoneDigest,
};
pub use fleet::peers::{PeerChange, Peers};
pub use fleet::retry_budget::{RetryBudget, RetryBudgetSettings, RetrySource};
pub use fleet::traffic::{Distance, MessageKind};
pub use load::back_end_load::{BackEndLoad, Footprint, LoadSource, Occupancy, REPORT_LIFETIME};
pub use load::cache::PrefixCache;
pub use load::cache_index::{
    CacheCall, CacheEvent, CacheEvents, CacheListing, CacheResponse, FollowCounts,
};
pub use load::cold_start::{ColdRateLimit, ColdRole, MAX_COLD_PERIOD, WarmupChange};
pub use load::engine_model::{EngineSpeed, PoolModel};
pub use load::health::{Health, HealthChange};
pub use load::limit_notices::LimitReport;
pub use load::limiter::{LimitChange, LimitRole};
pub use load::outcomes::{OutcomeCounts, RecentOutcomes};
pub use load::pacing::StreamPacing;
pub use load::rate_limit::RateLimit;
pub use paths::{BackEndPaths, ConnectionPath, PeerSelector, TunnelPeer};
pub use placement::candidate::{Candidate, cheapest};
pub use placement::demand::{
    Decision, Demand, Grant, LeaseId, Outcome, PromptPart, ReplicaTarget, RunProgress,
};
pub use placement::pool_split::{EngineNeed, PoolLoad, SplitChange, SplitStats};
pub use streams::lookups::{FinishedLookup, LookupId, LookupResult, VersionSource};
pub use streams::message::{KnownVersion, StreamEnvelope, StreamId, StreamMessage};
