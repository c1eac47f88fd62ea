//! The author, time and id of an edit.

use {
    crate::edit_record::EditId,
    kernel::TableVersion,
    std::{sync::Arc, time::Duration},
};

/// The origin of one edit, unchanged across retries.
#[derive(bon::Builder, Clone, Debug)]
pub struct EditOrigin {
    /// The time since the Unix epoch, by the editor's clock.
    pub at: Duration,
    /// The author of the edit.
    #[builder(into)]
    pub author: Arc<str>,
    /// The minimum version of the edit: one more than any version that an entry instance is known to hold.
    #[builder(default)]
    pub floor: TableVersion,
    /// Identifies the edit.
    #[builder(into)]
    pub id: EditId,
}

impl EditOrigin {
    /// The version of an edit on top of `current`. Versions are milliseconds since the Unix epoch, so that a
    /// version created on a restored platform is greater than the lost ones. If the clock is behind, the
    /// version is one more than the greatest known one.
    pub fn next_version(&self, current: TableVersion) -> TableVersion {
        let by_clock = u64::try_from(self.at.as_millis()).unwrap_or_default();
        by_clock.max(current.saturating_add(1)).max(self.floor)
    }
}
