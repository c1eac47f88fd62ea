//! How often a request may run.

use serde::{Deserialize, Serialize};

/// Whether a request may run again when nobody knows whether it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// Runs at most once.
    Once,
    /// A stream that another upstream may go on with after its last whole event.
    Resumable,
    /// Idempotent: may run any number of times.
    Safe,
}

impl RepeatRule {
    /// Whether a second run does no harm.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Once => false,
            Self::Resumable | Self::Safe => true,
        }
    }
}
