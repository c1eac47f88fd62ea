//! Bytes that are collected from pieces, in memory that is counted as it is held.

use {
    crate::{BufferBudget, BufferedBody, CollectError},
    bytes::Bytes,
    tokio::sync::OwnedSemaphorePermit,
};

/// The first capacity of a buffer, bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// A growing buffer. Pieces are copied: a piece of any size keeps the whole read buffer of its connection from being freed.
#[derive(Debug)]
pub struct CountedBuffer {
    budget: BufferBudget,
    bytes: Vec<u8>,
    /// The share of the budget; `None` while the capacity is not counted.
    share: Option<OwnedSemaphorePermit>,
    /// The capacity up to which the buffer is not counted, bytes.
    uncounted: usize,
}

impl CountedBuffer {
    /// The bytes collected so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a piece. The buffer grows to `limit` bytes at most, unless the piece needs more.
    ///
    /// # Errors
    ///
    /// The budget is spent.
    pub fn extend(&mut self, piece: &[u8], limit: usize) -> Result<(), CollectError> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let doubled = needed.next_power_of_two().max(MIN_CAPACITY);
            self.grow(doubled.min(limit.max(needed)))?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The bytes in memory of their own size.
    pub fn freeze(mut self) -> BufferedBody {
        self.bytes.shrink_to_fit();
        self.release_surplus();
        BufferedBody {
            bytes: self.bytes.into(),
            share: self.share,
        }
    }

    /// An empty buffer that counts towards `budget` from a capacity of more than `uncounted` bytes on.
    pub fn new(budget: &BufferBudget, uncounted: usize) -> Self {
        Self {
            budget: budget.clone(),
            bytes: Vec::new(),
            share: None,
            uncounted,
        }
    }

    /// Takes the first `end` bytes, in memory of their own size.
    pub fn take_front(&mut self, end: usize) -> Bytes {
        let front = Bytes::copy_from_slice(&self.bytes[..end]);
        self.bytes = self.bytes[end..].to_vec();
        self.release_surplus();
        front
    }

    fn counted(&self) -> usize {
        self.share.as_ref().map_or(0, |share| share.num_permits())
    }

    fn grow(&mut self, capacity: usize) -> Result<(), CollectError> {
        if capacity > self.uncounted {
            let missing = capacity.saturating_sub(self.counted());
            self.budget.extend(&mut self.share, missing)?;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn release_surplus(&mut self) {
        let due = match self.bytes.capacity() {
            capacity if capacity <= self.uncounted => 0,
            capacity => capacity,
        };
        let surplus = self.counted().saturating_sub(due);
        if let Some(share) = &mut self.share {
            drop(share.split(surplus));
        }
        self.share = self.share.take().filter(|_| due > 0);
    }
}
