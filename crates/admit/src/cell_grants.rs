//! Grants that an allocator makes after each event.

use {
    crate::{
        admit_action::AdmitAction, cell_allocator::CellAllocator, held_request::HeldRequest,
        pool_key::PoolKey, prefill_decision::PrefillDecision, request_key::RequestKey,
        request_phase::RequestPhase,
    },
    kernel::UpstreamId,
    route::{DecodeOption, PrefillOption},
    std::time::{Duration, Instant},
};

/// A KV cache that is evicted within this time is transferred even if the link is busy.
const EVICTION_MARGIN: Duration = Duration::from_millis(60);
/// How soon a blocked queue is checked again when no event arrives.
const BLOCKED_RETRY: Duration = Duration::from_millis(10);
/// The maximum number of requests that are passed over after one event.
const MAX_SKIPS: usize = 4;
/// The maximum number of prefill grants after one event.
const MAX_GRANTS: usize = 64;

impl CellAllocator {
    pub(crate) fn schedule(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        self.run_timers(now, actions);
        self.sweep_urgent(now, actions);
        self.grant_decodes(now, actions);
        let mut blocked = false;
        let pools: Vec<PoolKey> = self.pools.keys().cloned().collect();
        for pool in &pools {
            blocked |= self.grant_prefills(now, pool, actions);
        }
        self.wake(now, blocked, actions);
    }

    fn wake(&mut self, now: Instant, blocked: bool, actions: &mut Vec<AdmitAction>) {
        let mut wake = self.timers.first().map(|(time, _)| *time);
        let mut wake_by = |time: Instant| wake = Some(wake.map_or(time, |wake| wake.min(time)));
        if !self.prefilled.is_empty() {
            let free = self.link.free_at(now);
            if let Some(free) = free.and_then(|free| free.checked_sub(self.tuning.lookahead)) {
                wake_by(free.max(now));
            }
            for (_, key) in &self.prefilled {
                let evicts_at = self.requests.get(key).and_then(HeldRequest::evicts_at);
                let pressing =
                    evicts_at.and_then(|evicts_at| evicts_at.checked_sub(EVICTION_MARGIN));
                if let Some(pressing) = pressing.filter(|pressing| now < *pressing) {
                    wake_by(pressing);
                }
            }
            for pool in self.pools.values() {
                for engine in pool.decodes.values() {
                    if let Some((_, until)) = engine.full_period.filter(|(_, until)| now < *until) {
                        wake_by(until);
                    }
                }
            }
        }
        if blocked {
            wake_by(now + BLOCKED_RETRY);
        }
        let Some(wake) = wake else {
            return;
        };
        if self
            .next_wake
            .is_some_and(|next_wake| now < next_wake && next_wake <= wake)
        {
            return;
        }
        self.next_wake = Some(wake);
        actions.push(AdmitAction::WakeAt(wake));
    }

    fn grant_decodes(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let waiting: Vec<RequestKey> = self.prefilled.iter().map(|(_, key)| key.clone()).collect();
        for key in waiting {
            let held = self.requests.get(&key);
            let tokens = held.map_or(0, |held| held.request.prompt_tokens);
            let transfer = self.link.seconds(tokens);
            let evicts_at = held.and_then(HeldRequest::evicts_at);
            let pressing = evicts_at.is_some_and(|evicts_at| evicts_at <= now + EVICTION_MARGIN);
            if !pressing && !self.link.may_start(now, transfer, self.tuning.lookahead) {
                continue;
            }
            self.grant_decode(now, &key, actions);
        }
    }

    fn grant_decode(&mut self, now: Instant, key: &RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(held) = self.requests.get(key) else {
            return;
        };
        let target = self.rows[held.row].row.between_tokens;
        let pool = held.pool.clone();
        let Some(decode) = self.pick_decode(now, &pool, target) else {
            return;
        };
        let Some(mut held) = self.remove(now, key) else {
            return;
        };
        if let RequestPhase::Prefilled { evicts_at, prefill } = held.phase {
            held.kv = Some((prefill, evicts_at));
        }
        self.link.start(now, held.request.prompt_tokens);
        held.phase = RequestPhase::Transferring {
            decode: decode.clone(),
        };
        self.put(now, key.clone(), held);
        actions.push(AdmitAction::GrantDecode {
            decode,
            key: key.clone(),
        });
    }

    fn pick_decode(
        &mut self,
        now: Instant,
        pool: &PoolKey,
        target: Option<Duration>,
    ) -> Option<UpstreamId> {
        let pool = self.pools.get(pool)?;
        let mut options = Vec::with_capacity(pool.decodes.len());
        for (upstream, engine) in &pool.decodes {
            options.push(DecodeOption {
                base_seconds: engine.info.decode_base_seconds,
                free: engine.free(now, target),
                slope_seconds: engine.info.decode_slope_seconds,
                upstream,
                used: engine.used(),
            });
        }
        let option = self.choice.decode(&options)?;
        Some(option.upstream.clone())
    }

    /// Grants prefill in queue order. Returns whether the queue is blocked and has to be checked again soon.
    fn grant_prefills(
        &mut self,
        now: Instant,
        pool: &PoolKey,
        actions: &mut Vec<AdmitAction>,
    ) -> bool {
        let mut skipped = Vec::new();
        for _ in 0..MAX_GRANTS {
            let Some(candidate) = self.next_candidate(now, pool, &skipped) else {
                return !skipped.is_empty();
            };
            let Some((prefill, tokens)) = self.pick_prefill(now, pool, &candidate.key) else {
                return !skipped.is_empty();
            };
            match self.decide_prefill(now, pool, &candidate, &prefill, tokens) {
                PrefillDecision::Blocked => return true,
                PrefillDecision::Skip if skipped.len() == MAX_SKIPS => return true,
                PrefillDecision::Skip => skipped.push(candidate.key),
                PrefillDecision::Start => {
                    self.grant_prefill(now, &candidate.key, prefill, tokens, actions);
                    self.charge_row(pool, &candidate, tokens);
                }
            }
        }
        true
    }

    fn grant_prefill(
        &mut self,
        now: Instant,
        key: &RequestKey,
        prefill: UpstreamId,
        tokens: f64,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(mut held) = self.remove(now, key) else {
            return;
        };
        self.prefixes.sent(&prefill, &held.request.prefix);
        held.granted_at = held.granted_at.or(Some(now));
        held.phase = RequestPhase::Prefilling {
            prefill: prefill.clone(),
            tokens,
        };
        self.put(now, key.clone(), held);
        actions.push(AdmitAction::GrantPrefill {
            key: key.clone(),
            prefill,
        });
    }

    /// The prefill engine that would finish first and the tokens it has to process. `None` if the request should wait.
    fn pick_prefill(
        &mut self,
        now: Instant,
        pool: &PoolKey,
        key: &RequestKey,
    ) -> Option<(UpstreamId, f64)> {
        let held = self.requests.get(key)?;
        let pool = self.pools.get(pool)?;
        let tokens = f64::from(held.request.prompt_tokens);
        let mut all = Vec::with_capacity(pool.prefills.len());
        let mut idle = Vec::with_capacity(pool.prefills.len());
        for (upstream, engine) in &pool.prefills {
            if engine.is_draining || engine.suspended_at.is_some() {
                continue;
            }
            let option = PrefillOption {
                cached_tokens: self.cached_tokens(upstream, &held.request),
                queue_seconds: engine.queue_seconds(now),
                rate: engine.info.prefill_rate,
                upstream,
            };
            all.push(option);
            if engine.is_idle(now, self.tuning.lookahead) {
                idle.push(option);
            }
        }
        let best = self.choice.prefill(tokens, &all)?;
        let queue = self.tuning.prefix_queue.as_secs_f64();
        let is_warm = best.cached_tokens > 0.0 && best.queue_seconds <= queue;
        let is_idle = idle.iter().any(|option| option.upstream == best.upstream);
        let best = match is_warm || is_idle {
            true => best,
            false => self.choice.prefill(tokens, &idle)?,
        };
        Some((
            best.upstream.clone(),
            (tokens - best.cached_tokens).max(1.0),
        ))
    }
}
