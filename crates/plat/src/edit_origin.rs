//! Who makes an edit, when, and under which id.

use {
    crate::edit_record::EditId,
    kernel::TableVersion,
    std::{sync::Arc, time::Duration},
};

/// The origin of one edit; the same for every retry.
#[derive(bon::Builder, Clone, Debug)]
pub struct EditOrigin {
    /// The time since the Unix epoch, by the editor's clock.
    pub at: Duration,
    /// Who edits.
    #[builder(into)]
    pub author: Arc<str>,
    /// The least version that the edit may make: one more than any that an entry instance is known to hold.
    #[builder(default)]
    pub floor: TableVersion,
    /// Names the edit.
    #[builder(into)]
    pub id: EditId,
}

impl EditOrigin {
    /// The version that an edit on top of `current` makes. Versions are milliseconds since the Unix epoch, so that one
    /// made on a restored platform is greater than those lost; where clocks disagree they count on from the greatest one
    /// known.
    pub fn next_version(&self, current: TableVersion) -> TableVersion {
        let by_clock = u64::try_from(self.at.as_millis()).unwrap_or_default();
        by_clock.max(current.saturating_add(1)).max(self.floor)
    }
}
