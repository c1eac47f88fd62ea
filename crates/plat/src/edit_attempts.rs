//! The attempts of one edit.

use {
    crate::{edit_origin::EditOrigin, plat_error::PlatError},
    kernel::TableVersion,
    table::TableMerge,
};

/// The attempts of one edit, and the versions of those whose replies were lost.
#[derive(Default)]
pub(crate) struct EditAttempts {
    pub(crate) last_error: Option<String>,
    pub(crate) lost_replies: u32,
    pub(crate) merge: Option<TableMerge>,
    pub(crate) count: u32,
    pub(crate) versions: Vec<TableVersion>,
}

impl EditAttempts {
    /// The final error. An error other than `OutcomeUnknown` means that nothing was written, which is not
    /// certain after an attempt whose reply was lost.
    pub(crate) fn close(self, error: PlatError, origin: &EditOrigin) -> PlatError {
        if self.versions.is_empty() {
            return error;
        }
        PlatError::OutcomeUnknown {
            detail: error.to_string(),
            edit: origin.id.clone(),
        }
    }

    pub(crate) fn into_error(mut self, origin: &EditOrigin) -> PlatError {
        let error = match self.last_error.take() {
            Some(detail) => PlatError::Unreachable { detail },
            None => PlatError::Overtaken {
                edit: origin.id.clone(),
                attempts: self.count,
            },
        };
        self.close(error, origin)
    }

    pub(crate) fn record_lost_reply(&mut self, error: &PlatError) {
        self.last_error = Some(error.to_string());
        self.lost_replies += 1;
    }
}
