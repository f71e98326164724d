//! Network I/O, threads and response relaying of an entry node.
//!
//! One thread runs the control state machine ([`eiderferry_node::Node`]); it sends and
//! receives the datagrams of the peers and never handles request bodies. The traffic
//! threads serve callers, read the snapshots that the control thread publishes, and
//! relay responses.

#![forbid(unsafe_code)]

mod authorization;
mod bulk;
mod callers;
mod chat;
mod control;
mod control_loop;
mod error_response;
mod fetch;
mod metrics_text;
mod operators;
mod peers;
mod server;
mod service;
mod session;
mod upstream;
mod view;

pub use control::{ControlHandle, ControlStopped};
pub use eiderferry_clock::Clock;
pub use server::{EntryNode, StartError, start};
pub use view::TrafficView;
