//! The trace of a request, written as one log line when the request ends.
//!
//! Requests that failed, were late, met an answer of another call or were sent more than once are always logged; of the
//! others one in sixteen is sampled, so that the log volume stays steady under load.

use {
    crate::RequestId,
    kernel::{
        CustomerId, LockRank, RankedLock, ResultCode, ServiceId, TableVersion, WorkId, seeded_rng,
        steady_clock,
    },
    policy::SuspectId,
    std::{
        fmt::{self, Write},
        time::{Duration, Instant},
    },
};

/// One of this many ordinary requests is logged.
const SAMPLE_INTERVAL: u64 = 16;
/// Seed of the sampling.
const SAMPLE_SEED: u64 = 3;
/// Maximum length of the recorded steps, bytes: a request that waits for a slot asks many engines.
const MAX_STEPS_BYTES: usize = 1_500;

/// The circumstances in which a request arrived.
#[derive(Clone, Debug)]
pub struct TraceContext {
    /// The customer; `None` when the route is public or no customers are declared.
    pub customer: Option<CustomerId>,
    /// Age of the list of upstreams.
    pub list_age: Duration,
    /// The target for the pause between events; `None` for plain services.
    pub pause: Option<Duration>,
    /// The service.
    pub service: ServiceId,
    /// The target for the first byte.
    pub target: Duration,
    /// The version of the routes.
    pub version: TableVersion,
    /// The route.
    pub work: WorkId,
}

#[derive(Debug, Default)]
struct TraceState {
    /// The calls of which at least a part may have been written.
    calls: u32,
    code: Option<ResultCode>,
    /// Identifies the request across retries; set when a connection was lost.
    fingerprint: Option<SuspectId>,
    first_byte: Option<Duration>,
    has_foreign_answer: bool,
    is_sent: bool,
    last_piece: Option<Duration>,
    longest_pause: Duration,
    /// When the longest pause began, since the arrival of the request.
    pause_from: Duration,
    steps: String,
}

/// The trace of one request. It is logged on drop; without a result code by then, the caller has left.
#[derive(Debug)]
pub struct RequestTrace {
    id: RequestId,
    since: Instant,
    context: TraceContext,
    state: RankedLock<TraceState>,
}

impl RequestTrace {
    /// Sets the result code. Only the first call has an effect.
    pub fn end(&self, code: ResultCode) {
        self.state.lock().code.get_or_insert(code);
    }

    /// Records the time of the first byte of the answer.
    pub fn note_first_byte(&self) {
        let since = steady_clock::elapsed(self.since);
        self.state.lock().first_byte.get_or_insert(since);
    }

    /// Records the fingerprint after a lost connection, so that the log relates the retries of the request.
    pub fn set_fingerprint(&self, fingerprint: SuspectId) {
        self.state.lock().fingerprint = Some(fingerprint);
    }

    /// The trace of a request that arrived at `since`.
    pub fn new(id: RequestId, since: Instant, context: TraceContext) -> Self {
        Self {
            id,
            since,
            context,
            state: RankedLock::new(LockRank::Samples, TraceState::default()),
        }
    }

    /// Records calls that may have run the request before it came to this instance.
    pub fn note_earlier_runs(&self, runs: u32) {
        let mut state = self.state.lock();
        state.calls = state.calls.saturating_add(runs);
    }

    /// Records that a call that may run the request is sent.
    pub fn note_sent(&self) {
        let mut state = self.state.lock();
        state.is_sent = true;
        state.calls = state.calls.saturating_add(1);
    }

    /// Records that nothing was written of the call that was sent last.
    pub fn note_unsent(&self) {
        let mut state = self.state.lock();
        state.calls = state.calls.saturating_sub(1);
    }

    /// Records that an answer came that belongs to another call, so that the request is always logged.
    pub fn note_foreign_answer(&self) {
        self.state.lock().has_foreign_answer = true;
    }

    /// Records the arrival of a piece of a stream, for the longest pause.
    pub fn note_piece(&self) {
        let at = steady_clock::elapsed(self.since);
        let mut state = self.state.lock();
        let before = state.last_piece.replace(at).unwrap_or(at);
        if at - before > state.longest_pause {
            state.longest_pause = at - before;
            state.pause_from = before;
        }
    }

    /// Appends a step with its time since the arrival.
    pub fn note(&self, step: fmt::Arguments<'_>) {
        let at = steady_clock::elapsed(self.since).as_millis();
        let mut state = self.state.lock();
        if state.steps.len() < MAX_STEPS_BYTES {
            // Writing to a string cannot fail.
            let _ = write!(state.steps, "{at} {step}; ");
        }
    }

    fn is_sampled(&self) -> bool {
        seeded_rng::mix(SAMPLE_SEED, self.id.as_bytes()).is_multiple_of(SAMPLE_INTERVAL)
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let state = self.state.lock();
        let code = state.code.unwrap_or(match state.is_sent {
            true => ResultCode::CallerLeft,
            false => ResultCode::CallerGone,
        });
        let first = state
            .first_byte
            .unwrap_or_else(|| steady_clock::elapsed(self.since));
        let is_steady = self
            .context
            .pause
            .is_none_or(|pause| state.longest_pause <= pause);
        let is_on_time = first <= self.context.target && is_steady;
        let is_answered_once = code == ResultCode::Answered && state.calls <= 1;
        let is_ordinary = is_answered_once && is_on_time && !state.has_foreign_answer;
        if is_ordinary && !self.is_sampled() {
            return;
        }
        tracing::info!(
            request = %self.id,
            code = code.number(),
            calls = state.calls,
            customer = self.context.customer.as_deref(),
            work = %self.context.work,
            service = %self.context.service,
            table_version = self.context.version,
            list_age_ms = self.context.list_age.as_millis() as u64,
            target_ms = self.context.target.as_millis() as u64,
            first_byte_ms = state.first_byte.map(|first| first.as_millis() as u64),
            pause_target_ms = self.context.pause.map(|pause| pause.as_millis() as u64),
            longest_pause_ms = state.last_piece.map(|_| state.longest_pause.as_millis() as u64),
            pause_from_ms = state.last_piece.map(|_| state.pause_from.as_millis() as u64),
            total_ms = steady_clock::elapsed(self.since).as_millis() as u64,
            fingerprint = state.fingerprint.map(tracing::field::display),
            steps = state.steps.trim_end(),
            "request ended"
        );
    }
}
