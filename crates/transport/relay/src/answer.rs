//! Bodies of answers to callers.

use crate::whole_body::WholeBody;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use std::pin::Pin;
use std::task::{Context, Poll};

quick_error! {
    /// Why an answer breaks off after its head was sent. The connection is closed, so
    /// that the answer does not look complete.
    #[derive(Debug)]
    pub enum BrokenResponse {
        /// The back end broke off.
        BackEnd {
            display("the back end broke off its answer")
        }
        /// The route's time has passed.
        TimedOut {
            display("the time-out of the route has passed")
        }
        /// What was read ahead of the caller exceeds the memory for it.
        Memory {
            display("no memory for what the caller has not taken")
        }
    }
}

pub(crate) type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenResponse>>>>;

/// The body of an answer to a caller.
pub enum RelayBody {
    /// All of it is here.
    Whole(WholeBody),
    /// It comes in pieces.
    Pieces(Pieces),
}

impl From<String> for RelayBody {
    fn from(text: String) -> Self {
        RelayBody::from(Bytes::from(text))
    }
}

impl From<Bytes> for RelayBody {
    fn from(bytes: Bytes) -> Self {
        RelayBody::Whole(WholeBody::from(bytes))
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
            RelayBody::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            RelayBody::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Whole(body) => body.is_end_stream(),
            RelayBody::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Whole(body) => body.size_hint(),
            RelayBody::Pieces(_) => SizeHint::default(),
        }
    }
}
