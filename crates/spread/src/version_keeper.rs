//! Keeps the software versions of each service in the directory, for instances that start after all others are gone.

use {
    crate::{DirectoryView, SoftwareDirectory},
    kernel::{LockRank, RankedLock, steady_clock},
    plat::RowStore,
    policy::{SoftwareMemory, UpstreamRecord},
    relay::SoftwareNotes,
    std::time::{Duration, Instant},
    tokio::time,
};

/// How often a write that conflicts with another one is tried.
const MAX_ATTEMPTS: usize = 2;
/// How long a list may wait for the write of the software versions that it names.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(400);

/// How long upstreams of a new version are left out of the lists while it can't be written.
const MAX_WITHHOLDING: Duration = Duration::from_secs(5);

/// Writes the versions of the lists that an instance reads, and takes those that the directory has.
#[derive(Debug)]
pub struct VersionKeeper<S> {
    directory: SoftwareDirectory<S>,
    /// Since when the versions can't be written.
    failing_since: RankedLock<Option<Instant>>,
    /// The versions of the list in use.
    software: SoftwareNotes,
}

impl<S: RowStore> VersionKeeper<S> {
    /// The row that this writes.
    pub fn directory(&self) -> &SoftwareDirectory<S> {
        &self.directory
    }

    /// What the directory is to keep of the versions, also of a list that was just read; `known` is what it keeps.
    pub fn draft(
        &self,
        records: Option<&[UpstreamRecord]>,
        known: Option<&SoftwareMemory>,
    ) -> SoftwareMemory {
        let clock = self.directory.clock(steady_clock::now());
        let era = self.directory.era();
        self.software.draft_memory(records, known, era, clock)
    }

    /// A keeper of the versions that `software` knows.
    pub fn new(directory: SoftwareDirectory<S>, software: SoftwareNotes) -> Self {
        Self {
            directory,
            failing_since: RankedLock::new(LockRank::Samples, None),
            software,
        }
    }

    /// Takes the versions in the directory as it was just read.
    pub fn remember(&self, view: &DirectoryView) {
        let clock = self.directory.clock(steady_clock::now());
        let memory = view.software.as_ref();
        self.software.remember(memory, self.directory.era(), clock);
    }

    /// Writes the versions if a list that was just read changes them, before any instance uses an upstream of a new one:
    /// streams of it must not outlast the knowledge that there were several. While that fails the upstreams of new versions
    /// are left out of the list, up to [`MAX_WITHHOLDING`], and the next list has the write tried again. Returns the
    /// resulting view of the directory, and whether the versions are in it.
    pub async fn keep(
        &self,
        view: DirectoryView,
        records: &mut Vec<UpstreamRecord>,
    ) -> (DirectoryView, bool) {
        let (view, is_written) = self.write(view, records).await;
        if is_written {
            *self.failing_since.lock() = None;
            return (view, true);
        }
        let now = steady_clock::now();
        let since = *self.failing_since.lock().get_or_insert(now);
        if now.saturating_duration_since(since) < MAX_WITHHOLDING {
            let count = self.software.withhold_new(records);
            tracing::info!(count, "upstreams of unwritten versions are left out");
        }
        (view, false)
    }

    async fn write(
        &self,
        view: DirectoryView,
        records: &[UpstreamRecord],
    ) -> (DirectoryView, bool) {
        let deadline = time::Instant::now() + MAX_WRITE_DELAY;
        let mut view = view;
        for attempt in 0..MAX_ATTEMPTS {
            let known = view.software.as_ref();
            let mut draft = self.draft(Some(records), known);
            if attempt > 0
                && let Some(known) = known
            {
                draft.keep_listed(known);
            }
            if !draft.is_due(known) {
                return (view, true);
            }
            let writing = self.directory.write(view.clone(), draft.clone());
            match time::timeout_at(deadline, writing).await {
                Ok(Ok(written)) => view = written,
                Ok(Err(error)) => {
                    tracing::info!(%error, "failed to write the software versions");
                    return (view, false);
                }
                Err(_) => {
                    tracing::info!("the software versions are not written in time");
                    return (view, false);
                }
            }
            if view.software.as_ref() == Some(&draft) {
                tracing::info!(versions = ?draft.left_ms, "the software versions are written");
                return (view, true);
            }
            self.remember(&view);
        }
        (view, false)
    }
}
