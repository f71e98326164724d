//! A relay: accepts HTTP requests from callers and forwards them to back ends that the dispatcher
//! chooses, bodies byte for byte.
//!
//! One control thread owns the dispatcher, exchanges messages with the other nodes and runs the
//! document source; the traffic thread serves callers. Header names are supplied as a
//! [`HeaderNames`], so that this crate contains none of a platform's names.

#![forbid(unsafe_code)]

mod attempts;
mod buffered_body;
mod cache_follower;
mod caller_connection;
mod caller_limit;
mod caller_socket;
mod cancellation;
mod connecting;
mod connector;
mod control;
mod crash;
mod documents;
mod event_stream;
mod events;
mod exchange;
mod failover;
mod forwarding;
mod gossip;
mod header_names;
mod lease;
mod local_reply;
mod logging;
mod memory_budget;
mod metrics;
mod node;
mod notice;
mod observed_stream;
mod pending_decision;
mod progress;
mod read_ahead;
mod request_head;
mod request_memory;
mod response_body;
mod resumption;
mod sending;
mod server;
mod serving_monitor;
mod settings;
mod stream;
mod tunnel;
mod tunnel_server;
mod upstream;

pub use cache_follower::{CacheProtocol, MalformedResponse};
pub use control::DocumentFeed;
pub use eiderferry_clock::Clock;
pub use event_stream::{EventSplitter, MAX_EVENT_BYTES};
pub use events::{
    document_invalid, history_compacted, reloaded, source_lost, source_recovered, source_restored,
};
pub use header_names::HeaderNames;
pub use logging::{LogBudget, LogQueue, start as start_logging};
pub use memory_budget::{MemoryBudget, MemoryKind};
pub use metrics::{SourceCall, source_call};
pub use node::{DocumentSource, Relay, StartError};
pub use settings::{RelaySettings, ShutdownSettings};
