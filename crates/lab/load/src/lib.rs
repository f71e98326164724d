//! Load generator that calls the router's HTTP interface and checks every response.
//!
//! The emulated engines derive their text from the prompt, so each response can be
//! compared with the expected text: a response with lost, duplicated or foreign
//! tokens counts as wrong.

#![forbid(unsafe_code)]

mod client;
mod plan;
mod report;
mod run;

pub use client::{CallOutcome, ChatCall, LoadClient, ServiceOutcome};
pub use plan::{ClassLoad, LoadPlan};
pub use report::{ClassReport, LoadReport};
pub use run::run;
