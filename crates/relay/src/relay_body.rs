//! The body of an answer to a caller.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::body::{Body, Frame, SizeHint},
    snafu::Snafu,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc,
};

/// The upstream's answer ended early: the caller's connection is cut, so that the answer does not look whole.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the upstream's answer ended early"))]
pub struct AnswerCut;

/// A body that is there, or one that arrives piece by piece.
#[derive(Debug)]
pub enum RelayBody {
    /// All bytes.
    Whole(Full<Bytes>),
    /// Pieces as they arrive.
    Pieces(mpsc::Receiver<Result<Bytes, AnswerCut>>),
}

impl RelayBody {
    /// A body of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            Self::Whole(full) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Pieces(receiver) => {
                let piece = ready!(receiver.poll_recv(context));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
