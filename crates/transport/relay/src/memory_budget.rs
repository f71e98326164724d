//! Accounting of the memory that this process holds for callers and back ends, against a limit.
//!
//! Each holder has a [`MemoryReservation`] that releases its bytes when dropped; nothing is counted
//! by hand. A limit of zero disables the limit, not the counting.

use eiderferry_types::{Span, Timestamp};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Fraction of the limit up to which new requests are accepted: the remainder is for the responses
/// to those already accepted.
const NEW_REQUESTS_FRACTION: f64 = 0.75;
/// Fraction of the limit that incomplete heads may fill.
const HEADS_FRACTION: f64 = 0.125;
/// Fraction of the limit that events read ahead may fill. Below [`NEW_REQUESTS_FRACTION`], so that
/// slow callers alone never make this node refuse requests.
const READ_AHEAD_FRACTION: f64 = 0.5;
/// Fraction of the limit that one request's events may fill: 5 MiB of the 40 MiB of the smallest
/// machines, more than the largest whole response that is accepted.
const REQUEST_FRACTION: f64 = 0.125;
/// Fraction of the limit that the outstanding bodies at one back end may fill.
const BACK_END_FRACTION: f64 = 0.25;
/// Window over which the release rate is measured.
const RELEASE_RATE_WINDOW: Span = Span::from_milliseconds(1_000);
/// Bounds of the Retry-After of a refused request. The lower bound is that of the other refusals of
/// this node; callers don't wait longer than the upper bound.
const MINIMUM_RETRY_AFTER: Span = Span::from_milliseconds(300);
const MAXIMUM_RETRY_AFTER: Span = Span::from_milliseconds(5_000);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// The incomplete head of a request.
    Head,
    /// A request's body, until its exchange is over and no connection sends it any more.
    Body,
    /// A whole response, until the caller's connection has taken it.
    Response,
    /// Events of a stream that were read ahead of the caller.
    Events,
}

impl MemoryKind {
    /// All kinds, in the order in which usage is stored.
    pub const ALL: [MemoryKind; 4] = [
        MemoryKind::Head,
        MemoryKind::Body,
        MemoryKind::Response,
        MemoryKind::Events,
    ];

    /// The name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryKind::Head => "head",
            MemoryKind::Body => "body",
            MemoryKind::Response => "answer",
            MemoryKind::Events => "events",
        }
    }
}

/// Kinds of route distinguished in metrics; the last covers all others.
pub(crate) const ROUTE_LABELS: [&str; 5] = [
    "repeatable",
    "not_repeatable",
    "resumable_stream",
    "stream",
    "unknown",
];

/// The budget has no room for the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryFull;

#[derive(Debug, Default)]
struct Usage {
    total: AtomicU64,
    peak: AtomicU64,
    by_kind: [AtomicU64; MemoryKind::ALL.len()],
    by_route: [[AtomicU64; ROUTE_LABELS.len()]; MemoryKind::ALL.len()],
}

/// How fast bytes were released recently.
#[derive(Debug, Default)]
struct ReleaseRate {
    window_start: Timestamp,
    released: u64,
    /// Bytes released in the last full window.
    last_window: u64,
}

/// The memory limit of a process and the usage under it.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    limit: u64,
    usage: Usage,
    /// Bytes released since the release rate was last updated.
    released: AtomicU64,
    release_rate: Mutex<ReleaseRate>,
}

impl MemoryBudget {
    /// A budget with a limit in bytes; 0 means no limit.
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            ..Self::default()
        })
    }

    /// Whether there is a limit.
    pub fn is_bounded(&self) -> bool {
        self.limit > 0
    }

    /// Bytes in use now.
    pub fn used_bytes(&self) -> u64 {
        self.usage.total.load(Relaxed)
    }

    /// Bytes of one kind in use now.
    pub fn used_bytes_by_kind(&self, kind: MemoryKind) -> u64 {
        self.usage.by_kind[kind as usize].load(Relaxed)
    }

    /// Maximum bytes that were ever in use at once.
    pub fn peak_bytes(&self) -> u64 {
        self.usage.peak.load(Relaxed)
    }

    /// Bytes held by kind and kind of route.
    pub(crate) fn by_kind_and_route(
        &self,
    ) -> impl Iterator<Item = (MemoryKind, &'static str, u64)> {
        MemoryKind::ALL.into_iter().flat_map(move |kind| {
            let by_route = self.usage.by_route[kind as usize].iter();
            by_route
                .zip(ROUTE_LABELS)
                .map(move |(bytes, route)| (kind, route, bytes.load(Relaxed)))
        })
    }

    /// Maximum bytes of events that one request may have read ahead.
    pub(crate) fn request_limit(&self) -> u64 {
        self.fraction_of_limit(REQUEST_FRACTION)
    }

    /// Maximum outstanding bytes of bodies at one back end; `None` if there is no limit.
    pub(crate) fn back_end_limit(&self) -> Option<u64> {
        self.is_bounded()
            .then(|| self.fraction_of_limit(BACK_END_FRACTION))
    }

    fn fraction_of_limit(&self, fraction: f64) -> u64 {
        (self.limit as f64 * fraction) as u64
    }

    /// Whether this many more bytes of a kind may be held.
    fn allows(&self, kind: MemoryKind, bytes: u64) -> bool {
        let total = self.used_bytes() + bytes;
        match kind {
            _ if !self.is_bounded() => true,
            MemoryKind::Head => {
                let heads = self.used_bytes_by_kind(kind) + bytes;
                heads <= self.fraction_of_limit(HEADS_FRACTION) && total <= self.limit
            }
            MemoryKind::Body => total <= self.fraction_of_limit(NEW_REQUESTS_FRACTION),
            MemoryKind::Response => total <= self.limit,
            MemoryKind::Events => {
                let events = self.used_bytes_by_kind(kind) + bytes;
                events <= self.fraction_of_limit(READ_AHEAD_FRACTION) && total <= self.limit
            }
        }
    }

    fn reserve(&self, kind: MemoryKind, route: usize, bytes: u64) -> Result<(), MemoryFull> {
        if !self.allows(kind, bytes) {
            return Err(MemoryFull);
        }
        let usage = &self.usage;
        let total = usage.total.fetch_add(bytes, Relaxed) + bytes;
        usage.peak.fetch_max(total, Relaxed);
        usage.by_kind[kind as usize].fetch_add(bytes, Relaxed);
        usage.by_route[kind as usize][route].fetch_add(bytes, Relaxed);
        Ok(())
    }

    fn release(&self, kind: MemoryKind, route: usize, bytes: u64) {
        let usage = &self.usage;
        usage.total.fetch_sub(bytes, Relaxed);
        usage.by_kind[kind as usize].fetch_sub(bytes, Relaxed);
        usage.by_route[kind as usize][route].fetch_sub(bytes, Relaxed);
        self.released.fetch_add(bytes, Relaxed);
    }

    /// Updates the release rate; called periodically.
    pub(crate) fn update_release_rate(&self, now: Timestamp) {
        let Ok(mut release_rate) = self.release_rate.lock() else {
            return;
        };
        release_rate.released += self.released.swap(0, Relaxed);
        if now.since(release_rate.window_start) >= RELEASE_RATE_WINDOW {
            release_rate.last_window = std::mem::take(&mut release_rate.released);
            release_rate.window_start = now;
        }
    }

    /// Time until a body of this many bytes will fit, at the recent release rate.
    pub(crate) fn retry_after(&self, bytes: u64) -> Span {
        let excess = (self.used_bytes() + bytes)
            .saturating_sub(self.fraction_of_limit(NEW_REQUESTS_FRACTION));
        let release_rate = self.release_rate.lock().map_or(0, |release_rate| {
            release_rate.last_window.max(release_rate.released)
        });
        if release_rate == 0 {
            return MAXIMUM_RETRY_AFTER;
        }
        let seconds = excess as f64 / release_rate as f64 * RELEASE_RATE_WINDOW.seconds();
        Span::from_seconds(seconds).clamp(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER)
    }
}

/// Reserved bytes; released when dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    kind: MemoryKind,
    route: usize,
    bytes: u64,
}

impl MemoryReservation {
    /// An empty reservation for a kind of route.
    pub fn empty(budget: &Arc<MemoryBudget>, kind: MemoryKind, route: &'static str) -> Self {
        let label = ROUTE_LABELS.iter().position(|label| *label == route);
        Self {
            budget: Arc::clone(budget),
            kind,
            route: label.unwrap_or(ROUTE_LABELS.len() - 1),
            bytes: 0,
        }
    }

    /// Reserves more bytes, if the budget allows it.
    pub fn grow(&mut self, bytes: u64) -> Result<(), MemoryFull> {
        self.budget.reserve(self.kind, self.route, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Releases a part of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.release(self.kind, self.route, bytes);
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Attaches the reservation to the bytes: it is released when the last slice of them is
    /// dropped.
    pub fn into_bytes(self, content: bytes::BytesMut) -> bytes::Bytes {
        if content.is_empty() {
            return bytes::Bytes::new();
        }
        bytes::Bytes::from_owner(ReservedContent {
            content,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.kind, self.route, self.bytes);
    }
}

struct ReservedContent {
    content: bytes::BytesMut,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
