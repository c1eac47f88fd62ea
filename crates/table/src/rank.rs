//! The priority and urgency of work.

use serde::{Deserialize, Serialize};

/// The priority of a kind of work, 0 to 9: a lower number is admitted first.
pub type Rank = u8;

/// Whether late work is refused or waits. Determined by the row's `first_token` column, not by its rank.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Waits in the queue up to its patience.
    Patient,
    /// Is refused immediately when its first token would be late.
    Urgent,
}
