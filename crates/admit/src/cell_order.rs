//! In which order an allocator lets requests be read, and when reading may start.

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

/// The part of the first-token target that urgent work may wait for a place that patient work holds.
const SLACK_SHARE: f64 = 0.5;
/// The part of its patience after which a request may go before its rank.
const AGED_SHARE: f64 = 0.5;

impl CellAllocator {
    /// The request whose turn it is: by rank, then the row with the least service over its weight, then its first.
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

    /// A request that waited long, when its turn before its rank has come.
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

    /// A row that had nothing queued starts level with the row that went last in its rank.
    pub(crate) fn join_rank(&mut self, row: usize) {
        let state = &self.rows[row];
        if !state.queue.is_empty() {
            return;
        }
        let Some(pool) = self.pools.get(&state.pool) else {
            return;
        };
        let level = pool.rank_passes.get(&state.row.rank).copied();
        let state = &mut self.rows[row];
        state.pass = state.pass.max(level.unwrap_or_default());
    }

    /// Charges a row for its turn by the scarcer of reading time and decode places.
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
        let held = length * pool.step_seconds() / places;
        pool.rank_passes.insert(state.row.rank, state.pass);
        let service = prefill_seconds.max(held);
        request.charged_seconds += service;
        state.pass += service / state.row.weight.max(f64::MIN_POSITIVE);
        let credit = match candidate.is_aged {
            true => pool.aged_credit - service,
            false => pool.aged_credit + service * self.tuning.patient_share,
        };
        pool.aged_credit = credit.min(AGED_CREDIT_LIMIT);
    }

    /// Corrects what a row was charged for a request, by the length that its answer had.
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

    /// Whether urgent work of a better rank still finds a prefill engine in time after `prefill` is given a reading of
    /// some seconds. With one engine there is no choice.
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
        let mut least = f64::INFINITY;
        for (upstream, engine) in &pool.prefills {
            if engine.is_draining {
                continue;
            }
            engines += 1;
            let more = if upstream == prefill {
                prefill_seconds
            } else {
                0.0
            };
            least = least.min(engine.queue_seconds(now) + more);
        }
        engines < 2 || urgent.rate * (least - urgent.slack) <= MAX_EXPECTED_LATE
    }

    /// What urgent work of a better rank than a row's asks for; none when it is too rare to keep room for.
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

    /// Whether a decode place and the link are expected to be free by the time that the reading ends.
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
        let kept = self.link.eviction().as_secs_f64() * self.tuning.eviction_share;
        if self.link.wait_seconds(now, ready, transfer) > kept {
            return PrefillDecision::Blocked;
        }
        let free = f64::from(pool.free(now, row.between_tokens));
        let spare = free - pool.reservations.len() as f64 - 1.0;
        let read_at = now + seconds(ready);
        let due = self.place_due(held, read_at, read_at + seconds(kept));
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

    /// Whether urgent work of a better rank still finds a place in time after one more of this row.
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

    /// Whether the places that urgent work of better ranks holds on the whole stay free of this row and worse ones.
    ///
    /// Patient streams are long: a place given to one in a lull of urgent work is gone when the lull is over.
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

/// How many deviations above its mean the number of places that urgent work holds is left free.
const OCCUPANCY_MARGIN: f64 = 2.0;
/// The most service that is saved up for work that waited long, in seconds of the whole pool.
const AGED_CREDIT_LIMIT: f64 = 0.5;
/// Urgent work that comes less often than this, a second, gets no room kept.
const MIN_URGENT_RATE: f64 = 0.01;
/// So many urgent requests may be expected to come late for one long reading.
const MAX_EXPECTED_LATE: f64 = 0.25;
