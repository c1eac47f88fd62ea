//! A log on standard output that never blocks a request.
//!
//! Lines go through a bounded queue to a thread that writes them. When the reader of the output stalls, the queue fills
//! and further lines are dropped and counted. The count is logged once there is room again.

use {
    crate::{entry::log_setup::level_filter, settings::LogSettings},
    std::{io, time::Duration},
    tokio::time,
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
};

/// The capacity of the queue: a few seconds of a burst in which every request fails, about 2 MB.
const QUEUED_LINES_LIMIT: usize = 4_096;
/// How often the count of dropped lines is checked.
const LOST_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// The log of a process. Closing it writes the queued lines.
#[derive(Debug)]
pub struct BoundedLog {
    guard: WorkerGuard,
    lost: ErrorCounter,
}

impl BoundedLog {
    /// Writes the queued lines and stops the writer.
    pub fn close(self) {
        drop(self.guard);
    }

    /// Sends the log lines of this process to standard output, as JSON. A second call changes nothing.
    pub fn start(log: &LogSettings) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(QUEUED_LINES_LIMIT)
            .lossy(true)
            .finish(io::stdout());
        let lost = writer.error_counter();
        let outcome = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_max_level(level_filter(log.level))
            .with_writer(writer)
            .try_init();
        if let Err(error) = outcome {
            tracing::debug!(%error, "the log is already started");
        }
        Self { guard, lost }
    }

    /// Logs how many lines were dropped, whenever that number has grown. Never returns.
    pub fn watch(&self) -> impl Future<Output = ()> + Send + 'static {
        let lost = self.lost.clone();
        async move {
            let mut reported = 0;
            loop {
                time::sleep(LOST_CHECK_PERIOD).await;
                let count = lost.dropped_lines();
                if count > reported {
                    tracing::warn!(lost = count - reported, total = count, "log lines lost");
                    reported = count;
                }
            }
        }
    }
}
