//! The indexes of an allocator. Only this module updates them.

use {
    crate::{
        cell_allocator::CellAllocator, cell_refusals::seconds, decode_stream::DecodeStream,
        held_request::HeldRequest, request_key::RequestKey, request_phase::RequestPhase,
    },
    std::time::{Duration, Instant},
};

/// The grace period after which a missing notice counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(10);
/// The multiple of the expected duration that is waited in addition to [`LOST_AFTER`].
const LOST_FACTOR: f64 = 4.0;
/// The upper bound of any wait. Keeps sums of times in range.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(365 * 24 * 3600);

impl CellAllocator {
    /// Adds a request to every index of its phase.
    pub(crate) fn put(&mut self, now: Instant, key: RequestKey, mut held: HeldRequest) {
        held.timer_at = self.timer_for(now, &held);
        held.due = self.place_due_at(now, &held);
        self.timers.insert((held.timer_at, key.clone()));
        let row = &mut self.rows[held.row];
        let tokens = held.request.prompt_tokens;
        if let RequestPhase::Queued = held.phase {
            row.queue.insert(held.position, key.clone());
            row.queued_tokens += u64::from(tokens);
        } else {
            row.running += 1;
        }
        if held.phase.awaits_place() {
            self.link.reserve(tokens);
        }
        self.put_in_pool(now, &key, &held);
        if let RequestPhase::Prefilled { .. } = held.phase {
            self.prefilled.insert((held.due, key.clone()));
        }
        self.requests.insert(key, held);
    }

    fn put_in_pool(&mut self, now: Instant, key: &RequestKey, held: &HeldRequest) {
        let pool = self.pools.entry(held.pool.clone()).or_default();
        if held.phase.awaits_place() {
            pool.reservations.insert((held.due, key.clone()));
        }
        match &held.phase {
            RequestPhase::Decoding { decode, tokens } => {
                let Some(engine) = pool.decodes.get_mut(decode) else {
                    return;
                };
                let started = engine.starting_count(now, *tokens);
                let stream = self.rows[held.row].stream(held, Some(started));
                engine.add(now, key.clone(), stream);
            }
            RequestPhase::Prefilling { prefill, tokens } => {
                if let Some(engine) = pool.prefills.get_mut(prefill) {
                    engine.add(now, key.clone(), *tokens);
                }
            }
            RequestPhase::Queued => {}
            RequestPhase::Prefilled { prefill, .. } => {
                if let Some(engine) = pool.prefills.get_mut(prefill) {
                    engine.exported.insert(key.clone());
                }
            }
            RequestPhase::Transferring { decode } => {
                let Some(engine) = pool.decodes.get_mut(decode) else {
                    return;
                };
                let stream = self.rows[held.row].stream(held, None);
                engine.add(now, key.clone(), stream);
            }
        }
    }

    /// Removes a request from every index and frees everything it holds.
    pub(crate) fn remove(&mut self, now: Instant, key: &RequestKey) -> Option<HeldRequest> {
        let held = self.requests.remove(key)?;
        self.timers.remove(&(held.timer_at, key.clone()));
        let row = &mut self.rows[held.row];
        let tokens = held.request.prompt_tokens;
        if let RequestPhase::Queued = held.phase {
            row.queue.remove(&held.position);
            row.queued_tokens -= u64::from(tokens);
        } else {
            row.running -= 1;
        }
        if held.phase.awaits_place() {
            self.link.release(tokens);
        }
        if let RequestPhase::Prefilled { .. } = held.phase {
            self.prefilled.remove(&(held.due, key.clone()));
        }
        self.remove_from_pool(now, key, &held);
        Some(held)
    }

    fn remove_from_pool(&mut self, now: Instant, key: &RequestKey, held: &HeldRequest) {
        let Some(pool) = self.pools.get_mut(&held.pool) else {
            return;
        };
        if held.phase.awaits_place() {
            pool.reservations.remove(&(held.due, key.clone()));
        }
        match &held.phase {
            RequestPhase::Decoding { decode, .. } | RequestPhase::Transferring { decode } => {
                pool.remove_stream(now, decode, key, &self.rows);
            }
            RequestPhase::Prefilling { prefill, .. } => {
                if let Some(engine) = pool.prefills.get_mut(prefill) {
                    engine.remove(now, key);
                }
            }
            RequestPhase::Queued => {}
            RequestPhase::Prefilled { prefill, .. } => {
                if let Some(engine) = pool.prefills.get_mut(prefill) {
                    engine.exported.remove(key);
                }
            }
        }
    }

    /// When a request needs a decode place: before its KV cache is evicted, and early enough for its first token.
    fn place_due_at(&self, now: Instant, held: &HeldRequest) -> Instant {
        let eviction = self.link.eviction();
        let kept_for = eviction.mul_f64(self.tuning.eviction_share);
        let ready = match &held.phase {
            RequestPhase::Prefilling { prefill, tokens } => {
                let pool = self.pools.get(&held.pool);
                let engine = pool.and_then(|pool| pool.prefills.get(prefill));
                let prefill_seconds = engine.map_or(0.0, |engine| {
                    engine.queue_seconds(now) + engine.prefill_seconds(*tokens)
                });
                now + seconds(prefill_seconds)
            }
            RequestPhase::Prefilled { evicts_at, .. } => {
                evicts_at.checked_sub(eviction).unwrap_or(now)
            }
            _ => return now,
        };
        self.place_due(held, ready, ready + kept_for)
    }

    /// The earlier of `due` and the latest time that still meets the first-token target, but not before `ready`.
    pub(crate) fn place_due(&self, held: &HeldRequest, ready: Instant, due: Instant) -> Instant {
        let Some(deadline) = held.deadline else {
            return due;
        };
        let pool = self.pools.get(&held.pool);
        let step = pool.map_or(0.0, |pool| pool.step_seconds());
        let remaining = seconds(self.link.seconds(held.request.prompt_tokens) + step);
        let latest = deadline.checked_sub(remaining).unwrap_or(ready);
        due.min(latest).max(ready)
    }

    /// When the allocator has to check a request again if no event arrives.
    fn timer_for(&self, now: Instant, held: &HeldRequest) -> Instant {
        let tokens = held.request.prompt_tokens;
        let transfer = self.link.seconds(tokens);
        let Some(pool) = self.pools.get(&held.pool) else {
            return held.patience_end;
        };
        match &held.phase {
            RequestPhase::Decoding { decode, tokens } => {
                let engine = pool.decodes.get(decode);
                let step = engine.map_or(1.0, |engine| {
                    let info = &engine.info;
                    info.decode_base_seconds
                        + info.decode_slope_seconds * f64::from(info.decode_places)
                });
                let tokens_left = held.request.max_tokens.saturating_sub(*tokens);
                lost_deadline(now, step * f64::from(tokens_left))
            }
            RequestPhase::Prefilling { prefill, tokens } => {
                let engine = pool.prefills.get(prefill);
                let prefill_seconds = engine.map_or(0.0, |engine| {
                    engine.queue_seconds(now) + engine.prefill_seconds(*tokens)
                });
                lost_deadline(now, prefill_seconds)
            }
            RequestPhase::Queued => {
                let Some(deadline) = held.deadline else {
                    let next = if held.position.is_late {
                        held.patience_end
                    } else {
                        held.latest_start
                    };
                    return next.min(held.patience_end);
                };
                let min_seconds = pool.min_prefill_seconds(f64::from(tokens)) + transfer;
                let min_seconds = Duration::try_from_secs_f64(min_seconds + pool.step_seconds());
                let latest = deadline.checked_sub(min_seconds.unwrap_or_default());
                held.patience_end.min(latest.unwrap_or(deadline))
            }
            RequestPhase::Prefilled { evicts_at, .. } => *evicts_at + LOST_AFTER,
            RequestPhase::Transferring { .. } => lost_deadline(now, transfer),
        }
    }
}

fn lost_deadline(now: Instant, seconds: f64) -> Instant {
    let time = Duration::try_from_secs_f64(seconds * LOST_FACTOR).unwrap_or(MAX_WAIT);
    now + time.min(MAX_WAIT) + LOST_AFTER
}

impl crate::row_state::RowState {
    fn stream(&self, held: &HeldRequest, started: Option<f64>) -> DecodeStream {
        DecodeStream {
            max_tokens: held.request.max_tokens,
            row: held.row,
            started,
            target: self.row.between_tokens,
        }
    }
}
