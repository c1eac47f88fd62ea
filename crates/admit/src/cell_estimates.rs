//! When a first token is to be expected.

use {
    crate::{
        admit_request::AdmitRequest, cell_allocator::CellAllocator, cell_refusals::seconds,
        engine_pool::EnginePool, queue_ahead::QueueAhead,
    },
    kernel::UpstreamId,
    std::time::{Duration, Instant},
};

/// The share of answers that end within the time that counts as a request's service: a request is late when it is more
/// likely not to end in time than to.
const SERVICE_QUANTILE: f64 = 0.5;
/// Up to this many requests ahead are placed on engines one by one; more count as a fluid.
const PLACED_LIMIT: f64 = 64.0;

impl CellAllocator {
    /// What a new request of a row finds before it: better ranks, its own row, and the other rows of its rank by weight.
    pub(crate) fn queue_ahead(&self, row: usize) -> QueueAhead {
        let own = &self.rows[row];
        let mut ahead = QueueAhead::default();
        for (index, state) in self.rows.iter().enumerate() {
            if state.queue.is_empty() || state.pool != own.pool || state.row.rank > own.row.rank {
                continue;
            }
            if index != row && !state.is_under_limit() {
                continue;
            }
            let queued = state.queue.len() as f64;
            let mut share = 1.0;
            if index != row && state.row.rank == own.row.rank {
                let turns = (own.queue.len() + 1) as f64 * state.row.weight;
                share = (turns / own.row.weight.max(f64::MIN_POSITIVE) / queued).min(1.0);
            }
            ahead.requests += queued * share;
            ahead.tokens += state.queued_tokens as f64 * share;
        }
        ahead
    }

    /// How long from now until the first token of a request, with some requests before it, by the forecast at hand.
    pub(crate) fn first_token_after(
        &self,
        now: Instant,
        row: usize,
        request: &AdmitRequest,
        ahead: QueueAhead,
    ) -> Duration {
        let state = &self.rows[row];
        let Some(pool) = self.pools.get(&state.pool) else {
            return Self::UNKNOWN_WAIT;
        };
        let free = f64::from(pool.free(now, state.row.between_tokens));
        let transfer = self.link.seconds(request.prompt_tokens);
        let target = state.row.first_token.unwrap_or_default();
        let due = (request.arrived + target).checked_sub(seconds(transfer + pool.step_seconds()));
        let due = due.unwrap_or(now);
        let earlier = pool.reservations.iter().take_while(|(time, _)| *time < due);
        let ends = earlier.count() as f64 + ahead.requests + 1.0 - free;
        let place = pool.forecast.seconds_until(ends);
        let start = pool.start_seconds(now, ahead);
        let start = match state.row.waste <= 0.0 {
            true => start.max(place),
            false => start,
        };
        let prefill_seconds = self.prefill_end_seconds(now, pool, request, start);
        let ready = prefill_seconds.max(place);
        let wait = self.link.wait_seconds(now, ready, transfer);
        seconds(ready + wait + transfer + pool.step_seconds())
    }

    /// How long a request most probably takes from its reading to its last token, at full engines.
    pub(crate) fn service_time(&self, row: usize, request: &AdmitRequest) -> Duration {
        let state = &self.rows[row];
        let Some(pool) = self.pools.get(&state.pool) else {
            return Duration::ZERO;
        };
        let bound = f64::from(request.max_tokens);
        let length = state.sketch.quantile(SERVICE_QUANTILE, bound);
        let prefill_seconds = pool.min_prefill_seconds(f64::from(request.prompt_tokens));
        let transfer = self.link.seconds(request.prompt_tokens);
        seconds(prefill_seconds + transfer + length * pool.full_step_seconds())
    }

    /// Seconds until a prompt is read whose turn comes in `start` seconds.
    fn prefill_end_seconds(
        &self,
        now: Instant,
        pool: &EnginePool,
        request: &AdmitRequest,
        start: f64,
    ) -> f64 {
        let mut best = f64::INFINITY;
        for (upstream, engine) in &pool.prefills {
            if engine.is_draining {
                continue;
            }
            let tokens = f64::from(request.prompt_tokens) - self.cached_tokens(upstream, request);
            let from = engine.queue_seconds(now).max(start);
            best = best.min(from + engine.prefill_seconds(tokens.max(1.0)));
        }
        best
    }

    /// The tokens of a prompt that an engine is thought to hold; the last one is always read.
    pub(crate) fn cached_tokens(&self, upstream: &UpstreamId, request: &AdmitRequest) -> f64 {
        if request.prefix.is_empty() {
            return 0.0;
        }
        let matched = self.prefixes.matched(upstream, &request.prefix) as f64;
        let tokens = f64::from(request.prompt_tokens);
        (tokens * matched / request.prefix.len() as f64).min(tokens - 1.0)
    }
}

impl EnginePool {
    /// Seconds until the next prompt can be read once those before it were given out.
    fn start_seconds(&self, now: Instant, ahead: QueueAhead) -> f64 {
        let open = self.prefills.values().filter(|engine| !engine.is_draining);
        let mut queues: Vec<f64> = open.map(|engine| engine.queue_seconds(now)).collect();
        let engines = queues.len().max(1) as f64;
        let each = ahead.tokens / self.prefill_rate().max(f64::MIN_POSITIVE) * engines;
        let each = each / ahead.requests.max(1.0);
        let placed = ahead.requests.min(PLACED_LIMIT).round() as usize;
        let fluid = (ahead.requests - PLACED_LIMIT).max(0.0) * each / engines;
        for _ in 0..placed {
            if let Some(least) = queues
                .iter_mut()
                .min_by(|left, right| left.total_cmp(right))
            {
                *least += each;
            }
        }
        let least = queues.into_iter().reduce(f64::min);
        least.unwrap_or(0.0) + fluid
    }
}
