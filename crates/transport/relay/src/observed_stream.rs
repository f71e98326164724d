//! Connections that record that they have received bytes, the check for silence of all, and the
//! limit of what precedes a response.

use eiderferry_types::{Span, Timestamp};
use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Time without a byte from any back end, while responses are outstanding, after which direct
/// connections are checked.
const SILENCE_BEFORE_CHECK: Span = Span::from_milliseconds(500);
/// Minimum time between two such checks.
const SILENCE_CHECK_INTERVAL: Span = Span::from_milliseconds(1_000);

/// Whether any of several connections has received bytes since this was last taken. Cheaper than
/// the time of each read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedFlag(Rc<Cell<bool>>);

impl ReceivedFlag {
    /// Returns the flag and clears it.
    fn take(&self) -> bool {
        self.0.replace(false)
    }
}

/// Notices that no back end sends anything although responses are outstanding.
#[derive(Debug, Default)]
pub(crate) struct SilenceCheck {
    received: ReceivedFlag,
    silent_since: Cell<Timestamp>,
    checked_at: Cell<Timestamp>,
}

impl SilenceCheck {
    /// The flag for connections to set.
    pub fn received(&self) -> ReceivedFlag {
        self.received.clone()
    }

    /// Whether connections are to be checked now; to be called often.
    pub fn is_check_due(&self, is_waiting: bool, now: Timestamp) -> bool {
        if self.received.take() || !is_waiting {
            self.silent_since.set(now);
        }
        let is_silent = now.since(self.silent_since.get()) >= SILENCE_BEFORE_CHECK;
        let is_due = is_silent && now.since(self.checked_at.get()) >= SILENCE_CHECK_INTERVAL;
        if is_due {
            self.checked_at.set(now);
        }
        is_due
    }
}

/// Limit of the bytes that a connection receives before the end of a response's head. It also bounds
/// series of interim responses, which the HTTP library reads without an end.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts to count for the next response.
    pub fn start(&self, bytes: usize) {
        self.0.set(Some(bytes));
    }

    /// Stops counting: the head is complete.
    pub fn stop(&self) {
        self.0.set(None);
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let Some(remaining) = self.0.get() else {
            return Ok(());
        };
        let remaining = remaining.checked_sub(bytes).ok_or_else(|| {
            let text = "the response's head and the interim responses before it are too long";
            io::Error::new(io::ErrorKind::InvalidData, text)
        })?;
        self.0.set(Some(remaining));
        Ok(())
    }
}

/// A connection that sets a flag when it receives bytes.
pub(crate) struct ObservedStream {
    inner: TcpStream,
    received: ReceivedFlag,
    head_limit: HeadLimit,
}

impl ObservedStream {
    pub fn new(inner: TcpStream, received: ReceivedFlag, head_limit: HeadLimit) -> Self {
        Self {
            inner,
            received,
            head_limit,
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if count > 0 {
            self.received.0.set(true);
        }
        Poll::Ready(self.head_limit.record(count).map(|()| count))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
