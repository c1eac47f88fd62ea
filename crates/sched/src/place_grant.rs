//! A granted decode place.

use {
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
};

/// A place at a decode engine, and the engine that prefills the prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlaceGrant {
    /// The decode engine.
    pub engine: UpstreamId,
    /// The prefill engine; `None` when the decode engine holds the prompt, or when no engine of the cell is soon enough and the
    /// instance chooses one of any availability zone.
    pub prefill: Option<UpstreamId>,
    /// Memory to reserve at the decode engine, tokens.
    pub reserve: u64,
}
