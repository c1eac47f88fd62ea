//! Finds out which upstreams ended under the requests that ran there.

use {
    crate::{CallerRequest, LinkPool, OpenCall, RelayCounts, UpstreamBoard},
    kernel::{LockRank, RankedLock},
    policy::{CrashReport, LossStep, LossTable, LostRun, UpstreamRecord},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// A process that ends closes its connections one after the other, the one that it listens at among them: so long after the
/// first loss it refuses new ones.
const EXAMINE_PAUSE: Duration = Duration::from_millis(20);

/// Watches the losses of one process.
#[derive(Debug)]
pub struct CrashWatch {
    board: Arc<UpstreamBoard>,
    counts: RelayCounts,
    losses: RankedLock<LossTable>,
    pool: Arc<LinkPool>,
}

impl CrashWatch {
    /// A watch that has seen nothing.
    pub fn new(board: Arc<UpstreamBoard>, counts: RelayCounts, pool: Arc<LinkPool>) -> Self {
        Self {
            board,
            counts,
            losses: RankedLock::new(LockRank::Losses, LossTable::default()),
            pool,
        }
    }

    /// The connection of a call that was sent is lost. Nobody waits for what comes of it.
    pub fn note_loss(self: &Arc<Self>, request: &CallerRequest, call: &OpenCall) {
        let upstream = &call.upstream;
        // One that leaves ends in time, whatever runs there.
        if !self.board.lock().takes_work(&upstream.id) {
            self.counts.note_loss("leaving");
            return;
        }
        let run = LostRun {
            fingerprint: request.fingerprint(),
            ran: call.since.elapsed(),
        };
        request.story.lost(run.fingerprint);
        let step = self.losses.lock().note(&upstream.id, run, Instant::now());
        match step {
            LossStep::Ended(report) => self.report(&[report]),
            LossStep::Examine => {
                tokio::spawn(self.clone().examine(upstream.clone()));
            }
            LossStep::Wait => {}
        }
    }

    async fn examine(self: Arc<Self>, upstream: Arc<UpstreamRecord>) {
        time::sleep(EXAMINE_PAUSE).await;
        let reach = self.pool.reach(&upstream.id, upstream.address).await;
        self.counts.note_loss(reach.label());
        let reports = self.losses.lock().examined(&upstream.id, reach);
        self.report(&reports);
    }

    fn report(&self, reports: &[CrashReport]) {
        for report in reports {
            tracing::info!(
                upstream = %report.upstream,
                fingerprint = %report.fingerprint,
                mark = ?report.mark,
                "an upstream ended under a request"
            );
        }
    }
}
