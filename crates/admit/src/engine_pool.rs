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

/// Prefill and decode engines of one service and model, with the reservations for decode places.
#[derive(Clone, Debug, Default)]
pub(crate) struct EnginePool {
    /// The service that requests which waited long may still receive ahead of their rank, in seconds of the whole pool.
    pub(crate) aged_credit: f64,
    /// Requests that are prefilling or prefilled and hold no decode place yet, by when they need one.
    pub(crate) reservations: BTreeSet<(Instant, RequestKey)>,
    pub(crate) decodes: BTreeMap<UpstreamId, DecodeEngine>,
    pub(crate) forecast: CompletionForecast,
    /// The pass value of each rank's last scheduled row.
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

    /// Like [`Self::free`], less the streams that must end before a target can be met.
    pub(crate) fn spare_places(&self, now: Instant, target: Option<Duration>) -> f64 {
        let mut spare = 0.0;
        for engine in self.decodes.values() {
            spare += engine.spare_places(now, target);
        }
        spare
    }

    /// Whether one more request that needs a place by `due` finds one, and every later reservation still does.
    /// Reservations are served in order of due time, with a margin of `margin` standard deviations of the forecast.
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

    /// Recomputes the forecast if it is stale.
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

    /// Removes a stream from an engine and from the forecast.
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

    /// The time between tokens at the least loaded decode engine, in seconds.
    pub(crate) fn step_seconds(&self) -> f64 {
        let steps = self.decodes.values().map(DecodeEngine::step_seconds);
        steps.reduce(f64::min).unwrap_or_default()
    }

    /// The time between tokens at the slowest decode engine under full load, in seconds.
    pub(crate) fn full_step_seconds(&self) -> f64 {
        let engines = self.decodes.values().filter(|engine| !engine.is_draining);
        let steps = engines.map(|engine| {
            let more = engine.info.decode_places.saturating_sub(1);
            engine.info.decode_base_seconds + engine.info.decode_slope_seconds * f64::from(more)
        });
        steps.reduce(f64::max).unwrap_or_default()
    }

    /// Whether at least one prefill engine and one decode engine accept work.
    pub(crate) fn is_open(&self) -> bool {
        let has_prefill = self.prefills.values().any(|engine| !engine.is_draining);
        let has_decode = self.decodes.values().any(|engine| !engine.is_draining);
        has_prefill && has_decode
    }

    /// The minimum time to prefill this many tokens, in seconds.
    pub(crate) fn min_prefill_seconds(&self, tokens: f64) -> f64 {
        let rates = self
            .prefills
            .values()
            .map(|engine| engine.info.prefill_rate);
        tokens / rates.reduce(f64::max).unwrap_or(f64::INFINITY)
    }

    /// Decode places of all engines.
    pub(crate) fn places(&self) -> u32 {
        self.decodes
            .values()
            .map(|engine| engine.info.decode_places)
            .sum()
    }

    /// Prompt tokens that the pool prefills per second.
    pub(crate) fn prefill_rate(&self) -> f64 {
        let open = self.prefills.values().filter(|engine| !engine.is_draining);
        open.map(|engine| engine.info.prefill_rate).sum()
    }
}
