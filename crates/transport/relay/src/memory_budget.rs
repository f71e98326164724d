//! What this process holds for callers and back ends, counted against a bound.
//!
//! Every holder has a [`MemoryReservation`] that gives its bytes back when dropped; nothing is counted
//! by hand. A bound of zero switches the counting's effects off, not the counting.

use eiderferry_types::{Span, Timestamp};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// Part of the bound up to which new requests are taken: the rest is for the answers of
/// those that have been taken.
const NEW_WORK_PART: f64 = 0.75;
/// Part of the bound that events read ahead may fill. Below [`NEW_WORK_PART`], so that slow
/// callers alone never make this node refuse work.
const READ_AHEAD_PART: f64 = 0.5;
/// Part of the bound that one request's events may fill: 5 MiB of the 40 MiB of the smallest
/// machines, more than the longest whole answer that is accepted.
const REQUEST_PART: f64 = 0.125;
/// Part of the bound that the bodies at one back end may fill.
const BACK_END_PART: f64 = 0.25;
/// Time over which the pace of giving back is measured.
const PACE_WINDOW: Span = Span::from_milliseconds(1_000);
/// Bounds of the time after which a refused request is asked to come back. The lower one is
/// that of other refusals here; a longer one than the upper one no caller waits for.
const MINIMUM_RETRY: Span = Span::from_milliseconds(300);
const MAXIMUM_RETRY: Span = Span::from_milliseconds(5_000);

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// A request's body, until its exchange is over and no connection sends it any more.
    Body,
    /// A whole answer, until the caller's connection has taken it.
    Response,
    /// Events of a stream that were read ahead of the caller.
    Events,
}

impl MemoryKind {
    /// All of them, in the order of their figures.
    pub const ALL: [MemoryKind; 3] = [MemoryKind::Body, MemoryKind::Response, MemoryKind::Events];

    /// The word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryKind::Body => "body",
            MemoryKind::Response => "answer",
            MemoryKind::Events => "events",
        }
    }
}

/// Kinds of route told apart in metrics; the last stands for all others.
pub(crate) const ROUTE_LABELS: [&str; 5] = [
    "repeatable",
    "not_repeatable",
    "resumable_stream",
    "stream",
    "unknown",
];

/// The budget does not allow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryFull;

#[derive(Debug, Default)]
struct Figures {
    all: AtomicU64,
    peak: AtomicU64,
    kinds: [AtomicU64; 3],
    cells: [[AtomicU64; ROUTE_LABELS.len()]; 3],
}

/// How fast bytes were given back lately.
#[derive(Debug, Default)]
struct Pace {
    begun: Timestamp,
    released: u64,
    /// Bytes in the last full window.
    last: u64,
}

/// The bound of a process and what is held under it.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    bound: u64,
    figures: Figures,
    /// Bytes given back since the pace was last looked at.
    released: AtomicU64,
    pace: Mutex<Pace>,
}

impl MemoryBudget {
    /// A budget of this many bytes; 0: no bound.
    pub fn new(bound: u64) -> Arc<Self> {
        Arc::new(Self {
            bound,
            ..Self::default()
        })
    }

    /// Whether there is a bound.
    pub fn is_bounded(&self) -> bool {
        self.bound > 0
    }

    /// Bytes held now.
    pub fn held(&self) -> u64 {
        self.figures.all.load(Relaxed)
    }

    /// Bytes of one kind held now.
    pub fn held_by_kind(&self, kind: MemoryKind) -> u64 {
        self.figures.kinds[kind as usize].load(Relaxed)
    }

    /// Most bytes that were ever held at once.
    pub fn peak(&self) -> u64 {
        self.figures.peak.load(Relaxed)
    }

    /// Bytes by kind and kind of route.
    pub(crate) fn by_kind_and_route(
        &self,
    ) -> impl Iterator<Item = (MemoryKind, &'static str, u64)> {
        MemoryKind::ALL.into_iter().flat_map(move |kind| {
            let cells = self.figures.cells[kind as usize].iter();
            cells
                .zip(ROUTE_LABELS)
                .map(move |(bytes, route)| (kind, route, bytes.load(Relaxed)))
        })
    }

    /// Most bytes of events that one request may have read ahead.
    pub(crate) fn request_limit(&self) -> u64 {
        self.part(REQUEST_PART)
    }

    /// Most bytes of bodies at one back end; none if there is no bound.
    pub(crate) fn back_end_limit(&self) -> Option<u64> {
        self.is_bounded().then(|| self.part(BACK_END_PART))
    }

    fn part(&self, part: f64) -> u64 {
        (self.bound as f64 * part) as u64
    }

    /// Whether this much more of a kind may be held.
    fn allows(&self, kind: MemoryKind, bytes: u64) -> bool {
        let all = self.held() + bytes;
        match kind {
            _ if !self.is_bounded() => true,
            MemoryKind::Body => all <= self.part(NEW_WORK_PART),
            MemoryKind::Response => all <= self.bound,
            MemoryKind::Events => {
                let events = self.held_by_kind(kind) + bytes;
                events <= self.part(READ_AHEAD_PART) && all <= self.bound
            }
        }
    }

    fn take(&self, kind: MemoryKind, route: usize, bytes: u64) -> Result<(), MemoryFull> {
        if !self.allows(kind, bytes) {
            return Err(MemoryFull);
        }
        let figures = &self.figures;
        let all = figures.all.fetch_add(bytes, Relaxed) + bytes;
        figures.peak.fetch_max(all, Relaxed);
        figures.kinds[kind as usize].fetch_add(bytes, Relaxed);
        figures.cells[kind as usize][route].fetch_add(bytes, Relaxed);
        Ok(())
    }

    fn release(&self, kind: MemoryKind, route: usize, bytes: u64) {
        let figures = &self.figures;
        figures.all.fetch_sub(bytes, Relaxed);
        figures.kinds[kind as usize].fetch_sub(bytes, Relaxed);
        figures.cells[kind as usize][route].fetch_sub(bytes, Relaxed);
        self.released.fetch_add(bytes, Relaxed);
    }

    /// Notes how much was given back; called now and then.
    pub(crate) fn record_pace(&self, now: Timestamp) {
        let Ok(mut pace) = self.pace.lock() else {
            return;
        };
        pace.released += self.released.swap(0, Relaxed);
        if now.since(pace.begun) >= PACE_WINDOW {
            pace.last = std::mem::take(&mut pace.released);
            pace.begun = now;
        }
    }

    /// When a body of this many bytes will fit, at the pace of the last second.
    pub(crate) fn retry_after(&self, bytes: u64) -> Span {
        let over = (self.held() + bytes).saturating_sub(self.part(NEW_WORK_PART));
        let pace = self
            .pace
            .lock()
            .map_or(0, |pace| pace.last.max(pace.released));
        if pace == 0 {
            return MAXIMUM_RETRY;
        }
        let seconds = over as f64 / pace as f64 * PACE_WINDOW.seconds();
        Span::from_seconds(seconds).clamp(MINIMUM_RETRY, MAXIMUM_RETRY)
    }
}

/// Bytes that are held; dropped, they are given back.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    kind: MemoryKind,
    route: usize,
    bytes: u64,
}

impl MemoryReservation {
    /// Holds nothing yet, for a route of this kind.
    pub fn empty(budget: &Arc<MemoryBudget>, kind: MemoryKind, route: &'static str) -> Self {
        let label = ROUTE_LABELS.iter().position(|label| *label == route);
        Self {
            budget: Arc::clone(budget),
            kind,
            route: label.unwrap_or(ROUTE_LABELS.len() - 1),
            bytes: 0,
        }
    }

    /// Holds this much more, if the budget allows it.
    pub fn grow(&mut self, bytes: u64) -> Result<(), MemoryFull> {
        self.budget.take(self.kind, self.route, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Gives a part back.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.release(self.kind, self.route, bytes);
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The same bytes as a body that gives them back once the last part of it is dropped.
    pub fn into_bytes(self, content: bytes::BytesMut) -> bytes::Bytes {
        if content.is_empty() {
            return bytes::Bytes::new();
        }
        bytes::Bytes::from_owner(HeldContent {
            content,
            _held: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.kind, self.route, self.bytes);
    }
}

struct HeldContent {
    content: bytes::BytesMut,
    _held: MemoryReservation,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
