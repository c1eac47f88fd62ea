//! The budget of memory for bodies that wait for a caller or an upstream that reads slowly.

use {
    crate::{BodyAllowance, CountedBuffer},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    snafu::Snafu,
    std::{pin::pin, sync::Arc},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Bodies up to this size are not counted: there are at most as many as connections, and they are most of all bodies.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// The memory of one instance that all its buffered bodies share. Clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    free: Arc<Semaphore>,
}

/// A body in memory. The budget gets its share back when this is dropped.
#[derive(Debug, Default)]
pub struct BufferedBody {
    /// The content.
    pub bytes: Bytes,
    /// The share of the budget; `None` for a body that is not counted.
    pub share: Option<OwnedSemaphorePermit>,
}

/// Why a body is not in memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum CollectError {
    /// The budget is spent.
    #[snafu(display("no memory for the body"))]
    BudgetSpent,
    /// The body ended early.
    #[snafu(display("the body ended early"))]
    Cut,
    /// The body is larger than its limit.
    #[snafu(display("the body is too large or in too many pieces"))]
    TooLarge,
}

impl BufferBudget {
    /// A budget of `bytes`, at most 4 GB.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(bytes.min(u32::MAX as usize))),
        }
    }

    /// Reads a body in full.
    ///
    /// # Errors
    ///
    /// The body ended early, exceeds its allowance, or there is no memory for it.
    pub async fn collect<B: Body<Data = Bytes>>(
        &self,
        body: B,
        allowance: BodyAllowance,
    ) -> Result<BufferedBody, CollectError> {
        let mut body = pin!(body);
        let stated = body.size_hint().exact();
        let size = stated.and_then(|size| usize::try_from(size).ok());
        let mut allowance = allowance;
        let limit = allowance.bytes();
        let largest = size.unwrap_or(limit).min(limit);
        let mut buffer = CountedBuffer::new(self, UNCOUNTED_BYTES);
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame.map_err(|_| CollectError::Cut)?.into_data() else {
                continue;
            };
            allowance.take(piece.len())?;
            buffer.extend(&piece, largest)?;
        }
        Ok(buffer.freeze())
    }

    /// Takes memory for a body whose size is known; `None` for a body that is not counted.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn reserve(&self, bytes: usize) -> Result<Option<OwnedSemaphorePermit>, CollectError> {
        let mut share = None;
        if bytes > UNCOUNTED_BYTES {
            self.extend(&mut share, bytes)?;
        }
        Ok(share)
    }

    /// The semaphore with one permit for each free byte.
    pub fn free(&self) -> &Arc<Semaphore> {
        &self.free
    }

    /// Adds memory to a share.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn extend(
        &self,
        share: &mut Option<OwnedSemaphorePermit>,
        bytes: usize,
    ) -> Result<(), CollectError> {
        let count = u32::try_from(bytes).map_err(|_| CollectError::BudgetSpent)?;
        let taken = self.free.clone().try_acquire_many_owned(count);
        let taken = taken.map_err(|_| CollectError::BudgetSpent)?;
        match share {
            Some(share) => share.merge(taken),
            None => *share = Some(taken),
        }
        Ok(())
    }
}
