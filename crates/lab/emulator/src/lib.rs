//! Emulated peers of the router: model engines, plain HTTP services and the platform's
//! read-only service.
//!
//! The engine model ([`Engine`]) does no I/O: the simulator steps it on a virtual clock, and
//! [`EngineServer`] steps it in real time behind an HTTP interface.

#![forbid(unsafe_code)]

mod cache;
mod engine;
mod engine_server;
mod http;
mod platform_server;
mod service_server;
mod text;
mod timing;

pub use cache::{CacheEvent, PrefixCache};
pub use engine::{Emission, Engine, EngineLoad, Job, JobId};
pub use engine_server::EngineServer;
pub use platform_server::{PlatformServer, PlatformState};
pub use service_server::ServiceServer;
pub use text::{default_response_tokens, response_text, token_text};
pub use timing::EngineTiming;
