//! Deterministic simulation of a whole fleet on a virtual clock.
//!
//! The production state machine ([`eiderferry_node::Node`]) runs unchanged; the network, the
//! engines, the services, the platform, the callers and the faults are simulated around it.
//! The same scenario, policy and seed give the same trace, identified by
//! [`Report::trace_hash`].

#![forbid(unsafe_code)]

mod chaos;
mod checker;
mod engines;
mod entry_logic;
mod event;
mod faults;
mod metrics;
mod network;
mod nodes;
mod oracle;
mod platform;
mod report;
mod requests;
mod scenario;
mod services;
mod shares;
mod shrink;
mod simulation;
mod workload;
mod world;

pub use chaos::chaos_scenario;
pub use checker::{Guarantee, Violation};
pub use entry_logic::{Policy, Rule};
pub use report::{ClassReport, Report};
pub use scenario::{Fault, FaultKind, RateStep, Scenario, ScenarioError};
pub use shrink::shrink;
pub use simulation::{SimulationError, simulate};
