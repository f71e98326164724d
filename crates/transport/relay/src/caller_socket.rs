//! Socket and response bodies of a caller's connection, observed to detect a missed wake-up.
//!
//! A connection whose socket blocks and becomes writable again within one poll may end that poll
//! with more of a body to send and nothing that wakes it: the response then stalls until the caller
//! gives up. This happens to bodies that are ready at once, such as whole responses and events read
//! ahead: 5 of 12 runs of `the_longest_answers_to_slow_callers_are_counted_until_they_are_taken`
//! and its neighbour stalled with an empty socket. Such a connection is polled again.

use crate::caller_connection::CallerConnection;
use crate::memory_budget::MemoryFull;
use crate::metrics;
use crate::response_body::{BrokenResponse, RelayBody};
use crate::server::OpenRequest;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Maximum bytes of a body that a connection holds unwritten. The memory budget does not count them,
/// and the HTTP library alone would hold as many as its read buffer has.
const MAX_UNFLUSHED_BYTES: usize = 16_384;

/// State of sending on one connection.
#[derive(Default)]
pub(crate) struct SendState {
    /// The body has more data ready than the connection has taken.
    has_more: Cell<bool>,
    /// The socket accepted bytes in this poll and has not blocked since.
    has_written: Cell<bool>,
    /// Bytes that the body has returned since all was last written to the socket.
    unflushed_bytes: Cell<usize>,
    /// Requests whose responses were handed over and may not be written yet.
    unwritten: RefCell<Vec<OpenRequest>>,
}

impl SendState {
    /// Whether the poll that has just ended may have missed its wake-up.
    pub fn needs_wakeup(&self) -> bool {
        self.has_written.replace(false) && self.has_more.get()
    }
}

/// A caller's socket.
pub(crate) struct CallerSocket {
    inner: FuturesIo<CountedSocket>,
    state: Rc<SendState>,
}

impl CallerSocket {
    pub fn new(stream: TcpStream, connection: Rc<CallerConnection>, state: Rc<SendState>) -> Self {
        Self {
            inner: FuturesIo::new(CountedSocket {
                socket: stream,
                connection,
            }),
            state,
        }
    }
}

impl Read for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.state.has_written.set(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once there is nothing left to write.
        self.state.unflushed_bytes.set(0);
        self.state.unwritten.borrow_mut().clear();
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// A socket whose received bytes are counted.
struct CountedSocket {
    socket: TcpStream,
    connection: Rc<CallerConnection>,
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        Poll::Ready(match self.connection.record_received(count) {
            Ok(()) => Ok(count),
            Err(MemoryFull) => {
                metrics::head_dropped();
                Err(io::Error::new(
                    io::ErrorKind::OutOfMemory,
                    "no memory for the incomplete head of a request",
                ))
            }
        })
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(context)
    }
}

/// The body of a response that a connection is sending.
pub(crate) struct TrackedBody {
    body: RelayBody,
    /// Why the body breaks off. Returned only after all earlier data was written, because a
    /// connection discards unwritten data when its body fails.
    pending_error: Option<BrokenResponse>,
    open: Option<OpenRequest>,
    connection: Rc<CallerConnection>,
    state: Rc<SendState>,
}

impl TrackedBody {
    /// `open` counts the request as open until its response is written.
    pub fn new(
        body: RelayBody,
        open: Option<OpenRequest>,
        connection: Rc<CallerConnection>,
        state: Rc<SendState>,
    ) -> Self {
        Self {
            body,
            pending_error: None,
            open,
            connection,
            state,
        }
    }

    fn poll_pending_error(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if self.state.unflushed_bytes.get() > 0 {
            self.state.has_more.set(true);
            return Poll::Pending;
        }
        Poll::Ready(self.pending_error.take().map(Err))
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if self.pending_error.is_some() {
            return self.poll_pending_error();
        }
        if self.state.unflushed_bytes.get() >= MAX_UNFLUSHED_BYTES {
            self.state.has_more.set(true);
            return Poll::Pending;
        }
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(error))) = frame {
            self.pending_error = Some(error);
            return self.poll_pending_error();
        }
        let has_data = match &frame {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                let unflushed_bytes = &self.state.unflushed_bytes;
                unflushed_bytes.set(unflushed_bytes.get() + bytes);
                true
            }
            _ => false,
        };
        self.state.has_more.set(has_data && !self.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.has_more.set(false);
        self.state.unwritten.borrow_mut().extend(self.open.take());
        self.connection.end_request();
    }
}
