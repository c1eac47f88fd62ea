//! Keeps the software versions of each service in the directory, for instances that start after all others are gone.

use {
    super::SharedSource,
    crate::DirectoryView,
    kernel::steady_clock,
    plat::RowStore,
    policy::{SoftwareMemory, UpstreamRecord},
    relay::OperatorSource,
};

/// How often a write that conflicts with another one is tried.
const MAX_ATTEMPTS: usize = 2;

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Takes the versions in the directory as it was just read.
    pub(super) fn remember_versions(&self, view: &DirectoryView) {
        let clock = self.directory.clock(steady_clock::now());
        let memory = view.software.as_ref();
        self.software.remember(memory, self.directory.era(), clock);
    }

    /// Writes the versions if a list that was just read changes them, before any instance uses an upstream of a new one:
    /// streams of it must not outlast the knowledge that there were several.
    pub(super) async fn write_versions(&self, records: &[UpstreamRecord]) {
        for attempt in 0..MAX_ATTEMPTS {
            let Some(view) = self.join.lock().as_ref().map(|join| join.view.clone()) else {
                return;
            };
            let known = view.software.as_ref();
            let mut draft = self.draft_versions(Some(records), known);
            if attempt > 0
                && let Some(known) = known
            {
                draft.keep_listed(known);
            }
            if !draft.is_due(known) {
                return;
            }
            let writing = self.directory.write_software(view, draft.clone());
            let view = match self.with_read_timeout(writing).await {
                Ok(view) => view,
                Err(error) => {
                    tracing::info!(%error, "failed to write the software versions");
                    return;
                }
            };
            let is_written = view.software.as_ref() == Some(&draft);
            if let Some(join) = self.join.lock().as_mut() {
                join.view = view.clone();
            }
            if is_written {
                tracing::info!(versions = ?draft.left_ms, "the software versions are written");
                return;
            }
            self.remember_versions(&view);
        }
    }

    /// What the directory is to keep of the versions.
    pub(super) fn draft_versions(
        &self,
        records: Option<&[UpstreamRecord]>,
        known: Option<&SoftwareMemory>,
    ) -> SoftwareMemory {
        let clock = self.directory.clock(steady_clock::now());
        let era = self.directory.era();
        self.software.draft_memory(records, known, era, clock)
    }
}
