//! The order in which requests are prefilled, and the conditions for starting a prefill.

use {
    crate::{
        cell_allocator::CellAllocator, cell_refusals::seconds, engine_pool::EnginePool,
        held_request::HeldRequest, normal_quantile::normal_quantile, pool_key::PoolKey,
        prefill_candidate::PrefillCandidate, prefill_decision::PrefillDecision,
        request_key::RequestKey, urgent_demand::UrgentDemand,
    },
    kernel::UpstreamId,
    std::time::Instant,
    table::Rank,
};

/// The share of the first-token target that urgent work may spend waiting for a decode place held by patient work.
const SLACK_SHARE: f64 = 0.5;
/// The share of its patience after which a request may be prefilled ahead of its rank.
const AGED_SHARE: f64 = 0.5;

impl CellAllocator {
    /// The next request to prefill: the best rank, then the row with the least service per weight, then the head of its
    /// queue.
    pub(crate) fn next_candidate(
        &self,
        now: Instant,
        pool: &PoolKey,
        skipped: &[RequestKey],
    ) -> Option<PrefillCandidate> {
        if let Some(candidate) = self
            .aged_candidate(now, pool)
            .filter(|_| skipped.is_empty())
        {
            return Some(candidate);
        }
        let mut best: Option<(Rank, f64, usize, &RequestKey)> = None;
        for (index, state) in self.rows.iter().enumerate() {
            if state.queue.is_empty() || state.pool != *pool || !state.is_under_limit() {
                continue;
            }
            let mut queue = state.queue.values();
            let Some(key) = queue.find(|key| !skipped.contains(key)) else {
                continue;
            };
            let order = (state.row.rank, state.pass);
            if best.is_none_or(|(rank, pass, ..)| order < (rank, pass)) {
                best = Some((order.0, order.1, index, key));
            }
        }
        let (_, _, row, key) = best?;
        let key = key.clone();
        Some(PrefillCandidate {
            is_aged: false,
            key,
            row,
        })
    }

    /// A request that has waited long enough to be prefilled ahead of its rank, if the credit for such requests allows
    /// it.
    fn aged_candidate(&self, now: Instant, pool: &PoolKey) -> Option<PrefillCandidate> {
        if self.pools.get(pool)?.aged_credit <= 0.0 {
            return None;
        }
        for (index, state) in self.rows.iter().enumerate() {
            if state.pool != *pool || state.row.first_token.is_some() || !state.is_under_limit() {
                continue;
            }
            let Some(key) = state.queue.values().next() else {
                continue;
            };
            let Some(held) = self.requests.get(key) else {
                continue;
            };
            let waited = now.saturating_duration_since(held.request.arrived);
            if waited >= state.row.patience.mul_f64(AGED_SHARE) {
                return Some(PrefillCandidate {
                    is_aged: true,
                    key: key.clone(),
                    row: index,
                });
            }
        }
        None
    }

    /// Starts a row with an empty queue at the pass value of the last scheduled row of its rank, so that idle time
    /// earns no credit.
    pub(crate) fn join_rank(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.queue.is_empty() {
            return;
        }
        let Some(pool) = self.pools.get(&state.pool) else {
            return;
        };
        let pass = pool.rank_passes.get(&state.row.rank).copied();
        let state = &mut self.rows[row];
        state.pass = state.pass.max(pass.unwrap_or_default());
    }

    /// Charges a row for a prefill grant, by the scarcer of prefill time and decode places.
    pub(crate) fn charge_row(&mut self, pool: &PoolKey, candidate: &PrefillCandidate, tokens: f64) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let prefill_seconds = tokens / pool.prefill_rate().max(f64::MIN_POSITIVE);
        let places = f64::from(pool.places().max(1));
        let state = &mut self.rows[candidate.row];
        let Some(request) = self.requests.get_mut(&candidate.key) else {
            return;
        };
        let length = state.sketch.mean(f64::from(request.request.max_tokens));
        let decode_seconds = length * pool.step_seconds() / places;
        pool.rank_passes.insert(state.row.rank, state.pass);
        let service = prefill_seconds.max(decode_seconds);
        request.charged_seconds += service;
        state.pass += service / state.row.weight.max(f64::MIN_POSITIVE);
        let credit = match candidate.is_aged {
            true => pool.aged_credit - service,
            false => pool.aged_credit + service * self.tuning.patient_share,
        };
        pool.aged_credit = credit.min(AGED_CREDIT_LIMIT);
    }

    /// Corrects the charge of a row once the length of the answer is known.
    pub(crate) fn settle_charge(&mut self, held: &HeldRequest, output_tokens: u32) {
        let Some(pool) = self.pools.get(&held.pool) else {
            return;
        };
        let places = f64::from(pool.places().max(1));
        let prefill_seconds =
            f64::from(held.request.prompt_tokens) / pool.prefill_rate().max(f64::MIN_POSITIVE);
        let service = f64::from(output_tokens) * pool.step_seconds() / places;
        let service = service.max(prefill_seconds.min(held.charged_seconds));
        let state = &mut self.rows[held.row];
        state.pass += (service - held.charged_seconds) / state.row.weight.max(f64::MIN_POSITIVE);
    }

    /// Whether urgent work of a better rank still finds a prefill engine in time if `prefill` gets a further prefill of
    /// `prefill_seconds`. Always true with a single engine.
    fn keeps_engine_free(
        &self,
        now: Instant,
        pool: &EnginePool,
        row: usize,
        prefill: &UpstreamId,
        prefill_seconds: f64,
    ) -> bool {
        let Some(urgent) = self.urgent_demand(now, row) else {
            return true;
        };
        let mut engines = 0;
        let mut shortest_queue = f64::INFINITY;
        for (upstream, engine) in &pool.prefills {
            if engine.is_draining {
                continue;
            }
            engines += 1;
            let added = if upstream == prefill {
                prefill_seconds
            } else {
                0.0
            };
            shortest_queue = shortest_queue.min(engine.queue_seconds(now) + added);
        }
        engines < 2 || urgent.rate * (shortest_queue - urgent.slack) <= MAX_EXPECTED_LATE
    }

    /// The demand of urgent rows of a better rank than `row`. `None` if it is too rare to keep resources free for it.
    fn urgent_demand(&self, now: Instant, row: usize) -> Option<UrgentDemand> {
        let row = &self.rows[row];
        let pool = self.pools.get(&row.pool)?;
        let step = pool.step_seconds();
        let mut demand = UrgentDemand::default();
        for state in &self.rows {
            let Some(target) = state.row.first_token else {
                continue;
            };
            if state.pool != row.pool || state.row.rank >= row.row.rank {
                continue;
            }
            let slack = target.as_secs_f64() * SLACK_SHARE;
            let rate = state.arrivals.per_second(now);
            demand.places += rate * state.hold_seconds(step);
            demand.add(rate, slack, state);
        }
        (demand.rate >= MIN_URGENT_RATE).then_some(demand)
    }

    /// Decides whether a decode place and the link are expected to be free when the prefill ends.
    pub(crate) fn decide_prefill(
        &mut self,
        now: Instant,
        pool: &PoolKey,
        candidate: &PrefillCandidate,
        prefill: &UpstreamId,
        tokens: f64,
    ) -> PrefillDecision {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.refresh_forecast(now, &self.rows);
        }
        let Some(pool) = self.pools.get(pool) else {
            return PrefillDecision::Blocked;
        };
        let Some(held) = self.requests.get(&candidate.key) else {
            return PrefillDecision::Blocked;
        };
        let Some(engine) = pool.prefills.get(prefill) else {
            return PrefillDecision::Blocked;
        };
        let row = &self.rows[candidate.row].row;
        let prefill_seconds = engine.prefill_seconds(tokens);
        if !candidate.is_aged
            && !self.keeps_engine_free(now, pool, candidate.row, prefill, prefill_seconds)
        {
            return PrefillDecision::Skip;
        }
        let ready = engine.queue_seconds(now) + prefill_seconds;
        let transfer = self.link.seconds(held.request.prompt_tokens);
        let kept_seconds = self.link.eviction().as_secs_f64() * self.tuning.eviction_share;
        if self.link.wait_seconds(now, ready, transfer) > kept_seconds {
            return PrefillDecision::Blocked;
        }
        let free = f64::from(pool.free(now, row.between_tokens));
        let spare = free - pool.reservations.len() as f64 - 1.0;
        let prefilled_at = now + seconds(ready);
        let due = self.place_due(held, prefilled_at, prefilled_at + seconds(kept_seconds));
        if !candidate.is_aged && !self.keeps_places_free(now, pool, candidate.row) {
            return PrefillDecision::Blocked;
        }
        if spare >= 0.0 || row.waste >= 1.0 {
            return PrefillDecision::Start;
        }
        if row.waste <= 0.0 {
            return PrefillDecision::Blocked;
        }
        match pool.has_place(now, due, free, normal_quantile(1.0 - row.waste)) {
            true => PrefillDecision::Start,
            false => PrefillDecision::Blocked,
        }
    }

    /// Whether urgent work of a better rank still finds a decode place in time after one more request of this row.
    fn keeps_places_free(&self, now: Instant, pool: &EnginePool, row: usize) -> bool {
        let Some(urgent) = self.urgent_demand(now, row) else {
            return true;
        };
        let demand = urgent.rate * urgent.slack;
        let (mean, variance) = pool.forecast.ends_within(urgent.slack);
        let margin = self.tuning.headroom * (demand + variance).sqrt();
        let spare = pool.spare_places(now, urgent.target) - pool.reservations.len() as f64 - 1.0;
        spare + mean >= demand + urgent.queued + margin && self.keeps_share_free(pool, row, &urgent)
    }

    /// Whether enough decode places for the average occupancy of urgent work stay free of this row and worse ranks.
    ///
    /// Streams of patient work are long. A place given to one while urgent work is low is not free again when demand
    /// returns.
    fn keeps_share_free(&self, pool: &EnginePool, row: usize, urgent: &UrgentDemand) -> bool {
        let own = &self.rows[row];
        let mut running = 1.0;
        for state in &self.rows {
            if state.pool == own.pool && state.row.rank >= own.row.rank {
                running += f64::from(state.running);
            }
        }
        let wanted = urgent.places + OCCUPANCY_MARGIN * urgent.places.sqrt();
        running + wanted <= f64::from(pool.places())
    }
}

/// How many standard deviations above the mean occupancy of urgent work are kept free.
const OCCUPANCY_MARGIN: f64 = 2.0;
/// The maximum credit saved up for work that waited long, in seconds of the whole pool.
const AGED_CREDIT_LIMIT: f64 = 0.5;
/// Urgent work that arrives less often than this per second gets no resources kept free.
const MIN_URGENT_RATE: f64 = 0.01;
/// The maximum expected number of urgent requests delayed by one long prefill.
const MAX_EXPECTED_LATE: f64 = 0.25;
