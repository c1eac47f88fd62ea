//! The tries of one write to the platform.

use {
    crate::{edit_origin::EditOrigin, plat_error::PlatError},
    kernel::TableVersion,
    table::TableMerge,
};

/// The tries of one edit whose replies were lost.
#[derive(Default)]
pub(crate) struct OpenTries {
    pub(crate) last_error: Option<String>,
    pub(crate) losses: u32,
    pub(crate) merge: Option<TableMerge>,
    pub(crate) tries: u32,
    pub(crate) versions: Vec<TableVersion>,
}

impl OpenTries {
    /// The error to report: a plain one says that nothing was done, which open tries can't promise.
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
                tries: self.tries,
            },
        };
        self.close(error, origin)
    }

    pub(crate) fn note_loss(&mut self, error: &PlatError) {
        self.last_error = Some(error.to_string());
        self.losses += 1;
    }
}
