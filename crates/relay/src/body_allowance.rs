//! How much of a body is read, so that one without end takes a bounded amount of memory and processor time.

use crate::CollectError;

/// Maximum size of an answer, bytes. Regular answers of plain services are a few kilobytes, and streams some hundred.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of pieces of an answer that is read in full.
const MAX_ANSWER_PIECES: usize = 1 << 16;
/// Maximum number of pieces of a stream, in which each token may be one.
const MAX_STREAM_PIECES: usize = 1 << 18;

/// What may still be read of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyAllowance {
    bytes: usize,
    pieces: usize,
}

impl BodyAllowance {
    /// The allowance for an upstream's answer that is read in full.
    pub fn for_answer() -> Self {
        Self {
            bytes: MAX_ANSWER_BYTES,
            pieces: MAX_ANSWER_PIECES,
        }
    }

    /// The allowance for a stream of an engine.
    pub fn for_stream() -> Self {
        Self {
            bytes: MAX_ANSWER_BYTES,
            pieces: MAX_STREAM_PIECES,
        }
    }

    /// An allowance of `bytes` in any number of pieces.
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes,
            pieces: usize::MAX,
        }
    }

    /// The bytes that may still be read.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a piece of `bytes`.
    ///
    /// # Errors
    ///
    /// [`CollectError::TooLarge`] when the body is larger, or comes in more pieces, than allowed.
    pub fn take(&mut self, bytes: usize) -> Result<(), CollectError> {
        let bytes = self.bytes.checked_sub(bytes);
        let pieces = self.pieces.checked_sub(1);
        self.bytes = bytes.ok_or(CollectError::TooLarge)?;
        self.pieces = pieces.ok_or(CollectError::TooLarge)?;
        Ok(())
    }
}
