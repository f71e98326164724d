//! Streams read on while their callers lag.
//!
//! A stream's source is polled by whoever is served: by the caller's connection while it takes
//! events, and beside it, from the same task, while it can't. So a keen caller's events take
//! no other way than before, a caller that leaves drops source and events at once, and no
//! stream has a task of its own.

use crate::answer::{BrokenResponse, Pieces};
use crate::memory_budget::{MemoryFull, MemoryKind, MemoryReservation};
use crate::request_memory::{EvictionPriority, RequestMemory};
use bytes::Bytes;
use futures_lite::Stream;
use smol::Timer;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// Longest time that a back end's answer sits unread because the request's bound is reached:
/// back ends cut such an answer off after some seconds.
const UNREAD_PATIENCE: Duration = Duration::from_millis(1_000);

/// A stream with what was read of it ahead of its caller.
pub(crate) struct ReadAhead {
    source: Option<Pieces>,
    ready: VecDeque<Bytes>,
    held: MemoryReservation,
    /// How the source ended, until it is told.
    end: Option<Result<(), BrokenResponse>>,
    /// The caller's connection has taken a piece and not asked for another one.
    is_lagging: bool,
    is_registered: bool,
    /// Runs while the request's bound keeps the source from being read.
    unread: Option<Timer>,
    connection: Option<Waker>,
    memory: Rc<RequestMemory>,
}

/// The side of a stream that its caller's connection polls.
pub(crate) struct SentStream(pub Rc<RefCell<ReadAhead>>);

impl Stream for SentStream {
    type Item = Result<Bytes, BrokenResponse>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().poll_next(context)
    }
}

/// The connection's side: which stream it is sending now.
pub(crate) type CurrentStream = RefCell<Weak<RefCell<ReadAhead>>>;

impl ReadAhead {
    pub fn new(source: Pieces, memory: Rc<RequestMemory>) -> Rc<RefCell<Self>> {
        let held = memory.empty(MemoryKind::Events);
        Rc::new(RefCell::new(Self {
            source: Some(source),
            ready: VecDeque::new(),
            held,
            end: None,
            is_lagging: false,
            is_registered: false,
            unread: None,
            connection: None,
            memory,
        }))
    }

    /// The next piece for the caller.
    pub fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenResponse>>> {
        self.is_lagging = false;
        if let Some(piece) = self.ready.pop_front() {
            self.held.shrink(piece.len() as u64);
            self.is_lagging = true;
            return Poll::Ready(Some(Ok(piece)));
        }
        if let Some(end) = self.end.take() {
            return Poll::Ready(end.err().map(Err));
        }
        let Some(source) = &mut self.source else {
            return Poll::Ready(None);
        };
        let next = source.as_mut().poll_next(context);
        self.is_lagging = matches!(next, Poll::Ready(Some(Ok(_))));
        next
    }

    /// How little it is worth to keep; `None` if it holds nothing.
    pub fn eviction_priority(&self) -> Option<EvictionPriority> {
        let bytes = self.held.bytes();
        (bytes > 0).then(|| self.memory.eviction_priority(bytes))
    }

    /// Ends it for another's sake. What is returned is dropped once nothing is borrowed.
    pub fn end_for_memory(&mut self) -> Option<Pieces> {
        self.give_up("budget")
    }

    fn give_up(&mut self, why: &'static str) -> Option<Pieces> {
        self.memory.record_ended(self.held.bytes(), why);
        self.ready.clear();
        self.held.shrink(self.held.bytes());
        self.end = Some(Err(BrokenResponse::Memory));
        if let Some(connection) = self.connection.take() {
            connection.wake();
        }
        self.source.take()
    }

    fn is_given_up(&self) -> bool {
        matches!(self.end, Some(Err(BrokenResponse::Memory)))
    }

    /// Keeps one more piece.
    fn keep(&mut self, piece: Bytes) -> Result<(), MemoryFull> {
        let bytes = piece.len() as u64;
        while self.held.grow(bytes).is_err() {
            let own = self.memory.eviction_priority(self.held.bytes() + bytes);
            if !self.memory.shared.evict_stream(Some(own)) {
                return Err(MemoryFull);
            }
        }
        self.ready.push_back(piece);
        Ok(())
    }

    /// Reads on while the caller lags. Ready once the stream was given up: the connection is to
    /// be closed, for the caller may never take the bytes that would tell it so.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.is_lagging && self.end.is_none() {
            if self.held.bytes() >= self.memory.shared.budget.request_limit() {
                return self.poll_stall_timeout(context);
            }
            self.unread = None;
            let Some(source) = &mut self.source else {
                break;
            };
            match source.as_mut().poll_next(context) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok(piece))) => {
                    if self.keep(piece).is_err() {
                        drop(self.give_up("budget"));
                    }
                }
                Poll::Ready(Some(Err(error))) => self.end_source(Err(error)),
                Poll::Ready(None) => self.end_source(Ok(())),
            }
        }
        self.connection = Some(context.waker().clone());
        if self.is_given_up() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn end_source(&mut self, end: Result<(), BrokenResponse>) {
        self.source = None;
        self.end = Some(end);
    }

    /// Waits for the caller with as much as the request may hold.
    fn poll_stall_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .unread
            .get_or_insert_with(|| Timer::after(UNREAD_PATIENCE));
        if Pin::new(timer).poll(context).is_pending() {
            self.connection = Some(context.waker().clone());
            return Poll::Pending;
        }
        drop(self.give_up("request"));
        Poll::Ready(())
    }
}

/// Reads on for the stream that a connection is sending; polled after the connection.
pub(crate) fn poll_current(current: &CurrentStream, context: &mut Context<'_>) -> Poll<()> {
    let Some(stream) = current.borrow().upgrade() else {
        return Poll::Pending;
    };
    let mut ahead = stream.borrow_mut();
    if ahead.is_lagging && !ahead.is_registered {
        ahead.is_registered = true;
        let memory = Rc::clone(&ahead.memory.shared);
        memory.add_reader(Rc::downgrade(&stream));
    }
    ahead.poll_ahead(context)
}
