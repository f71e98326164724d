//! Bodies of responses to callers.

use crate::buffered_body::BufferedBody;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use std::pin::Pin;
use std::task::{Context, Poll};

quick_error! {
    /// Why a response breaks off after its head was sent. The connection is closed, so that the
    /// response does not look complete.
    #[derive(Debug)]
    pub enum BrokenResponse {
        /// The back end's stream broke off and could not be failed over.
        BackEnd {
            display("the back end's response broke off")
        }
        /// The request's deadline has passed.
        TimedOut {
            display("the request's deadline has passed")
        }
        /// The events read ahead of the caller exceed their memory limit.
        Memory {
            display("no memory for events that the caller has not read")
        }
    }
}

pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenResponse>>>>;

/// The body of a response to a caller.
pub enum RelayBody {
    /// Fully buffered.
    Buffered(BufferedBody),
    /// Forwarded as it arrives.
    Stream(ChunkStream),
}

impl From<String> for RelayBody {
    fn from(text: String) -> Self {
        RelayBody::from(Bytes::from(text))
    }
}

impl From<Bytes> for RelayBody {
    fn from(bytes: Bytes) -> Self {
        RelayBody::Buffered(BufferedBody::from(bytes))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        match self.get_mut() {
            RelayBody::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            RelayBody::Stream(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(body) => body.is_end_stream(),
            RelayBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(body) => body.size_hint(),
            RelayBody::Stream(_) => SizeHint::default(),
        }
    }
}
