//! Finds out which upstreams ended under the requests that ran there, and keeps those in quarantine that end them all.

use {
    crate::{CallerRequest, ConnectionPool, OpenCall, RelayCounts, SharedUpstreams},
    kernel::{LockRank, RankedLock, steady_clock},
    policy::{
        AgedReport, CrashReport, CrashTable, LossAction, LossTable, LostRun, ProbeOutcome,
        QuarantineRow, UpstreamRecord,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time},
};

/// When an upstream is examined after the first loss, each time after the one before. A process that ends closes its
/// connections one after the other, the one that it listens at among them, and a busy instance sees each close late: one that
/// takes connections at first may still be ending.
const EXAMINE_PAUSES: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
];
/// How many reports wait for a store that is down; further ones are passed on to other instances alone.
const MAX_UNSENT_REPORTS: usize = 1_000;
/// The store takes so many rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 100;

/// Watches the losses of one process.
#[derive(Debug)]
pub struct CrashWatch {
    upstreams: Arc<SharedUpstreams>,
    counts: RelayCounts,
    pool: Arc<ConnectionPool>,
    state: RankedLock<CrashState>,
    /// Rung when there are reports that nobody else has.
    unsent: Notify,
}

#[derive(Debug)]
struct CrashState {
    losses: LossTable,
    table: CrashTable,
    unsent: Vec<CrashReport>,
}

impl CrashState {
    fn push_unsent(&mut self, reports: Vec<CrashReport>) {
        let room = MAX_UNSENT_REPORTS.saturating_sub(self.unsent.len());
        if reports.len() > room {
            tracing::warn!(
                count = reports.len() - room,
                "reports of ended upstreams are dropped, the store takes none"
            );
        }
        self.unsent.extend(reports.into_iter().take(room));
    }
}

impl CrashWatch {
    /// A request was answered in full by an upstream, which goes on: it is no cause of ends.
    pub fn note_answered(&self, request: &CallerRequest) {
        let mut state = self.state.lock();
        // Without a suspect nothing is worked out.
        if state.table.is_empty() {
            return;
        }
        let reports = state.table.clear(request.fingerprint());
        if !reports.is_empty() {
            self.update_gauge(&state, steady_clock::now());
        }
        self.queue_reports(&mut state, reports);
    }

    /// How long a request stays in quarantine; none when it may run. Sent on, it would end further upstreams, and break all
    /// that runs beside it there.
    pub fn quarantine_left(&self, request: &CallerRequest) -> Option<Duration> {
        let state = self.state.lock();
        if state.table.is_empty() {
            return None;
        }
        state
            .table
            .quarantine_left(&request.fingerprint(), steady_clock::now())
    }

    /// A watch that has seen nothing; a report counts for `life`.
    pub fn new(
        upstreams: Arc<SharedUpstreams>,
        counts: RelayCounts,
        pool: Arc<ConnectionPool>,
        life: Duration,
    ) -> Self {
        let state = CrashState {
            losses: LossTable::default(),
            table: CrashTable::new(life),
            unsent: Vec::new(),
        };
        Self {
            upstreams,
            counts,
            pool,
            state: RankedLock::new(LockRank::Losses, state),
            unsent: Notify::new(),
        }
    }

    /// The connection of a call that was sent is lost; `has_answered` when something of the answer had come. Nobody waits
    /// for what comes of it.
    pub fn note_loss(
        self: &Arc<Self>,
        request: &CallerRequest,
        call: &OpenCall,
        has_answered: bool,
    ) {
        let upstream = &call.upstream;
        // One that leaves ends in time, whatever runs there.
        if !self.upstreams.lock().accepts_work(&upstream.id) {
            self.counts.note_loss("leaving");
            return;
        }
        let run = LostRun {
            fingerprint: request.fingerprint(),
            has_answered,
            ran: steady_clock::elapsed(call.since),
        };
        request.trace.set_fingerprint(run.fingerprint);
        let mut state = self.state.lock();
        match state.losses.note(&upstream.id, run, steady_clock::now()) {
            LossAction::Report(report) => self.report(&mut state, vec![report]),
            LossAction::Probe => {
                tokio::spawn(self.clone().examine(upstream.clone()));
            }
            LossAction::AwaitProbe => {}
        }
    }

    /// The requests in quarantine.
    pub fn rows(&self) -> Vec<QuarantineRow> {
        self.state.lock().table.rows(steady_clock::now())
    }

    /// Reports of other instances.
    pub fn merge(&self, reports: &[AgedReport], now: Instant) {
        let mut state = self.state.lock();
        for AgedReport { age, report } in reports {
            let since = now.checked_sub(*age).unwrap_or(now);
            Self::apply_report(&mut state, report, since, now);
        }
        state.table.sweep(now);
        self.update_gauge(&state, now);
    }

    /// Waits for reports that nobody else has, and takes them.
    pub async fn take_unsent(&self) -> Vec<CrashReport> {
        loop {
            let reports = self.drain_unsent();
            if !reports.is_empty() {
                return reports;
            }
            self.wait_unsent().await;
        }
    }

    /// Waits until something is found that nobody else knows.
    pub async fn wait_unsent(&self) {
        self.unsent.notified().await;
    }

    fn drain_unsent(&self) -> Vec<CrashReport> {
        let mut state = self.state.lock();
        let count = state.unsent.len().min(MAX_ROWS_PER_WRITE);
        state.unsent.drain(..count).collect()
    }

    /// Reports that could not be sent are kept for the next time. That wakes nobody.
    pub fn return_unsent(&self, reports: Vec<CrashReport>) {
        self.state.lock().push_unsent(reports);
    }

    async fn examine(self: Arc<Self>, upstream: Arc<UpstreamRecord>) {
        let mut reach = ProbeOutcome::Accepted;
        for pause in EXAMINE_PAUSES {
            time::sleep(pause).await;
            reach = self.pool.probe(&upstream.id, upstream.address).await;
            if reach != ProbeOutcome::Accepted {
                break;
            }
        }
        self.counts.note_loss(reach.label());
        let mut state = self.state.lock();
        let reports = state.losses.note_probe(&upstream.id, reach);
        self.report(&mut state, reports);
    }

    fn update_gauge(&self, state: &CrashState, now: Instant) {
        let count = i64::try_from(state.table.rows(now).len()).unwrap_or(i64::MAX);
        self.counts.quarantined.set(count);
    }

    fn apply_report(state: &mut CrashState, report: &CrashReport, since: Instant, now: Instant) {
        let was_held = state
            .table
            .quarantine_left(&report.fingerprint, now)
            .is_some();
        state.table.merge(report, since, now);
        let held = state.table.quarantine_left(&report.fingerprint, now);
        if held.is_some() != was_held {
            tracing::warn!(
                fingerprint = %report.fingerprint,
                left_s = held.map(|left| left.as_secs()),
                "the quarantine of a request changes"
            );
        }
    }

    /// Has reports sent to others.
    fn queue_reports(&self, state: &mut CrashState, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        state.push_unsent(reports);
        self.unsent.notify_one();
    }

    /// Upstreams ended under requests of this instance.
    fn report(&self, state: &mut CrashState, reports: Vec<CrashReport>) {
        let now = steady_clock::now();
        for report in &reports {
            tracing::info!(
                upstream = %report.upstream,
                fingerprint = %report.fingerprint,
                mark = ?report.mark,
                "an upstream ended under a request"
            );
            Self::apply_report(state, report, now, now);
        }
        self.update_gauge(state, now);
        self.queue_reports(state, reports);
    }
}
