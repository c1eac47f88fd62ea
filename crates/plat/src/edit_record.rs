//! An entry of the edit log.

use {
    kernel::TableVersion,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    table::RowChange,
};

/// Identifies an edit; a retry of the same edit has the same id.
pub type EditId = Arc<str>;

/// An accepted edit.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EditRecord {
    /// When the edit was made: time since the Unix epoch, by the editor's clock.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub at: Duration,
    /// The author of the edit.
    pub author: Arc<str>,
    /// The rows that the edit changed.
    pub changes: Vec<RowChange>,
    /// Identifies the edit.
    pub id: EditId,
    /// Whether this edit wrote back edits that the platform had lost; such rows keep their earlier stamps.
    #[serde(default)]
    pub is_write_back: bool,
    /// The version before the edit; 0 for the first one.
    pub parent: TableVersion,
    /// The version after the edit.
    pub version: TableVersion,
}
