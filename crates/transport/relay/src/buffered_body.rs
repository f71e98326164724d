//! Fully buffered bodies, sent in slices.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum bytes handed to a connection at once. hyper copies them into its own buffer: if a
/// response of 4 MiB were handed over at once, none of it would stay counted while its caller does
/// not read.
const SLICE_BYTES: usize = 16 * 1024;

/// A fully buffered body.
pub(crate) struct BufferedBody(Bytes);

impl From<Bytes> for BufferedBody {
    fn from(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl BufferedBody {
    fn next_slice(&mut self) -> Option<Bytes> {
        let length = self.0.len().min(SLICE_BYTES);
        if length == 0 {
            return None;
        }
        let slice = self.0.split_to(length);
        if self.0.is_empty() {
            // An empty remainder would keep the whole buffer allocated as long as this body lives.
            self.0 = Bytes::new();
        }
        Some(slice)
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let slice = self.get_mut().next_slice();
        Poll::Ready(slice.map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
