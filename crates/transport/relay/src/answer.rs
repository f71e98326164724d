//! Bodies of answers to callers.

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
    pub enum BrokenAnswer {
        /// The back end broke off.
        BackEnd {
            display("the back end broke off its answer")
        }
        /// The route's time has passed.
        TimedOut {
            display("the time-out of the route has passed")
        }
    }
}

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenAnswer>>>>;

/// The body of an answer to a caller.
pub enum RelayBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes in pieces.
    Pieces(Pieces),
}

impl From<String> for RelayBody {
    fn from(text: String) -> Self {
        RelayBody::Whole(Some(Bytes::from(text)))
    }
}

impl From<Bytes> for RelayBody {
    fn from(bytes: Bytes) -> Self {
        RelayBody::Whole(Some(bytes))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            RelayBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            RelayBody::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            RelayBody::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            RelayBody::Pieces(_) => SizeHint::default(),
        }
    }
}
