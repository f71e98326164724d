//! The socket and the answers of a caller's connection, watched for a missed wake-up.
//!
//! A connection that was told its socket is blocked, and in the same turn finds it writable
//! again, may end that turn with more of a body to send and nothing that wakes it: its answer
//! stays where it is until the caller gives up. Bodies that are ready at once, as those of whole
//! answers and of events read ahead are, meet this: 5 of 12 runs of
//! `the_longest_answers_to_slow_callers_are_counted_until_they_are_taken` and its neighbour
//! stood still with an empty socket. Such a connection is given another turn.

use crate::answer::{BrokenResponse, RelayBody};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// How sending stands on one connection.
#[derive(Default)]
pub(crate) struct SendState {
    /// The body has more at once than the connection has taken.
    has_more: Cell<bool>,
    /// The socket took bytes in this turn, and was not blocked since.
    has_written: Cell<bool>,
    /// All that the body has given has gone to the socket.
    is_flushed: Cell<bool>,
}

impl SendState {
    /// Whether the turn that has just ended may have missed its wake-up.
    pub fn needs_wakeup(&self) -> bool {
        self.has_written.replace(false) && self.has_more.get()
    }
}

/// A caller's socket.
pub(crate) struct CallerSocket {
    inner: FuturesIo<TcpStream>,
    state: Rc<SendState>,
}

impl CallerSocket {
    pub fn new(stream: TcpStream, state: Rc<SendState>) -> Self {
        Self {
            inner: FuturesIo::new(stream),
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
        // Called once nothing is left to be written.
        self.state.is_flushed.set(true);
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// An answer on its way through a connection.
pub(crate) struct TrackedBody {
    body: RelayBody,
    /// Why it breaks off: told once all before it was written, for a connection that is
    /// told so forgets what it has not written.
    pending_error: Option<BrokenResponse>,
    state: Rc<SendState>,
}

impl TrackedBody {
    pub fn new(body: RelayBody, state: Rc<SendState>) -> Self {
        Self {
            body,
            pending_error: None,
            state,
        }
    }

    fn poll_pending_error(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if !self.state.is_flushed.get() {
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
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(error))) = frame {
            self.pending_error = Some(error);
            return self.poll_pending_error();
        }
        let has_data = matches!(frame, Poll::Ready(Some(Ok(_))));
        if has_data {
            self.state.is_flushed.set(false);
        }
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
    }
}
