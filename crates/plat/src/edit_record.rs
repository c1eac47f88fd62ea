//! One entry of the log of edits.

use {
    kernel::TableVersion,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    table::RowChange,
};

/// Names one edit; a retry of the same edit has the same id.
pub type EditId = Arc<str>;

/// An accepted edit.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EditRecord {
    /// When it was made: time since the Unix epoch, by the editor's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub at: Duration,
    /// Who made it.
    pub author: Arc<str>,
    /// The rows that it changed.
    pub changes: Vec<RowChange>,
    /// The edit.
    pub id: EditId,
    /// Whether an instance wrote edits back that the platform had lost; their rows keep earlier stamps.
    #[serde(default)]
    pub is_write_back: bool,
    /// The version before it; 0 for the first edit.
    pub parent: TableVersion,
    /// The version that it made.
    pub version: TableVersion,
}
