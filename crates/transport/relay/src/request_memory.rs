//! Memory accounting of one request, and the streams that may be evicted to make room.

use crate::events;
use crate::memory_budget::{MemoryBudget, MemoryFull, MemoryKind, MemoryReservation};
use crate::read_ahead::ReadAhead;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Label of a request whose route is not known yet.
pub(crate) const UNKNOWN_ROUTE: &str = "unknown";

/// The memory budget of a traffic thread and the streams that are read ahead under it.
#[derive(Default)]
pub(crate) struct Memory {
    pub budget: Arc<MemoryBudget>,
    readers: RefCell<Vec<Weak<RefCell<ReadAhead>>>>,
}

impl Memory {
    pub fn new(budget: Arc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Self {
            budget,
            readers: RefCell::default(),
        })
    }

    /// Registers a stream whose caller has begun to lag.
    pub fn register(&self, reader: Weak<RefCell<ReadAhead>>) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| reader.strong_count() > 0);
        readers.push(reader);
    }

    /// Evicts the stream with the highest eviction priority, if that is above `own_priority`;
    /// returns whether it did. A stream that is being polled is borrowed, and is skipped.
    pub fn evict_stream(&self, own_priority: Option<EvictionPriority>) -> bool {
        let victim = {
            let readers = self.readers.borrow();
            let live = readers.iter().filter_map(Weak::upgrade);
            let candidates = live.filter_map(|reader| {
                let eviction_priority = reader.try_borrow().ok()?.eviction_priority()?;
                Some((eviction_priority, reader))
            });
            candidates.max_by_key(|(eviction_priority, _)| *eviction_priority)
        };
        let Some((eviction_priority, reader)) = victim else {
            return false;
        };
        if own_priority.is_some_and(|own| own >= eviction_priority) {
            return false;
        }
        let source = reader.borrow_mut().evict();
        drop(source);
        true
    }
}

/// Order in which streams are evicted, greatest first: those of the less urgent rank, and among
/// these the one that holds more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionPriority {
    pub rank: u8,
    pub bytes: u64,
}

/// The memory account of one request.
pub(crate) struct RequestMemory {
    pub shared: Rc<Memory>,
    route: Cell<&'static str>,
    rank: Cell<u8>,
    id: RefCell<String>,
    was_ended: Cell<bool>,
}

impl RequestMemory {
    pub fn new(shared: Rc<Memory>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            route: Cell::new(UNKNOWN_ROUTE),
            rank: Cell::new(0),
            id: RefCell::default(),
            was_ended: Cell::new(false),
        })
    }

    /// Sets what is known once the head has been read.
    pub fn set_request(&self, id: &str, route: &'static str, rank: u8) {
        id.clone_into(&mut self.id.borrow_mut());
        self.route.set(route);
        self.rank.set(rank);
    }

    pub fn empty(&self, kind: MemoryKind) -> MemoryReservation {
        MemoryReservation::empty(&self.shared.budget, kind, self.route.get())
    }

    /// Reserves more for the response of a request that has run, evicting streams of slower callers
    /// if necessary.
    pub fn grow_response(
        &self,
        reservation: &mut MemoryReservation,
        bytes: u64,
    ) -> Result<(), MemoryFull> {
        loop {
            match reservation.grow(bytes) {
                Err(MemoryFull) if self.shared.evict_stream(None) => {}
                result => return result,
            }
        }
    }

    pub fn eviction_priority(&self, bytes: u64) -> EvictionPriority {
        EvictionPriority {
            rank: self.rank.get(),
            bytes,
        }
    }

    /// Records that the request was ended for lack of memory.
    pub fn record_ended(&self, held: u64, reason: &'static str) {
        self.was_ended.set(true);
        events::ended_for_memory(&self.id.borrow(), self.route.get(), held, reason);
    }

    /// Outcome of a request whose exchange was dropped before its end.
    pub fn dropped_outcome(&self) -> &'static str {
        if self.was_ended.get() {
            "memory"
        } else {
            "caller_left"
        }
    }
}
