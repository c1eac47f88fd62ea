//! The body of an answer to a caller.

use {
    crate::{BufferedBody, PieceReceiver, connection_activity::ActiveRequest},
    bytes::Bytes,
    http_body_util::Full,
    hyper::body::{Body, Frame, SizeHint},
    snafu::Snafu,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// The upstream's answer was truncated. The caller's connection is cut, so that the answer does not look complete.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the upstream's answer ended early"))]
pub struct AnswerCut;

/// A complete body, or one that arrives in pieces.
#[derive(Debug)]
pub struct RelayBody {
    /// Marks the caller's connection as active while the body exists.
    busy: Option<ActiveRequest>,
    content: BodyContent,
    /// The memory that a large body takes until it has been sent.
    _memory: Option<OwnedSemaphorePermit>,
}

#[derive(Debug)]
enum BodyContent {
    /// Pieces as they arrive.
    Pieces(PieceReceiver),
    /// The complete body.
    Whole(Full<Bytes>),
}

impl RelayBody {
    /// Keeps the connection marked as active until the body has been sent.
    pub fn hold(&mut self, busy: ActiveRequest) {
        self.busy = Some(busy);
    }

    /// A body whose pieces arrive through a channel.
    pub fn pieces(receiver: PieceReceiver) -> Self {
        Self {
            busy: None,
            content: BodyContent::Pieces(receiver),
            _memory: None,
        }
    }

    /// A complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            busy: None,
            content: BodyContent::Whole(Full::new(bytes.into())),
            _memory: None,
        }
    }

    /// A complete body that counts towards a budget.
    pub fn buffered(body: BufferedBody) -> Self {
        Self {
            _memory: body.share,
            ..Self::whole(body.bytes)
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn is_end_stream(&self) -> bool {
        match &self.content {
            BodyContent::Pieces(_) => false,
            BodyContent::Whole(full) => full.is_end_stream(),
        }
    }

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match &mut self.get_mut().content {
            BodyContent::Whole(full) => {
                let frame = ready!(Pin::new(full).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            BodyContent::Pieces(receiver) => {
                let piece = ready!(receiver.poll_piece(context));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Pieces(_) => SizeHint::default(),
            BodyContent::Whole(full) => full.size_hint(),
        }
    }
}
