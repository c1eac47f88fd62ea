//! What an instance says of itself.

use serde::{Deserialize, Serialize};

/// Whether an instance takes requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes no new requests and finishes those that it has.
    Leaving,
    /// It has no table yet.
    NotReady,
    /// It takes requests.
    Serving,
}
