//! Sockets, threads and relaying of one entry node.
//!
//! One thread runs the control state machine ([`eiderferry_node::Node`]); it owns
//! the datagram socket to the peers and never touches a request's bytes. The
//! traffic threads serve callers, read published snapshots of the control state,
//! and relay answers.

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
