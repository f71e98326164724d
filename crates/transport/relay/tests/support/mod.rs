//! Stand-ins for tests over TCP: back ends that follow a script, and callers.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(unused_imports, reason = "each test file uses its own part")]

mod back_end;
mod caller;
mod documents;
mod fragile;
mod running;

pub use back_end::{
    Seen, StandIn, answering, chunk, event, find, read_request, reset, shed, stream_head,
    wait_for_close, whole, with_line, write,
};
pub use caller::{Answer, Caller};
pub use documents::{cache_protocol, header_names};
pub use fragile::Fragile;
pub use running::Running;

use std::time::Duration;

/// Longest wait of a test for anything.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A budget that no test fills unless it says so.
pub const AMPLE_MEMORY: u64 = 64 * 1024 * 1024;
pub const KEY: &str = "key-of-radio";
/// Buffer of a socket that holds little.
const SMALL_BUFFER: usize = 8_192;
pub const HOST: &str = "calls.example";
