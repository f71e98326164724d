//! Connections that record that they have received bytes.

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Whether any of several connections has received bytes since this was last taken. Cheaper than
/// the time of each read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedFlag(Rc<Cell<bool>>);

impl ReceivedFlag {
    /// Returns the flag and clears it.
    pub fn take(&self) -> bool {
        self.0.replace(false)
    }
}

/// A connection that sets a flag when it receives bytes.
pub(crate) struct ObservedStream {
    inner: TcpStream,
    received: ReceivedFlag,
}

impl ObservedStream {
    pub fn new(inner: TcpStream, received: ReceivedFlag) -> Self {
        Self { inner, received }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.received.0.set(true);
        }
        result
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
