//! The operators' routes and the list of upstreams for an instance without other instances.

use {
    crate::{DirectoryView, SoftwareDirectory, VersionKeeper, shared_source::with_timeout},
    kernel::{LockRank, RankedLock},
    plat::RowStore,
    policy::{CrashReport, StoreVersion},
    relay::{
        CallReason, OperatorSource, ReportBatch, ReportCursor, RouteSnapshot, RouteUpdate,
        SoftwareNotes, SourceError, UpstreamChanges, UpstreamSnapshot,
    },
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// How long a list may wait for the directory.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);

/// A source that reads the store, and keeps the software versions in it over restarts of the instance.
#[derive(Debug)]
pub struct LoneSource<S> {
    read_timeout: Duration,
    store: Arc<S>,
    versions: VersionKeeper<S>,
    /// The directory as it was last read or written; `None` while that is not known.
    view: RankedLock<Option<DirectoryView>>,
}

impl<S: OperatorSource + RowStore> LoneSource<S> {
    /// A source that has read nothing yet; `directory_store` is for calls for the versions.
    pub fn new(
        directory_store: Arc<S>,
        read_timeout: Duration,
        software: SoftwareNotes,
        store: Arc<S>,
    ) -> Self {
        Self {
            read_timeout,
            store,
            versions: VersionKeeper::new(SoftwareDirectory::new(directory_store), software),
            view: RankedLock::new(LockRank::Samples, None),
        }
    }

    /// The known view of the directory. It is read if there is none.
    async fn read_directory(&self) -> Option<DirectoryView> {
        let known = self.view.lock().clone();
        if known.is_some() {
            return known;
        }
        let reading = self.versions.directory().read();
        match time::timeout(DIRECTORY_TIMEOUT, reading).await {
            Ok(Ok(view)) => {
                self.versions.remember(&view);
                Some(view)
            }
            Ok(Err(error)) => {
                tracing::info!(%error, "failed to read the software versions");
                None
            }
            Err(_) => {
                tracing::info!("the software versions can't be read in time");
                None
            }
        }
    }
}

impl<S: OperatorSource + RowStore> OperatorSource for LoneSource<S> {
    async fn drop_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        with_timeout(self.read_timeout, self.store.drop_reports(reports)).await
    }

    async fn read_routes(&self, reason: CallReason) -> Result<RouteSnapshot, SourceError> {
        with_timeout(self.read_timeout, self.store.read_routes(reason)).await
    }

    async fn read_changes(
        &self,
        after: StoreVersion,
        reason: CallReason,
    ) -> Result<Option<UpstreamChanges>, SourceError> {
        let changes = self.store.read_changes(after, reason);
        with_timeout(self.read_timeout, changes).await
    }

    async fn read_upstreams(&self, reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        // The list proves that a version is the only one if it was read after the directory.
        let view = self.read_directory().await;
        let reading = self.store.read_upstreams(reason);
        let mut snapshot = with_timeout(self.read_timeout, reading).await?;
        if let Some(view) = view {
            let (view, is_written) = self.versions.keep(view, &mut snapshot.records).await;
            *self.view.lock() = is_written.then_some(view);
        }
        Ok(snapshot)
    }

    async fn watch_routes(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<RouteUpdate, SourceError> {
        let watching = self.store.watch_routes(after, wait);
        with_timeout(wait + self.read_timeout, watching).await
    }

    async fn watch_reports(
        &self,
        after: Option<ReportCursor>,
        wait: Duration,
    ) -> Result<ReportBatch, SourceError> {
        let watching = self.store.watch_reports(after, wait);
        with_timeout(wait + self.read_timeout, watching).await
    }

    async fn write_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        with_timeout(self.read_timeout, self.store.write_reports(reports)).await
    }
}
