//! The size of an answer, for the limit on cached answers.

/// An answer that can be cached and replayed.
pub trait AnswerSize: Clone {
    /// The bytes that the cached answer takes.
    fn size(&self) -> usize;
}

impl AnswerSize for Vec<u8> {
    fn size(&self) -> usize {
        self.len()
    }
}
