//! Support for tests over TCP: mock back ends, relays under test and callers.

#![allow(dead_code, reason = "each test file uses only some items")]
#![allow(unused_imports, reason = "each test file uses only some items")]

mod back_end;
mod caller;
mod crashing_back_end;
mod documents;
mod proxy;
mod relay;

pub use back_end::{
    MockBackEnd, ReceivedRequest, back_end_responding_with, chunk, event, find_bytes,
    not_run_response, ok_response, read_request, reset_on_close, stream_head, wait_for_close,
    with_header_line, write,
};
pub use caller::{Caller, Response};
pub use crashing_back_end::{BackEndThatStopsListening, CrashTrigger, CrashingBackEnd};
pub use documents::{LIMITS, cache_protocol, header_names};
pub use proxy::{PathProxy, PathState};
pub use relay::{TUNNEL_PORT, TestRelay};

use std::time::Duration;

/// Longest time that a test waits for any event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory budget in bytes that most tests do not fill.
pub const AMPLE_MEMORY_BUDGET: u64 = 64 * 1024 * 1024;
/// API key of the tenant `radio`.
pub const API_KEY: &str = "key-of-radio";
/// Socket buffer size in bytes with which unread data soon blocks the sender.
const SMALL_BUFFER_BYTES: usize = 8_192;
/// Host name of all routes.
pub const HOST: &str = "calls.example";
