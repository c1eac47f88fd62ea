//! The state that an instance announces for itself.

use serde::{Deserialize, Serialize};

/// Whether an instance takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Draining: it takes no new requests and finishes those in flight.
    Leaving,
    /// It has no table yet.
    NotReady,
    /// It takes requests.
    Serving,
}
