//! The attempts of one write to the platform.

use {
    crate::{edit_origin::EditOrigin, plat_error::PlatError},
    kernel::TableVersion,
    table::TableMerge,
};

/// The attempts of one edit whose replies were lost.
#[derive(Default)]
pub(crate) struct EditAttempts {
    pub(crate) last_error: Option<String>,
    pub(crate) lost_replies: u32,
    pub(crate) merge: Option<TableMerge>,
    pub(crate) count: u32,
    pub(crate) versions: Vec<TableVersion>,
}

impl EditAttempts {
    /// The error to report: a plain one says that nothing was done, which open attempts can't promise.
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
