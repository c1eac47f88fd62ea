//! The memory of one decode engine over the next seconds.

use {
    crate::{EngineLoad, LengthBelief, PlaceKey, memory_stream::MemoryStream},
    admit::{CompletionForecast, normal_quantile},
    std::{
        cell::Cell,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The accepted chance that the streams exceed the memory at a moment. A preemption makes one stream late and costs a second
/// prefill of its prompt; a refusal makes one caller come back.
const OVERFLOW_CHANCE: f64 = 0.03;
/// For how long an engine that refused a reservation counts as full: a few decode steps.
const REJECTED_TIME: Duration = Duration::from_millis(150);
/// The longest wait that is told; later than this, nobody waits for a first event.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How often the interval of a wait is halved.
const WAIT_STEPS: usize = 5;
/// The generation speed before any stream ended, tokens per second.
const FIRST_PACE: f64 = 1_200.0;
/// The weight of one stream in the learned speed.
const PACE_WEIGHT: f64 = 0.1;
/// The horizons of the forecast, seconds: dense where streams of a few seconds end, since a peak between two is not seen.
pub const MEMORY_HORIZONS: [f64; 20] = [
    0.0, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.6, 2.0, 2.4, 2.8, 3.2, 4.0, 4.8, 6.4, 12.8, 25.6,
    51.2, 102.4,
];
/// The least speed, tokens per second.
const MIN_PACE: f64 = 1.0;

type MemoryForecast = CompletionForecast<{ MEMORY_HORIZONS.len() }>;

/// The streams and granted places of one decode engine, and the memory that they are going to need.
#[derive(Clone, Debug)]
pub struct EngineMemory {
    capacity: Option<u64>,
    /// The memory expected at each horizon, kept for some ms; any change of the streams invalidates it.
    forecast: Cell<MemoryForecast>,
    /// The safety margin in standard deviations.
    margin: f64,
    pace: f64,
    rejected_at: Option<Instant>,
    streams: BTreeMap<PlaceKey, MemoryStream>,
}

impl Default for EngineMemory {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineMemory {
    /// An engine without streams whose memory is not known.
    pub fn new() -> Self {
        Self {
            capacity: None,
            forecast: Cell::new(CompletionForecast::over(&MEMORY_HORIZONS)),
            margin: normal_quantile(1.0 - OVERFLOW_CHANCE),
            pace: FIRST_PACE,
            rejected_at: None,
            streams: BTreeMap::new(),
        }
    }

    /// The accepted chance that the streams exceed the memory at a moment.
    pub fn overflow_chance() -> f64 {
        OVERFLOW_CHANCE
    }

    /// The memory of the engine, tokens; `None` until it is known.
    pub fn capacity(&self) -> Option<u64> {
        self.capacity
    }

    /// Sets the memory of the engine, tokens.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = Some(tokens);
    }

    /// Records that the engine refused a reservation although it seemed to fit: for 150 ms it counts as full.
    pub fn note_rejected(&mut self, now: Instant) {
        self.rejected_at = Some(now);
    }

    /// Records a granted place: `reserve` tokens are promised until the stream begins. Replaces an earlier place of that key.
    pub fn grant(
        &mut self,
        key: PlaceKey,
        prompt: u64,
        reserve: u64,
        belief: LengthBelief,
        now: Instant,
    ) {
        self.drop_lost(now);
        let stream = MemoryStream::new(prompt, reserve, belief, now);
        self.streams.insert(key, stream);
        self.invalidate();
    }

    /// Records the first event of a stream.
    pub fn begin(&mut self, key: &PlaceKey, now: Instant) {
        self.drop_lost(now);
        if let Some(stream) = self.streams.get_mut(key) {
            stream.begin(now);
            self.invalidate();
        }
    }

    /// Records that a granted place is still held although its stream has not begun.
    pub fn keep(&mut self, key: &PlaceKey, now: Instant) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.keep(now);
        }
    }

    /// Records what the stream has produced by now, tokens. A report that is older than a known one changes nothing.
    pub fn note_progress(&mut self, key: &PlaceKey, tokens: f64, now: Instant) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.note_progress(tokens.max(0.0), now);
            self.invalidate();
        }
        self.drop_lost(now);
    }

    /// Frees a place; `produced` tokens if the stream ran. Learns the speed.
    pub fn end(&mut self, key: &PlaceKey, produced: Option<f64>, now: Instant) {
        let Some(stream) = self.streams.remove(key) else {
            return;
        };
        let pace = produced.and_then(|produced| stream.pace(produced, now));
        if let Some(pace) = pace {
            self.pace = (self.pace + (pace - self.pace) * PACE_WEIGHT).max(MIN_PACE);
        }
        self.drop_lost(now);
        self.invalidate();
    }

    /// Whether a place of that key is known.
    pub fn contains(&self, key: &PlaceKey) -> bool {
        self.streams.contains_key(key)
    }

    /// Places in use, those granted included.
    pub fn streams(&self) -> usize {
        self.streams.len()
    }

    /// Generation speed of one stream now, tokens per second; 1,200 before any stream ended.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Whether a request fits: `reserve` tokens fit now, and at each later moment all streams together stay under the memory,
    /// by the accepted chance of overflow. True while the memory is unknown, except shortly after a refusal.
    pub fn fits(&self, prompt: u64, reserve: u64, belief: &LengthBelief, now: Instant) -> bool {
        if !self.rejected_for(now).is_zero() {
            return false;
        }
        let newcomer = MemoryStream::new(prompt, reserve, *belief, now);
        self.fits_after(0.0, &newcomer, now)
    }

    /// When a request is expected to fit: zero if now, at most 5 s.
    pub fn fit_wait(
        &self,
        prompt: u64,
        reserve: u64,
        belief: &LengthBelief,
        now: Instant,
    ) -> Duration {
        let rejected = self.rejected_for(now);
        let newcomer = MemoryStream::new(prompt, reserve, *belief, now);
        let mut early = 0.0;
        for horizon in MEMORY_HORIZONS {
            let mut late = horizon;
            if late > MAX_WAIT.as_secs_f64() {
                break;
            }
            if !self.fits_after(late, &newcomer, now) {
                early = late;
                continue;
            }
            for _ in 0..WAIT_STEPS {
                let middle = f64::midpoint(early, late);
                match self.fits_after(middle, &newcomer, now) {
                    true => late = middle,
                    false => early = middle,
                }
            }
            return Duration::from_secs_f64(late).max(rejected);
        }
        MAX_WAIT
    }

    /// When so many of the streams are expected to have ended: at most 5 s.
    pub fn end_wait(&self, ends: usize, now: Instant) -> Duration {
        let wanted = ends as f64;
        let mut before = (0.0, 0.0);
        for horizon in MEMORY_HORIZONS {
            if horizon > MAX_WAIT.as_secs_f64() {
                break;
            }
            let mut ended = 0.0;
            for stream in self.live_streams(now) {
                let (alive, _) = stream.memory_in(horizon, self.pace, now);
                ended += 1.0 - alive;
            }
            if ended >= wanted {
                let (early, fewer) = before;
                let part = (wanted - fewer) / (ended - fewer).max(f64::MIN_POSITIVE);
                return Duration::from_secs_f64(early + (horizon - early) * part.clamp(0.0, 1.0));
            }
            before = (horizon, ended);
        }
        MAX_WAIT
    }

    /// Memory that is free at the worst expected moment, tokens; 0 while the memory is unknown.
    pub fn spare(&self, now: Instant) -> u64 {
        let capacity = self.capacity.unwrap_or_default();
        if !self.rejected_for(now).is_zero() {
            return 0;
        }
        capacity.saturating_sub(self.peak(now))
    }

    /// The load of the engine; the queued prefill is 0.
    pub fn load(&self, now: Instant) -> EngineLoad {
        let mut load = EngineLoad {
            capacity: self.capacity,
            pace: self.pace,
            peak: self.peak(now),
            ..EngineLoad::default()
        };
        for stream in self.live_streams(now) {
            load.age = load.age.max(stream.age(now));
            let held = stream.held(self.pace, now) as u64;
            load.held = load.held.saturating_add(held);
            let promised = stream.promised() as u64;
            load.promised = load.promised.saturating_add(promised);
            load.streams += 1;
        }
        load
    }

    /// The mean and the variance of the memory expected at each horizon, tokens, as `fits` uses them.
    pub fn expected(&self, now: Instant) -> [(f64, f64); MEMORY_HORIZONS.len()] {
        let forecast = self.current_forecast(now);
        MEMORY_HORIZONS.map(|seconds| forecast.ends_within(seconds))
    }

    /// The forecast, recomputed if it is stale.
    fn current_forecast(&self, now: Instant) -> MemoryForecast {
        let mut forecast = self.forecast.get();
        if !forecast.is_stale(now) {
            return forecast;
        }
        forecast.clear(now);
        for stream in self.live_streams(now) {
            forecast.add_weighted(|seconds| stream.memory_in(seconds, self.pace, now));
        }
        self.forecast.set(forecast);
        forecast
    }

    /// Drops the streams whose news was lost.
    fn drop_lost(&mut self, now: Instant) {
        let (before, pace) = (self.streams.len(), self.pace);
        self.streams.retain(|_, stream| !stream.is_lost(pace, now));
        if self.streams.len() < before {
            self.invalidate();
        }
    }

    /// Whether a newcomer that is granted a place after some seconds fits at each horizon from then on.
    fn fits_after(&self, wait: f64, newcomer: &MemoryStream, now: Instant) -> bool {
        let Some(capacity) = self.capacity else {
            return true;
        };
        let forecast = self.current_forecast(now);
        for (index, horizon) in MEMORY_HORIZONS.iter().enumerate() {
            let (alive, size) = newcomer.memory_in(*horizon, self.pace, now);
            if alive <= 0.0 {
                break;
            }
            let sums = forecast.at(index).filter(|_| wait <= 0.0);
            let (mean, variance, ceiling) = sums.unwrap_or_else(|| {
                let at = wait + horizon;
                let (mean, variance) = forecast.ends_within(at);
                (mean, variance, forecast.ceiling(at))
            });
            let mean = mean + alive * size;
            let variance = variance + alive * (1.0 - alive) * size * size;
            let ceiling = ceiling + size;
            if self.bounded(mean, variance, ceiling) > capacity as f64 {
                return false;
            }
        }
        true
    }

    /// The memory that is exceeded by the accepted chance.
    fn bounded(&self, mean: f64, variance: f64, ceiling: f64) -> f64 {
        (mean + self.margin * variance.sqrt()).min(ceiling)
    }

    fn invalidate(&mut self) {
        self.forecast.get_mut().invalidate();
    }

    fn live_streams(&self, now: Instant) -> impl Iterator<Item = &MemoryStream> {
        let streams = self.streams.values();
        streams.filter(move |stream| !stream.is_lost(self.pace, now))
    }

    /// The highest memory expected at any horizon, by the accepted chance of overflow, tokens.
    pub(crate) fn peak(&self, now: Instant) -> u64 {
        let forecast = self.current_forecast(now);
        let mut peak = 0.0_f64;
        for index in 0..MEMORY_HORIZONS.len() {
            let (mean, variance, ceiling) = forecast.at(index).unwrap_or_default();
            peak = peak.max(self.bounded(mean, variance, ceiling));
        }
        peak.ceil() as u64
    }

    /// For how long the engine still counts as full.
    fn rejected_for(&self, now: Instant) -> Duration {
        let Some(rejected_at) = self.rejected_at else {
            return Duration::ZERO;
        };
        REJECTED_TIME.saturating_sub(now.saturating_duration_since(rejected_at))
    }
}
