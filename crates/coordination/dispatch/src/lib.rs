//! Decisions of a relay, free of I/O.
//!
//! The [`Dispatcher`] is told of requests, outcomes, documents and messages of
//! other nodes, together with the time, and says what to do. Each node decides
//! alone, from its own counts and from what its peers report of theirs; nothing is
//! asked of another node while a request waits.

#![forbid(unsafe_code)]

mod cache;
mod cold_start;
mod demand;
mod dispatcher;
mod document_service;
mod eligibility;
mod engine_model;
mod health;
mod knowledge;
mod load;
mod message;
mod outcomes;
mod pacing;
mod peers;
mod placement;
mod planning;
mod registry;
mod retry_budget;
mod streams_apart;
mod view;

pub use cache::PrefixCache;
pub use cold_start::{ColdBound, ColdDuty, LONGEST_COLD, WarmthChange};
pub use demand::{Decision, Demand, Grant, LeaseId, Outcome, PromptPart};
pub use dispatcher::{
    Dispatcher, DispatcherSettings, ReadingDuty, Received, Snapshot, TICK, TakenNews, TickOutput,
    UnknownName,
};
pub use document_service::{Admission, DocumentService, TransferId};
pub use engine_model::{EngineSpeed, PoolModel};
pub use health::{Health, HealthChange};
pub use knowledge::{Applied, Change, Content, DocumentKey, Knowledge};
pub use load::{BackEndLoad, Footprint, LoadSource, Occupancy, REPORT_LIFETIME};
pub use message::{
    Envelope, FleetSummary, Gossip, HeardZone, LoadReport, Member, News, Placement, ZoneDigest,
};
pub use outcomes::{OutcomeCounts, RecentOutcomes};
pub use pacing::StreamPacing;
pub use peers::{PeerChange, Peers};
pub use placement::{Candidate, choose};
pub use retry_budget::{BudgetSettings, RetryBudget};
