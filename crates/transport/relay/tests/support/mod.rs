//! Stand-ins for tests over TCP: back ends that follow a script, and callers.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(unused_imports, reason = "each test file uses its own part")]

mod back_end;
mod caller;
mod crashing_back_end;
mod documents;
mod relay;

pub use back_end::{
    MockBackEnd, ReceivedRequest, back_end_responding_with, chunk, event, find_bytes,
    not_run_response, ok_response, read_request, reset_on_close, stream_head, wait_for_close,
    with_header_line, write,
};
pub use caller::{Caller, Response};
pub use crashing_back_end::CrashingBackEnd;
pub use documents::{cache_protocol, header_names};
pub use relay::TestRelay;

use std::time::Duration;

/// Longest wait of a test for anything.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// A budget that no test fills unless it says so.
pub const AMPLE_MEMORY_BUDGET: u64 = 64 * 1024 * 1024;
pub const KEY: &str = "key-of-radio";
/// Buffer of a socket that holds little.
const SMALL_BUFFER_BYTES: usize = 8_192;
pub const HOST: &str = "calls.example";
