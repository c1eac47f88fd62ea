//! The engines of one service and model.

use {
    crate::{
        completion_forecast::CompletionForecast, decode_engine::DecodeEngine,
        prefill_engine::PrefillEngine, request_key::RequestKey, row_state::RowState,
    },
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    table::Rank,
};

/// Prefill and decode engines, and how many requests were or are being read for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct EnginePool {
    /// The service that work which waited long may still take before its rank, in seconds of the whole pool.
    pub(crate) aged_credit: f64,
    /// Requests that were or are being read and hold no decode place yet, by when they need one.
    pub(crate) reservations: BTreeSet<(Instant, RequestKey)>,
    pub(crate) decodes: BTreeMap<UpstreamId, DecodeEngine>,
    pub(crate) forecast: CompletionForecast,
    /// The service over the weight that the last row of each rank had when its turn came.
    pub(crate) rank_passes: BTreeMap<Rank, f64>,
    pub(crate) prefills: BTreeMap<UpstreamId, PrefillEngine>,
}

impl EnginePool {
    /// Decode places that are free now for a between-token target.
    pub(crate) fn free(&self, now: Instant, target: Option<Duration>) -> u32 {
        let mut free = 0;
        for engine in self.decodes.values() {
            free += engine.free(now, target);
        }
        free
    }

    /// As [`Self::free`], less the streams that have to end before a target can be kept.
    pub(crate) fn spare_places(&self, now: Instant, target: Option<Duration>) -> f64 {
        let mut spare = 0.0;
        for engine in self.decodes.values() {
            spare += engine.spare_places(now, target);
        }
        spare
    }

    /// Whether one more request that needs a place by `due` finds one, and every claim after it still does. All in
    /// the order of the times by which they need it, with `margin` deviations of the forecast to spare.
    pub(crate) fn has_place(&self, now: Instant, due: Instant, free: f64, margin: f64) -> bool {
        let earlier = self
            .reservations
            .iter()
            .take_while(|(time, _)| *time <= due);
        let mut before = earlier.count() as f64;
        let later = self.reservations.iter().skip(before as usize);
        for due in std::iter::once(due).chain(later.map(|(time, _)| *time)) {
            before += 1.0;
            if before <= free {
                continue;
            }
            let seconds = due.saturating_duration_since(now).as_secs_f64();
            let (mean, variance) = self.forecast.ends_within(seconds);
            if free + mean - margin * variance.sqrt() < before {
                return false;
            }
        }
        true
    }

    /// Works the forecast out anew when it is old.
    pub(crate) fn refresh_forecast(&mut self, now: Instant, rows: &[RowState]) {
        if !self.forecast.is_stale(now) {
            return;
        }
        self.forecast.clear(now);
        for engine in self.decodes.values_mut() {
            if engine.is_draining {
                continue;
            }
            engine.advance_tokens(now);
            let step = engine.step_seconds();
            for stream in engine.streams.values() {
                let remaining = engine.remaining(stream, rows);
                self.forecast
                    .add(|seconds| remaining.end_probability(seconds / step));
            }
        }
    }

    /// Takes a stream off an engine and out of the forecast.
    pub(crate) fn remove_stream(
        &mut self,
        now: Instant,
        decode: &UpstreamId,
        key: &RequestKey,
        rows: &[RowState],
    ) {
        let Some(engine) = self.decodes.get_mut(decode) else {
            return;
        };
        engine.advance_tokens(now);
        let step = engine.step_seconds();
        let stream = engine.streams.get(key);
        if let Some(stream) = stream.filter(|_| !engine.is_draining) {
            let remaining = engine.remaining(stream, rows);
            self.forecast
                .sub(|seconds| remaining.end_probability(seconds / step));
        }
        engine.remove(now, key);
    }

    /// The between-token time that one more stream would see at the least loaded decode engine, seconds.
    pub(crate) fn step_seconds(&self) -> f64 {
        let steps = self.decodes.values().map(DecodeEngine::step_seconds);
        steps.reduce(f64::min).unwrap_or_default()
    }

    /// The between-token time of the slowest decode engine when it is full, seconds.
    pub(crate) fn full_step_seconds(&self) -> f64 {
        let engines = self.decodes.values().filter(|engine| !engine.is_draining);
        let steps = engines.map(|engine| {
            let more = engine.info.decode_places.saturating_sub(1);
            engine.info.decode_base_seconds + engine.info.decode_slope_seconds * f64::from(more)
        });
        steps.reduce(f64::max).unwrap_or_default()
    }

    /// Whether some prefill and some decode engine take new work.
    pub(crate) fn is_open(&self) -> bool {
        let has_prefill = self.prefills.values().any(|engine| !engine.is_draining);
        let has_decode = self.decodes.values().any(|engine| !engine.is_draining);
        has_prefill && has_decode
    }

    /// The least time that reading so many tokens takes, seconds.
    pub(crate) fn min_prefill_seconds(&self, tokens: f64) -> f64 {
        let rates = self
            .prefills
            .values()
            .map(|engine| engine.info.prefill_rate);
        tokens / rates.reduce(f64::max).unwrap_or(f64::INFINITY)
    }

    /// All decode places.
    pub(crate) fn places(&self) -> u32 {
        self.decodes
            .values()
            .map(|engine| engine.info.decode_places)
            .sum()
    }

    /// Prompt tokens that the pool reads a second.
    pub(crate) fn prefill_rate(&self) -> f64 {
        let open = self.prefills.values().filter(|engine| !engine.is_draining);
        open.map(|engine| engine.info.prefill_rate).sum()
    }
}
