//! Who goes first.

use serde::{Deserialize, Serialize};

/// The rank of a kind of work: a lower number goes first. 0 to 9.
pub type Rank = u8;

/// Whether work of a rank counts as urgent or patient is told by the row's `first_token` column, not by the rank.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Waits in the queue up to its patience, and is finished.
    Patient,
    /// Is refused at once when its first token would be late.
    Urgent,
}
