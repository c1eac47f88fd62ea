//! Detects upstreams that crash while running a request, and quarantines requests that crash one upstream after
//! another.

use {
    crate::{CallerRequest, ConnectionPool, OpenCall, RelayCounts, SharedUpstreams},
    kernel::{LockRank, RankedLock, UpstreamId, steady_clock},
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

/// Pauses before the checks of an upstream after a lost connection, each counted from the check before. A crashing
/// process closes its connections one after the other, its listener among them, and a busy instance sees each close
/// late: an upstream that still accepts connections may be crashing.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(500),
];
/// Maximum number of reports queued while the store is down; further ones reach other instances only directly.
const MAX_UNSENT_REPORTS: usize = 1_000;
/// Maximum number of rows that the store accepts in one transaction.
const MAX_ROWS_PER_WRITE: usize = 100;

/// Tracks the lost connections of this process.
#[derive(Debug)]
pub struct CrashWatch {
    upstreams: Arc<SharedUpstreams>,
    counts: RelayCounts,
    pool: Arc<ConnectionPool>,
    state: RankedLock<CrashState>,
    /// Notified when there are reports that no other instance has.
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
                "dropped reports of crashed upstreams: the store takes none and the queue is full"
            );
        }
        self.unsent.extend(reports.into_iter().take(room));
    }
}

impl CrashWatch {
    /// Records that an upstream answered a request in full and keeps running: the request does not cause crashes.
    pub fn note_answered(&self, request: &CallerRequest) {
        let mut state = self.state.lock();
        let now = steady_clock::now();
        state.table.note_answered(&request.shared_parts(), now);
        // Most often there is no suspect, and the content of the request need not be hashed.
        if state.table.is_empty() {
            return;
        }
        let reports = state.table.clear(request.suspects());
        if !reports.is_empty() {
            self.update_gauge(&state, now);
        }
        self.queue_reports(&mut state, reports);
    }

    /// How long a request stays in quarantine; `None` when it may run. A request in quarantine would crash further
    /// upstreams and break every request that runs beside it there.
    pub fn quarantine_left(&self, request: &CallerRequest) -> Option<Duration> {
        let state = self.state.lock();
        if state.table.is_empty() {
            return None;
        }
        state
            .table
            .quarantine_left(request.suspects(), steady_clock::now())
    }

    /// A watch without any report. Reports expire after `life`.
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

    /// Records the loss of a connection after its call was sent; `has_answered` when a part of the answer had arrived.
    /// The upstream is probed in the background.
    pub fn note_loss(
        self: &Arc<Self>,
        request: &CallerRequest,
        call: &OpenCall,
        has_answered: bool,
    ) {
        let upstream = &call.upstream;
        // A draining upstream exits sooner or later, whatever runs there.
        if !self.upstreams.lock().is_active(&upstream.id) {
            self.counts.note_loss("leaving");
            return;
        }
        let run = LostRun {
            suspects: request.suspects().clone(),
            has_answered,
            ran: steady_clock::elapsed(call.since),
        };
        request.trace.set_fingerprint(run.suspects.request);
        let mut state = self.state.lock();
        match state.losses.note(&upstream.id, run, steady_clock::now()) {
            LossAction::Report(run) => self.report(&mut state, &upstream.id, &[run]),
            LossAction::Probe => {
                tokio::spawn(self.clone().probe_upstream(upstream.clone()));
            }
            LossAction::AwaitProbe => {}
        }
    }

    /// The requests in quarantine.
    pub fn rows(&self) -> Vec<QuarantineRow> {
        self.state.lock().table.rows(steady_clock::now())
    }

    /// Merges the reports of other instances.
    pub fn merge(&self, reports: &[AgedReport], now: Instant) {
        let mut state = self.state.lock();
        for AgedReport { age, report } in reports {
            let since = now.checked_sub(*age).unwrap_or(now);
            Self::apply_report(&mut state, report, since, now);
        }
        state.table.sweep(now);
        self.update_gauge(&state, now);
    }

    /// Waits for reports that no other instance has, and takes them from the queue.
    pub async fn take_unsent(&self) -> Vec<CrashReport> {
        loop {
            let reports = self.drain_unsent();
            if !reports.is_empty() {
                return reports;
            }
            self.wait_unsent().await;
        }
    }

    /// Waits until there is a report that no other instance has.
    pub async fn wait_unsent(&self) {
        self.unsent.notified().await;
    }

    fn drain_unsent(&self) -> Vec<CrashReport> {
        let mut state = self.state.lock();
        let count = state.unsent.len().min(MAX_ROWS_PER_WRITE);
        state.unsent.drain(..count).collect()
    }

    /// Puts back reports that could not be sent, without notifying the sender.
    pub fn return_unsent(&self, reports: Vec<CrashReport>) {
        self.state.lock().push_unsent(reports);
    }

    async fn probe_upstream(self: Arc<Self>, upstream: Arc<UpstreamRecord>) {
        let mut outcome = ProbeOutcome::Accepted;
        for pause in PROBE_PAUSES {
            time::sleep(pause).await;
            outcome = self.pool.probe(&upstream.id, upstream.address).await;
            if outcome != ProbeOutcome::Accepted {
                break;
            }
        }
        self.counts.note_loss(outcome.label());
        let mut state = self.state.lock();
        let runs = state.losses.note_probe(&upstream.id, outcome);
        self.report(&mut state, &upstream.id, &runs);
    }

    fn update_gauge(&self, state: &CrashState, now: Instant) {
        let count = i64::try_from(state.table.rows(now).len()).unwrap_or(i64::MAX);
        self.counts.quarantined.set(count);
    }

    fn apply_report(state: &mut CrashState, report: &CrashReport, since: Instant, now: Instant) {
        let was_held = state.table.conviction_left(&report.suspect, now).is_some();
        state.table.merge(report, since, now);
        let held = state.table.conviction_left(&report.suspect, now);
        if held.is_some() == was_held {
            return;
        }
        let left_s = held.map(|left| left.as_secs());
        match report.suspect.is_prompt_part() {
            true => {
                tracing::warn!(fingerprint = %report.suspect, left_s, "the quarantine of a prompt part changes");
            }
            false => {
                tracing::warn!(fingerprint = %report.suspect, left_s, "the quarantine of a request changes");
            }
        }
    }

    /// Queues reports for other instances.
    fn queue_reports(&self, state: &mut CrashState, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        state.push_unsent(reports);
        self.unsent.notify_one();
    }

    /// Records the crash of an upstream that ran requests of this instance.
    fn report(&self, state: &mut CrashState, upstream: &UpstreamId, runs: &[LostRun]) {
        let now = steady_clock::now();
        let mut reports = Vec::new();
        for run in runs {
            let suspects = &run.suspects;
            tracing::info!(
                %upstream,
                fingerprint = %suspects.request,
                mark = ?run.mark(),
                "an upstream ended under a request"
            );
            reports.push(run.report(suspects.request, upstream));
            for part in suspects.parts.iter() {
                if state.table.is_answered(&part.id, now) {
                    continue;
                }
                tracing::info!(
                    %upstream,
                    request = %suspects.request,
                    fingerprint = %part.id,
                    part = %part.name,
                    mark = ?run.mark(),
                    "an upstream ended under a prompt part"
                );
                reports.push(run.report(part.id, upstream));
            }
        }
        for report in &reports {
            Self::apply_report(state, report, now, now);
        }
        self.update_gauge(state, now);
        self.queue_reports(state, reports);
    }
}
