//! Reads the software versions in use from the store, for instances that resume a stream of which nobody has a note.

use {
    crate::directory_view::{SOFTWARE_KEY, read_software},
    kernel::{ServiceId, SoftwareVersion, steady_clock},
    plat::{PlatError, RowStore},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

/// How long questions are collected, so that one read answers all of them.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Time from the end of one read to the next.
const READ_PAUSE: Duration = Duration::from_millis(70);
/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// A question for the versions of a service.
#[derive(Debug)]
pub(crate) struct VersionQuestion {
    /// Takes the versions; `None` if the store does not tell them.
    pub(crate) reply: oneshot::Sender<Option<Vec<SoftwareVersion>>>,
    /// The service.
    pub(crate) service: ServiceId,
}

/// Answers questions by reads that begin after them. A version is written to the store before any instance uses an upstream
/// of it, so a read has all versions of the streams that began before it.
#[derive(Debug)]
pub(crate) struct VersionReader<S> {
    store: Arc<S>,
}

impl<S: RowStore> VersionReader<S> {
    /// A reader of a store.
    pub(crate) fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Answers questions until there can be none any more.
    pub(crate) async fn run(self, questions: mpsc::Receiver<VersionQuestion>) {
        let mut questions = questions;
        while let Some(question) = questions.recv().await {
            let mut waiting = vec![question];
            let read_at = time::Instant::now() + COLLECT_TIME;
            while let Ok(Some(question)) = time::timeout_at(read_at, questions.recv()).await {
                waiting.push(question);
            }
            self.answer(waiting).await;
            time::sleep(READ_PAUSE).await;
        }
    }

    async fn answer(&self, questions: Vec<VersionQuestion>) {
        let reading = time::timeout(READ_TIMEOUT, self.store.get(SOFTWARE_KEY)).await;
        let silent = |_| PlatError::Unreachable {
            detail: "no answer in time".to_owned(),
        };
        let row = reading.map_err(silent).flatten();
        let memory = match row {
            Ok(row) => row.map(|row| read_software(&row)),
            Err(error) => {
                tracing::info!(%error, "failed to read the software versions");
                None
            }
        };
        // A row of another era may lack versions.
        let era = self.store.epoch().unwrap_or_default();
        let memory = memory.filter(|memory| memory.era == era);
        let clock = self.store.clock(steady_clock::now());
        for VersionQuestion { reply, service } in questions {
            let versions = memory.as_ref();
            let versions = versions.map(|memory| memory.recent_versions(&service, clock));
            let versions = versions.filter(|versions| !versions.is_empty());
            // Fails only when the caller has left.
            let _ = reply.send(versions);
        }
    }
}
