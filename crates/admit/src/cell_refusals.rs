//! Refusals, and the estimate of when the caller may retry.

use {
    crate::{
        admit_action::AdmitAction, admit_request::AdmitRequest, cell_allocator::CellAllocator,
        request_key::RequestKey, request_phase::RequestPhase,
    },
    kernel::ResultCode,
    std::time::{Duration, Instant},
};

/// The longest retry delay reported to a caller.
const RETRY_CEILING: Duration = Duration::from_secs(600);
/// The shortest retry delay reported to a caller.
const RETRY_FLOOR: Duration = Duration::from_millis(100);
/// How often the urgent queue is scanned for requests that have become late.
const SWEEP_PERIOD: Duration = Duration::from_millis(20);

impl CellAllocator {
    /// The retry delay when the queue gives no estimate.
    pub(crate) const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

    pub(crate) fn refuse(key: RequestKey, code: ResultCode, wait: Duration) -> AdmitAction {
        AdmitAction::Refuse {
            code,
            key,
            retry_after: wait.clamp(RETRY_FLOOR, RETRY_CEILING),
        }
    }

    /// Why a new request can't be served, and how long the caller should wait before a retry. `None` if it can be
    /// queued.
    pub(crate) fn refusal(
        &mut self,
        now: Instant,
        row: usize,
        request: &AdmitRequest,
    ) -> Option<(ResultCode, Duration)> {
        let state = &self.rows[row];
        let pool = self.pools.get(&state.pool);
        if !pool.is_some_and(|pool| pool.is_open()) {
            return Some((ResultCode::UpstreamMissing, Self::UNKNOWN_WAIT));
        }
        if state.limit == 0 {
            return Some((ResultCode::LimitReached, Self::UNKNOWN_WAIT));
        }
        let target = state.row.first_token?;
        let time_left = (request.arrived + target).saturating_duration_since(now);
        let limit_wait = self.limit_wait(row);
        if limit_wait > time_left {
            return Some((ResultCode::LimitReached, limit_wait));
        }
        if let Some(pool) = self.pools.get_mut(&self.rows[row].pool) {
            pool.refresh_forecast(now, &self.rows);
        }
        let ahead = self.queue_ahead(row);
        let wait = self.first_token_after(now, row, request, ahead);
        if wait > time_left {
            return Some((ResultCode::FirstTokenLate, wait - time_left));
        }
        None
    }

    /// How long a new request of a row waits until the row is below its limit.
    fn limit_wait(&self, row: usize) -> Duration {
        let state = &self.rows[row];
        if state.is_under_limit() {
            return Duration::ZERO;
        }
        let residence = state.residence.unwrap_or_default();
        let turns = (state.queue.len() + 1) as f64 / f64::from(state.limit.max(1));
        seconds(residence * turns)
    }

    /// How long a new request of a row would wait in the current queue.
    pub(crate) fn queue_wait(&mut self, now: Instant, row: usize) -> Duration {
        let state = &self.rows[row];
        let Some(pool) = self.pools.get_mut(&state.pool) else {
            return Self::UNKNOWN_WAIT;
        };
        pool.refresh_forecast(now, &self.rows);
        let ahead = self.queue_ahead(row);
        let state = &self.rows[row];
        let Some(pool) = self.pools.get(&state.pool) else {
            return Self::UNKNOWN_WAIT;
        };
        let prefill_seconds = ahead.tokens / pool.prefill_rate().max(f64::MIN_POSITIVE);
        let free = f64::from(pool.free(now, state.row.between_tokens));
        let ends = pool.reservations.len() as f64 + ahead.requests + 1.0 - free;
        let place_seconds = pool.forecast.seconds_until(ends);
        seconds(prefill_seconds.max(place_seconds)).max(self.limit_wait(row))
    }

    /// Handles the requests whose timers have expired.
    pub(crate) fn run_timers(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        while let Some((time, key)) = self.timers.first().cloned() {
            if time > now {
                return;
            }
            let Some(mut held) = self.remove(now, &key) else {
                self.timers.pop_first();
                continue;
            };
            match held.phase {
                // No end was reported for a very long time. The place counts as free unless the entry instance reports
                // otherwise.
                RequestPhase::Decoding { .. } | RequestPhase::Transferring { .. } => {
                    self.resync(&key, actions);
                }
                RequestPhase::Prefilling { .. } | RequestPhase::Prefilled { .. } => {
                    self.requeue(now, held);
                }
                RequestPhase::Queued
                    if held.deadline.is_none()
                        && !held.position.is_late
                        && now < held.patience_end =>
                {
                    held.position.is_late = true;
                    self.put(now, key, held);
                }
                RequestPhase::Queued => {
                    let code = match held.deadline {
                        Some(_) => ResultCode::FirstTokenLate,
                        None => ResultCode::PatienceEnded,
                    };
                    let wait = self.queue_wait(now, held.row);
                    actions.push(Self::refuse(key, code, wait));
                }
            }
        }
    }

    /// Refuses urgent requests that are already expected to miss their target, before their own timers expire.
    pub(crate) fn sweep_urgent(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let elapsed = self
            .last_sweep
            .map(|swept| now.saturating_duration_since(swept));
        if elapsed.is_some_and(|elapsed| elapsed < SWEEP_PERIOD) {
            return;
        }
        self.last_sweep = Some(now);
        for row in 0..self.rows.len() {
            if self.rows[row].row.first_token.is_some() {
                self.sweep_row(now, row, actions);
            }
        }
    }

    fn sweep_row(&mut self, now: Instant, row: usize, actions: &mut Vec<AdmitAction>) {
        if self.rows[row].queue.is_empty() {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&self.rows[row].pool) {
            pool.refresh_forecast(now, &self.rows);
        }
        let mut ahead = self.queue_ahead(row);
        ahead.requests -= self.rows[row].queue.len() as f64;
        ahead.tokens -= self.rows[row].queued_tokens as f64;
        let mut late = Vec::new();
        for key in self.rows[row].queue.values() {
            let Some(held) = self.requests.get(key) else {
                continue;
            };
            let deadline = held.deadline.unwrap_or(held.patience_end);
            let time_left = deadline.saturating_duration_since(now);
            let wait = self.first_token_after(now, row, &held.request, ahead);
            if wait > time_left {
                late.push((key.clone(), wait - time_left));
                continue;
            }
            ahead.requests += 1.0;
            ahead.tokens += f64::from(held.request.prompt_tokens);
        }
        for (key, wait) in late {
            self.remove(now, &key);
            actions.push(Self::refuse(key, ResultCode::FirstTokenLate, wait));
        }
    }
}

/// Converts seconds to a duration between 0 and [`RETRY_CEILING`].
pub(crate) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0))
        .unwrap_or(RETRY_CEILING)
        .min(RETRY_CEILING)
}
