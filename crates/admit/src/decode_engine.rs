//! The allocator's view of a decode engine.

use {
    crate::{
        decode_stream::DecodeStream, length_sketch::RemainingLength, request_key::RequestKey,
        row_state::RowState,
    },
    route::{LaggedLoad, LoadReport, UpstreamInfo},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Compensates for floating-point error, so that a batch that exactly meets a target is not rounded down.
const ROUNDING: f64 = 1e-6;

/// A decode engine, the streams on it, and its capacity for more.
#[derive(Clone, Debug)]
pub(crate) struct DecodeEngine {
    /// When it last refused a request, and until when it counts as full.
    pub(crate) full_period: Option<(Instant, Instant)>,
    /// Role and rates of the engine.
    pub(crate) info: UpstreamInfo,
    /// Whether the engine is draining and takes no new work.
    pub(crate) is_draining: bool,
    /// Places in use, corrected for the delay of load reports.
    pub(crate) load: LaggedLoad,
    /// Requests that hold a decode place: transferring or decoding.
    pub(crate) streams: BTreeMap<RequestKey, DecodeStream>,
    decoding: u32,
    /// The number of streams with each between-token target.
    targets: BTreeMap<Duration, u32>,
    /// Tokens that a stream would have received up to `tokens_at`, had it run since the engine was added.
    tokens: f64,
    tokens_at: Instant,
}

impl DecodeEngine {
    pub(crate) fn add(&mut self, now: Instant, key: RequestKey, stream: DecodeStream) {
        self.advance_tokens(now);
        if let Some(target) = stream.target {
            *self.targets.entry(target).or_default() += 1;
        }
        self.decoding += u32::from(stream.started.is_some());
        if self.streams.insert(key, stream).is_none() {
            self.load.add(now, 1);
        }
    }

    /// The largest batch that meets both this target and those of the running streams.
    fn batch_limit(&self, target: Option<Duration>) -> u32 {
        let strictest = self.targets.keys().next().copied();
        let target = match (strictest, target) {
            (Some(left), Some(right)) => left.min(right),
            (left, right) => match left.or(right) {
                Some(target) => target,
                None => return self.info.decode_places,
            },
        };
        let spare = target.as_secs_f64() - self.info.decode_base_seconds;
        if self.info.decode_slope_seconds <= 0.0 {
            return self.info.decode_places;
        }
        let more = (spare / self.info.decode_slope_seconds + ROUNDING).floor();
        (more.max(0.0) as u32)
            .saturating_add(1)
            .min(self.info.decode_places)
    }

    /// Advances the token count to `now`.
    pub(crate) fn advance_tokens(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.tokens_at).as_secs_f64();
        self.tokens += passed / self.step_seconds();
        self.tokens_at = self.tokens_at.max(now);
    }

    /// How many more requests with this between-token target the engine can take now.
    pub(crate) fn free(&self, now: Instant, target: Option<Duration>) -> u32 {
        if self.is_draining || self.full_period.is_some_and(|(_, until)| now < until) {
            return 0;
        }
        self.batch_limit(target).saturating_sub(self.used())
    }

    /// Like [`Self::free`], but negative by the number of streams that must end before the target can be met.
    pub(crate) fn spare_places(&self, now: Instant, target: Option<Duration>) -> f64 {
        let limit = match self.is_draining || self.full_period.is_some_and(|(_, until)| now < until)
        {
            true => return 0.0,
            false => self.batch_limit(target),
        };
        f64::from(limit) - f64::from(self.used())
    }

    pub(crate) fn new(now: Instant, info: UpstreamInfo) -> Self {
        Self {
            decoding: 0,
            full_period: None,
            info,
            is_draining: false,
            load: LaggedLoad::default(),
            streams: BTreeMap::new(),
            targets: BTreeMap::new(),
            tokens: 0.0,
            tokens_at: now,
        }
    }

    pub(crate) fn remove(&mut self, now: Instant, key: &RequestKey) {
        let Some(stream) = self.streams.remove(key) else {
            return;
        };
        self.advance_tokens(now);
        self.load.sub(now, 1);
        self.decoding -= u32::from(stream.started.is_some());
        let Some(target) = stream.target else {
            return;
        };
        let count = self.targets.entry(target).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.targets.remove(&target);
        }
    }

    pub(crate) fn report(&mut self, report: &LoadReport) {
        let is_newer = self
            .load
            .report(report.taken, u64::from(report.decode_used));
        if is_newer
            && self
                .full_period
                .is_some_and(|(since, _)| since < report.taken)
        {
            self.full_period = None;
        }
    }

    /// The current time between tokens, in seconds.
    pub(crate) fn step_seconds(&self) -> f64 {
        let others = u64::from(self.decoding) + self.load.foreign();
        let more = others.saturating_sub(1) as f64;
        let step = self.info.decode_base_seconds + self.info.decode_slope_seconds * more;
        step.max(f64::EPSILON)
    }

    /// The token count at which a stream that now has `tokens` tokens started.
    pub(crate) fn starting_count(&mut self, now: Instant, tokens: u32) -> f64 {
        self.advance_tokens(now);
        self.tokens - f64::from(tokens)
    }

    /// The distribution of the remaining length of a stream.
    pub(crate) fn remaining<'a>(
        &self,
        stream: &DecodeStream,
        rows: &'a [RowState],
    ) -> RemainingLength<'a> {
        let bound = f64::from(stream.max_tokens);
        rows[stream.row]
            .sketch
            .remaining(self.produced(stream), bound)
    }

    /// Tokens that a stream has received; 0 while it is in transfer.
    fn produced(&self, stream: &DecodeStream) -> f64 {
        let started = stream.started.unwrap_or(self.tokens);
        (self.tokens - started).max(0.0)
    }

    /// Decode places in use.
    pub(crate) fn used(&self) -> u32 {
        u32::try_from(self.load.used()).unwrap_or(u32::MAX)
    }
}
