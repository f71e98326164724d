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
pub(crate) struct Sending {
    /// The body has more at once than the connection has taken.
    has_more: Cell<bool>,
    /// The socket took bytes in this turn, and was not blocked since.
    has_written: Cell<bool>,
    /// All that the body has given has gone to the socket.
    is_flushed: Cell<bool>,
}

impl Sending {
    /// Whether the turn that has just ended may have missed its wake-up.
    pub fn needs_wakeup(&self) -> bool {
        self.has_written.replace(false) && self.has_more.get()
    }
}

/// A caller's socket.
pub(crate) struct CallerSocket {
    inner: FuturesIo<TcpStream>,
    sending: Rc<Sending>,
}

impl CallerSocket {
    pub fn new(stream: TcpStream, sending: Rc<Sending>) -> Self {
        Self {
            inner: FuturesIo::new(stream),
            sending,
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
        self.sending.has_written.set(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once nothing is left to be written.
        self.sending.is_flushed.set(true);
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// An answer on its way through a connection.
pub(crate) struct SentBody {
    body: RelayBody,
    /// Why it breaks off: told once all before it was written, for a connection that is
    /// told so forgets what it has not written.
    broken: Option<BrokenResponse>,
    sending: Rc<Sending>,
}

impl SentBody {
    pub fn new(body: RelayBody, sending: Rc<Sending>) -> Self {
        Self {
            body,
            broken: None,
            sending,
        }
    }

    fn poll_broken(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if !self.sending.is_flushed.get() {
            self.sending.has_more.set(true);
            return Poll::Pending;
        }
        Poll::Ready(self.broken.take().map(Err))
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if self.broken.is_some() {
            return self.poll_broken();
        }
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(error))) = frame {
            self.broken = Some(error);
            return self.poll_broken();
        }
        let came = matches!(frame, Poll::Ready(Some(Ok(_))));
        if came {
            self.sending.is_flushed.set(false);
        }
        self.sending.has_more.set(came && !self.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for SentBody {
    fn drop(&mut self) {
        self.sending.has_more.set(false);
    }
}
