//! A relay: takes requests of any method from callers and passes them, byte for
//! byte, to back ends that the dispatcher chooses.
//!
//! One control thread holds the dispatcher, talks to the other nodes and runs the
//! source of documents; the traffic thread serves callers. What header names mean
//! is told by a [`Vocabulary`], so that no platform's names stand here.

#![forbid(unsafe_code)]

mod answer;
mod attempts;
mod clock;
mod control;
mod documents;
mod event_stream;
mod events;
mod exchange;
mod failover;
mod forwarding;
mod gossip;
mod lease;
mod logging;
mod metrics;
mod node;
mod own_answer;
mod progress;
mod request_head;
mod sending;
mod server;
mod settings;
mod stream;
mod upstream;
mod vocabulary;

pub use clock::Clock;
pub use control::DocumentFeed;
pub use event_stream::EventSplitter;
pub use events::{document_doubtful, reloaded, source_lost, source_regained};
pub use logging::{LogBudget, LogQueue, start as start_logging};
pub use node::{Relay, Source, StartError};
pub use settings::{RelaySettings, StopSettings};
pub use vocabulary::Vocabulary;
