//! The pieces of an answer between an upstream and a caller that may read slowly.

use {
    crate::{AnswerCut, BufferBudget},
    bytes::Bytes,
    snafu::Snafu,
    std::{
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

/// Bytes that may wait in each channel without a share of the budget, so that slow callers do not delay others.
const RESERVED_BYTES: usize = 4 << 10;
/// Bytes that may wait in one channel. Ordinary answers fit, so that an upstream can finish one that its caller reads
/// slowly.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// The caller has left.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the caller has left"))]
pub struct CallerLeft;

/// The sending side. Sending waits while too many bytes are unread, which pauses the upstream. An answer whose sender is
/// dropped before its end is truncated.
#[derive(Debug)]
pub struct PieceSender {
    is_ended: bool,
    reserved: Arc<Semaphore>,
    sender: mpsc::UnboundedSender<Piece>,
    shared: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
}

/// The receiving side.
#[derive(Debug)]
pub struct PieceReceiver {
    receiver: mpsc::UnboundedReceiver<Piece>,
}

/// A piece with the memory that it takes until it is read.
#[derive(Debug)]
struct Piece {
    content: Result<Bytes, AnswerCut>,
    _memory: Option<[OwnedSemaphorePermit; 2]>,
}

/// A channel whose unread bytes beyond a small reserve count towards `budget`.
pub fn piece_channel(budget: &BufferBudget) -> (PieceSender, PieceReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let sender = PieceSender {
        is_ended: false,
        reserved: Arc::new(Semaphore::new(RESERVED_BYTES)),
        sender,
        shared: budget.free().clone(),
        waiting: Arc::new(Semaphore::new(MAX_WAITING_BYTES)),
    };
    (sender, PieceReceiver { receiver })
}

impl PieceSender {
    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the answer as truncated.
    pub fn cut(self) {
        drop(self);
    }

    /// Ends the answer, which is complete.
    pub fn end(mut self) {
        self.is_ended = true;
    }

    /// Sends a piece once there is memory for it.
    ///
    /// # Errors
    ///
    /// The caller has left.
    pub async fn send(&self, piece: Bytes) -> Result<(), CallerLeft> {
        let memory = tokio::select! {
            () = self.closed() => return CallerLeftSnafu.fail(),
            memory = self.reserve(piece.len()) => memory,
        };
        let sent = self.sender.send(Piece {
            content: Ok(piece),
            _memory: memory,
        });
        sent.map_err(|_| CallerLeft)
    }

    /// Takes memory for a piece from the reserve of this channel or from the budget, whichever has it first. `None`
    /// when the semaphores are closed, which they never are.
    async fn reserve(&self, bytes: usize) -> Option<[OwnedSemaphorePermit; 2]> {
        let permits = |bytes: usize| u32::try_from(bytes).unwrap_or(u32::MAX);
        let all = permits(bytes.min(MAX_WAITING_BYTES));
        let waiting = self.waiting.clone().acquire_many_owned(all).await.ok()?;
        let small = permits(bytes.min(RESERVED_BYTES));
        let memory = tokio::select! {
            biased;
            memory = self.reserved.clone().acquire_many_owned(small) => memory,
            memory = self.shared.clone().acquire_many_owned(all) => memory,
        };
        Some([waiting, memory.ok()?])
    }
}

impl Drop for PieceSender {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        // Fails only when the caller has left, and nobody is left to notify.
        let _ = self.sender.send(Piece {
            content: Err(AnswerCut),
            _memory: None,
        });
    }
}

impl PieceReceiver {
    /// Polls for the next piece; `None` at the end of the answer.
    pub fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerCut>>> {
        let piece = ready!(self.receiver.poll_recv(context));
        Poll::Ready(piece.map(|piece| piece.content))
    }
}
