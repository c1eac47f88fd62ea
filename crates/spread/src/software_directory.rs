//! The row of the directory with the software versions of each service.

use {
    crate::{
        DirectoryView,
        directory_view::{DIRECTORY_PREFIX, SOFTWARE_KEY},
    },
    plat::{PlatError, RowStore, Transaction, TransactionReply},
    policy::SoftwareMemory,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Reads the directory and writes the software versions.
#[derive(Debug)]
pub struct SoftwareDirectory<S> {
    store: Arc<S>,
}

impl<S: RowStore> SoftwareDirectory<S> {
    /// The store's own steady clock at a local time, if it is known.
    pub fn clock(&self, at: Instant) -> Option<Duration> {
        self.store.clock(at)
    }

    /// The store's era; 0 for a store without eras.
    pub fn era(&self) -> u64 {
        self.store.epoch().unwrap_or_default()
    }

    /// A client of the directory.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Reads the directory with one call.
    ///
    /// # Errors
    ///
    /// The rows can't be read.
    pub async fn read(&self) -> Result<DirectoryView, PlatError> {
        let rows = self.store.scan(DIRECTORY_PREFIX).await?;
        Ok(DirectoryView::new(&rows))
    }

    /// Writes the software versions, unless another instance has written them since `view` was read. Returns the resulting
    /// view. This is a single call, which is harmless if it takes effect late.
    ///
    /// # Errors
    ///
    /// The store did not answer, or refused.
    pub async fn write(
        &self,
        view: DirectoryView,
        software: SoftwareMemory,
    ) -> Result<DirectoryView, PlatError> {
        let mut view = view;
        let mut changes = Transaction::default();
        // Strings and numbers always serialise.
        let value = serde_json::to_string(&software).unwrap_or_default();
        changes.write(
            SOFTWARE_KEY.into(),
            view.version(SOFTWARE_KEY),
            value.into(),
        );
        match self.store.commit(&changes).await? {
            TransactionReply::Committed => view.software = Some(software),
            TransactionReply::Conflict { rows } => {
                for row in &rows {
                    view.apply(row);
                }
            }
        }
        Ok(view)
    }
}
