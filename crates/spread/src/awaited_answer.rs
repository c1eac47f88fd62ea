//! An instance that was asked and has not answered yet.

use {kernel::InstanceId, std::time::Instant};

/// The answer that an instance waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AwaitedAnswer {
    /// Who was asked.
    pub from: InstanceId,
    /// How many questions went there since its last answer.
    pub questions: u32,
    /// When the first of them did.
    pub since: Instant,
}
