//! Whether a request may be retried.

use serde::{Deserialize, Serialize};

/// Whether a request may be sent again when it is unknown whether it ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// Must not run more than once.
    Once,
    /// A stream that another upstream may continue after its last complete event.
    Resumable,
    /// Idempotent: may run any number of times.
    Safe,
}

impl RepeatRule {
    /// The rule for a request whose instances go by two rules, as during a change of the routes: they allow a second run only
    /// if they agree.
    pub fn agreed(self, other: Self) -> Self {
        match self == other {
            true => self,
            false => Self::Once,
        }
    }

    /// Whether a second run is safe.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Once => false,
            Self::Resumable | Self::Safe => true,
        }
    }
}
