//! The state of one caller's connection while it waits for a request.
//!
//! A connection outlives configurations and may be older than the first one. Its limits are
//! therefore looked up when they apply, not when it is accepted.

use crate::control::SharedTable;
use crate::memory_budget::{MemoryFull, MemoryKind, MemoryReservation};
use crate::request_memory::{Memory, UNKNOWN_ROUTE};
use eiderferry_clock::{Clock, duration};
use eiderferry_routing::Limits;
use eiderferry_types::{Span, Timestamp};
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;

/// Read buffer of a connection in bytes, if no larger heads are configured when it is accepted.
const MIN_HEAD_BUFFER_BYTES: usize = 65_536;
/// Maximum number of header lines of a request. Memory for them is allocated for each request.
pub(crate) const MAX_HEADER_LINES: usize = 1_024;
/// Bytes of an incomplete head that are not counted against the memory budget.
const UNCOUNTED_HEAD_BYTES: usize = 8_192;
/// Idle timeout while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_milliseconds(30_000);
/// Factor on the configured idle timeout, as callers may still rely on the longer one of an earlier
/// configuration.
const IDLE_TIMEOUT_FACTOR: f64 = 2.0;

/// State shared by a connection's socket, its requests and its idle timer.
pub(crate) struct CallerConnection {
    table: SharedTable,
    clock: Clock,
    /// Maximum head in bytes that the connection can read.
    pub head_buffer_bytes: usize,
    /// Since when the connection has been waiting for a complete head; `None` during a request.
    waiting_since: Cell<Option<Timestamp>>,
    /// Bytes received while waiting.
    received_bytes: Cell<usize>,
    reservation: RefCell<MemoryReservation>,
    /// Closed when the connection has to make room for a new one.
    eviction: async_channel::Sender<Infallible>,
    evicted: async_channel::Receiver<Infallible>,
}

impl CallerConnection {
    pub fn new(table: SharedTable, clock: Clock, memory: &Memory) -> Rc<Self> {
        let configured_bytes = {
            let table = table.load();
            let limits = table.as_ref().map(|table| table.limits());
            limits.map_or(0, |limits| limits.maximum_header_bytes)
        };
        let (eviction, evicted) = async_channel::bounded(1);
        Rc::new(Self {
            table,
            clock,
            eviction,
            evicted,
            head_buffer_bytes: configured_bytes.max(MIN_HEAD_BUFFER_BYTES),
            waiting_since: Cell::new(Some(clock.now())),
            received_bytes: Cell::new(0),
            reservation: RefCell::new(MemoryReservation::empty(
                &memory.budget,
                MemoryKind::Head,
                UNKNOWN_ROUTE,
            )),
        })
    }

    /// Records that a complete head has arrived.
    pub fn begin_request(&self) {
        self.waiting_since.set(None);
        self.received_bytes.set(0);
        let mut reservation = self.reservation.borrow_mut();
        let bytes = reservation.bytes();
        reservation.shrink(bytes);
    }

    /// Records that the response is complete, so the connection waits for the next request.
    pub fn end_request(&self) {
        self.waiting_since.set(Some(self.clock.now()));
    }

    /// Whether the connection has to close after its next response.
    pub fn must_close(&self) -> bool {
        self.evicted.is_closed() || self.has_small_buffer()
    }

    /// Whether the configuration in force allows heads that this connection can't read.
    fn has_small_buffer(&self) -> bool {
        let table = self.table.load();
        let limits = table.as_ref().map(|table| table.limits());
        limits.is_some_and(|limits| limits.maximum_header_bytes > self.head_buffer_bytes)
    }

    /// Counts received bytes that may belong to an incomplete head.
    pub fn record_received(&self, bytes: usize) -> Result<(), MemoryFull> {
        if self.waiting_since.get().is_none() {
            return Ok(());
        }
        let received = self.received_bytes.get() + bytes;
        self.received_bytes.set(received);
        let counted = received.saturating_sub(UNCOUNTED_HEAD_BYTES) as u64;
        let mut reservation = self.reservation.borrow_mut();
        let missing = counted.saturating_sub(reservation.bytes());
        reservation.grow(missing)
    }

    /// Since when the connection has been waiting for a request; `None` during a request.
    pub fn waiting_since(&self) -> Option<Timestamp> {
        self.waiting_since.get()
    }

    /// Ends the connection at once, or with its response if a request has begun.
    pub fn evict(&self) {
        self.eviction.close();
    }

    /// Returns once the connection has waited for a complete head for longer than allowed, or has to
    /// make room for another.
    pub async fn wait_for_end_of_waiting(&self) {
        let evicted = async {
            let _ = self.evicted.recv().await;
            if self.waiting_since.get().is_none() {
                std::future::pending::<()>().await;
            }
        };
        self.wait_for_idle_timeout().or(evicted).await;
    }

    async fn wait_for_idle_timeout(&self) {
        loop {
            let now = self.clock.now();
            let timeout = {
                let table = self.table.load();
                idle_timeout(table.as_ref().map(|table| table.limits()))
            };
            let until = self.waiting_since.get().unwrap_or(now) + timeout;
            if until <= now {
                return;
            }
            smol::Timer::after(duration(now.until(until))).await;
        }
    }
}

fn idle_timeout(limits: Option<&Limits>) -> Span {
    limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        let configured = limits.idle_timeout.max(limits.header_timeout);
        configured.scaled(IDLE_TIMEOUT_FACTOR)
    })
}
