//! Reading streams ahead while their callers lag.
//!
//! A stream's source is polled by the caller's connection while that accepts events, and otherwise
//! after it from the same task. So the events of a fast caller take the same path as without
//! reading ahead, a caller that disconnects drops source and events at once, and no stream needs a
//! separate task.

use crate::memory_budget::{MemoryFull, MemoryKind, MemoryReservation};
use crate::request_memory::{EvictionPriority, RequestMemory};
use crate::response_body::{BrokenResponse, ChunkStream};
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

/// Longest time that a back end's response is left unread because the request's limit is reached:
/// back ends abort such a response after some seconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A stream with the events that were read ahead of its caller.
pub(crate) struct ReadAhead {
    source: Option<ChunkStream>,
    buffered: VecDeque<Bytes>,
    reservation: MemoryReservation,
    /// How the source ended, until this has been passed to the caller's connection.
    end: Option<Result<(), BrokenResponse>>,
    /// The caller's connection has taken a chunk and not asked for the next one.
    is_lagging: bool,
    is_registered: bool,
    /// Runs while the request's limit keeps the source from being read.
    stall_timer: Option<Timer>,
    connection_waker: Option<Waker>,
    memory: Rc<RequestMemory>,
}

/// The side of a stream that the caller's connection polls.
pub(crate) struct CallerStream(pub Rc<RefCell<ReadAhead>>);

impl Stream for CallerStream {
    type Item = Result<Bytes, BrokenResponse>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().poll_next(context)
    }
}

/// The stream that a connection is sending.
pub(crate) type CurrentStream = RefCell<Weak<RefCell<ReadAhead>>>;

impl ReadAhead {
    pub fn new(source: ChunkStream, memory: Rc<RequestMemory>) -> Rc<RefCell<Self>> {
        let reservation = memory.empty(MemoryKind::Events);
        Rc::new(RefCell::new(Self {
            source: Some(source),
            buffered: VecDeque::new(),
            reservation,
            end: None,
            is_lagging: false,
            is_registered: false,
            stall_timer: None,
            connection_waker: None,
            memory,
        }))
    }

    /// The next chunk for the caller.
    pub fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenResponse>>> {
        self.is_lagging = false;
        if let Some(chunk) = self.buffered.pop_front() {
            self.reservation.shrink(chunk.len() as u64);
            self.is_lagging = true;
            return Poll::Ready(Some(Ok(chunk)));
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

    /// Eviction priority of the stream; `None` if it holds nothing.
    pub fn eviction_priority(&self) -> Option<EvictionPriority> {
        let bytes = self.reservation.bytes();
        (bytes > 0).then(|| self.memory.eviction_priority(bytes))
    }

    /// Ends the stream to free memory for another. The returned source must not be dropped while
    /// the stream is borrowed.
    pub fn evict(&mut self) -> Option<ChunkStream> {
        self.discard("budget")
    }

    fn discard(&mut self, reason: &'static str) -> Option<ChunkStream> {
        self.memory.record_ended(self.reservation.bytes(), reason);
        self.buffered.clear();
        self.reservation.shrink(self.reservation.bytes());
        self.end = Some(Err(BrokenResponse::Memory));
        if let Some(connection_waker) = self.connection_waker.take() {
            connection_waker.wake();
        }
        self.source.take()
    }

    fn is_discarded(&self) -> bool {
        matches!(self.end, Some(Err(BrokenResponse::Memory)))
    }

    /// Buffers a chunk, evicting streams of higher eviction priority if necessary.
    fn buffer_chunk(&mut self, chunk: Bytes) -> Result<(), MemoryFull> {
        let bytes = chunk.len() as u64;
        while self.reservation.grow(bytes).is_err() {
            let own_priority = self
                .memory
                .eviction_priority(self.reservation.bytes() + bytes);
            if !self.memory.shared.evict_stream(Some(own_priority)) {
                return Err(MemoryFull);
            }
        }
        self.buffered.push_back(chunk);
        Ok(())
    }

    /// Reads ahead while the caller lags. Ready once the stream was discarded: the connection then
    /// has to be closed, because the caller may never take the bytes that would show it the end.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.is_lagging && self.end.is_none() {
            if self.reservation.bytes() >= self.memory.shared.budget.request_limit() {
                return self.poll_stall_timeout(context);
            }
            self.stall_timer = None;
            let Some(source) = &mut self.source else {
                break;
            };
            match source.as_mut().poll_next(context) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok(chunk))) => {
                    if self.buffer_chunk(chunk).is_err() {
                        drop(self.discard("budget"));
                    }
                }
                Poll::Ready(Some(Err(error))) => self.end_source(Err(error)),
                Poll::Ready(None) => self.end_source(Ok(())),
            }
        }
        self.connection_waker = Some(context.waker().clone());
        if self.is_discarded() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    fn end_source(&mut self, end: Result<(), BrokenResponse>) {
        self.source = None;
        self.end = Some(end);
    }

    /// Waits for a caller whose request has reached its limit, and discards the stream after
    /// [`STALL_TIMEOUT`].
    fn poll_stall_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Timer::after(STALL_TIMEOUT));
        if Pin::new(timer).poll(context).is_pending() {
            self.connection_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        drop(self.discard("request"));
        Poll::Ready(())
    }
}

/// Reads ahead for the stream that a connection is sending; polled after the connection.
pub(crate) fn poll_read_ahead(current: &CurrentStream, context: &mut Context<'_>) -> Poll<()> {
    let Some(stream) = current.borrow().upgrade() else {
        return Poll::Pending;
    };
    let mut ahead = stream.borrow_mut();
    if ahead.is_lagging && !ahead.is_registered {
        ahead.is_registered = true;
        let memory = Rc::clone(&ahead.memory.shared);
        memory.register(Rc::downgrade(&stream));
    }
    ahead.poll_ahead(context)
}
