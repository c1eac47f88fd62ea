//! Estimates of the time to the first token.

use {
    crate::{
        admit_request::AdmitRequest, cell_allocator::CellAllocator, cell_refusals::seconds,
        engine_pool::EnginePool, queue_ahead::QueueAhead,
    },
    kernel::UpstreamId,
    std::time::{Duration, Instant},
};

/// The quantile of the output length that defines a request's service time. At the median, a request counts as late
/// when it is more likely to miss its deadline than to meet it.
const SERVICE_QUANTILE: f64 = 0.5;
/// Up to this many requests ahead are assigned to engines one by one. The rest is approximated as a continuous flow.
const ASSIGNED_LIMIT: f64 = 64.0;

impl CellAllocator {
    /// The requests that are prefilled before a new request of a row: those of better ranks, those of its own row, and
    /// a share by weight of the other rows of its rank.
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

    /// The expected time to the first token of a request behind the requests in `ahead`. Uses the current forecast.
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
        let place_seconds = pool.forecast.seconds_until(ends);
        let start = pool.start_seconds(now, ahead);
        let start = match state.row.waste <= 0.0 {
            true => start.max(place_seconds),
            false => start,
        };
        let prefill_seconds = self.prefill_end_seconds(now, pool, request, start);
        let ready = prefill_seconds.max(place_seconds);
        let wait = self.link.wait_seconds(now, ready, transfer);
        seconds(ready + wait + transfer + pool.step_seconds())
    }

    /// The median time from the start of prefill to the last token, with fully loaded engines.
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

    /// Seconds until the prompt is prefilled if it reaches the head of the queue in `start` seconds.
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

    /// The prompt tokens that an engine probably has in its cache. The last token always has to be prefilled.
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
    /// Seconds until a prefill engine can take the next prompt once those ahead were assigned.
    fn start_seconds(&self, now: Instant, ahead: QueueAhead) -> f64 {
        let open = self.prefills.values().filter(|engine| !engine.is_draining);
        let mut queues: Vec<f64> = open.map(|engine| engine.queue_seconds(now)).collect();
        let engines = queues.len().max(1) as f64;
        let seconds_each = ahead.tokens / self.prefill_rate().max(f64::MIN_POSITIVE) * engines;
        let seconds_each = seconds_each / ahead.requests.max(1.0);
        let assigned = ahead.requests.min(ASSIGNED_LIMIT).round() as usize;
        let fluid = (ahead.requests - ASSIGNED_LIMIT).max(0.0) * seconds_each / engines;
        for _ in 0..assigned {
            if let Some(shortest) = queues
                .iter_mut()
                .min_by(|left, right| left.total_cmp(right))
            {
                *shortest += seconds_each;
            }
        }
        let shortest = queues.into_iter().reduce(f64::min);
        shortest.unwrap_or(0.0) + fluid
    }
}
