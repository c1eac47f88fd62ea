//! What happened to one request, written as one log line when it ends.
//!
//! A request that was not served, was late or needed more than one upstream is always written; of the others one in
//! sixteen is, so that the volume stays steady under load.

use {
    crate::RequestId,
    kernel::{
        CustomerId, LockRank, RankedLock, ResultCode, ServiceId, TableVersion, WorkId, seeded_rng,
        steady_clock,
    },
    policy::RequestFingerprint,
    std::{
        fmt::{self, Write},
        time::{Duration, Instant},
    },
};

/// Of so many ordinary requests one is written.
const SAMPLE_INTERVAL: u64 = 16;
/// The seed of the sample.
const SAMPLE_SEED: u64 = 3;
/// The longest text of steps, bytes: a request that waits for a place asks many engines.
const MAX_STEPS_BYTES: usize = 1_500;

/// What a request was up against when it came.
#[derive(Clone, Debug)]
pub struct TraceContext {
    /// The customer; none where callers show no keys.
    pub customer: Option<CustomerId>,
    /// How old the list of upstreams was.
    pub list_age: Duration,
    /// The longest pause between events that is still on time; none for plain services.
    pub pause: Option<Duration>,
    /// The service.
    pub service: ServiceId,
    /// The target of the first byte.
    pub target: Duration,
    /// The version of the routes.
    pub version: TableVersion,
    /// The row.
    pub work: WorkId,
}

#[derive(Debug, Default)]
struct TraceState {
    code: Option<ResultCode>,
    /// What its tries have in common; set when a run was lost.
    fingerprint: Option<RequestFingerprint>,
    first_byte: Option<Duration>,
    is_sent: bool,
    last_piece: Option<Duration>,
    longest_pause: Duration,
    /// When the longest pause began.
    pause_from: Duration,
    steps: String,
}

/// The trace of one request. It is written when it is dropped; without an end the caller went away.
#[derive(Debug)]
pub struct RequestTrace {
    id: RequestId,
    since: Instant,
    context: TraceContext,
    state: RankedLock<TraceState>,
}

impl RequestTrace {
    /// The request ended with a code. Only the first end counts.
    pub fn end(&self, code: ResultCode) {
        self.state.lock().code.get_or_insert(code);
    }

    /// The first byte of the answer is there.
    pub fn note_first_byte(&self) {
        let since = steady_clock::elapsed(self.since);
        self.state.lock().first_byte.get_or_insert(since);
    }

    /// A run was lost with its connection: later tries of the same request can be told by this.
    pub fn set_fingerprint(&self, fingerprint: RequestFingerprint) {
        self.state.lock().fingerprint = Some(fingerprint);
    }

    /// A request that came at `since`.
    pub fn new(id: RequestId, since: Instant, context: TraceContext) -> Self {
        Self {
            id,
            since,
            context,
            state: RankedLock::new(LockRank::Samples, TraceState::default()),
        }
    }

    /// A call that may run the request goes out.
    pub fn note_sent(&self) {
        self.state.lock().is_sent = true;
    }

    /// A piece of a stream is there.
    pub fn note_piece(&self) {
        let at = steady_clock::elapsed(self.since);
        let mut state = self.state.lock();
        let before = state.last_piece.replace(at).unwrap_or(at);
        if at - before > state.longest_pause {
            state.longest_pause = at - before;
            state.pause_from = before;
        }
    }

    /// Something was decided or came back.
    pub fn note(&self, step: fmt::Arguments<'_>) {
        let at = steady_clock::elapsed(self.since).as_millis();
        let mut state = self.state.lock();
        if state.steps.len() < MAX_STEPS_BYTES {
            // Writing to a text can't fail.
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
        let is_ordinary = code == ResultCode::Answered && is_on_time;
        if is_ordinary && !self.is_sampled() {
            return;
        }
        tracing::info!(
            request = %self.id,
            code = code.number(),
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
