//! What one request holds, and the readers that may be ended to make room.

use crate::events;
use crate::memory_budget::{MemoryBudget, MemoryFull, MemoryKind, MemoryReservation};
use crate::read_ahead::ReadAhead;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Kind of route before it is known.
const UNKNOWN_ROUTE: &str = "unknown";

/// The memory of a traffic thread: its budget and the streams read ahead under it.
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

    /// A stream whose caller has begun to lag.
    pub fn register(&self, reader: Weak<RefCell<ReadAhead>>) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| reader.strong_count() > 0);
        readers.push(reader);
    }

    /// Ends the stream least worth keeping, if one is worth less than `own`; whether it did.
    /// Whoever is being read just now is borrowed and passed over.
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

/// How little a stream is worth keeping: the less urgent first, then the one that holds
/// more. The greatest is ended first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionPriority {
    pub rank: u8,
    pub bytes: u64,
}

/// The account of one request.
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

    /// What is known once the head has been read.
    pub fn set_request(&self, id: &str, route: &'static str, rank: u8) {
        id.clone_into(&mut self.id.borrow_mut());
        self.route.set(route);
        self.rank.set(rank);
    }

    pub fn empty(&self, kind: MemoryKind) -> MemoryReservation {
        MemoryReservation::empty(&self.shared.budget, kind, self.route.get())
    }

    /// Holds more of an answer that has run: streams of slower callers give way.
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

    /// The request is ended for want of memory.
    pub fn record_ended(&self, held: u64, reason: &'static str) {
        self.was_ended.set(true);
        events::ended_for_memory(&self.id.borrow(), self.route.get(), held, reason);
    }

    /// How a request ended whose exchange was dropped before its end.
    pub fn dropped_outcome(&self) -> &'static str {
        if self.was_ended.get() {
            "memory"
        } else {
            "caller_left"
        }
    }
}
