//! What an answer has to tell so that it can be kept within a limit.

/// An answer that can be kept for a replay.
pub trait AnswerSize: Clone {
    /// The bytes that keeping it costs.
    fn size(&self) -> usize;
}

impl AnswerSize for Vec<u8> {
    fn size(&self) -> usize {
        self.len()
    }
}
