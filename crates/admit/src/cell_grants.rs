//! What an allocator grants after each event.

use {
    crate::{
        admit_action::AdmitAction, cell_allocator::CellAllocator, held_request::HeldRequest,
        pool_key::PoolKey, read_verdict::ReadVerdict, request_key::RequestKey,
        request_phase::RequestPhase,
    },
    kernel::UpstreamId,
    route::{DecodeOption, PrefillOption},
    std::time::{Duration, Instant},
};

/// A KV cache that is evicted this soon is transferred beside whatever crosses the link.
const PRESSING: Duration = Duration::from_millis(60);
/// How soon a blocked queue is looked at again when no event comes.
const BLOCKED_WAKE: Duration = Duration::from_millis(10);
/// The most requests that are passed over after one event.
const SKIPS_LIMIT: usize = 4;
/// The most grants of reading after one event.
const GRANTS_LIMIT: usize = 64;

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
        let mut sooner = |time: Instant| wake = Some(wake.map_or(time, |wake| wake.min(time)));
        if !self.read.is_empty() {
            let free = self.link.free_at(now);
            if let Some(free) = free.and_then(|free| free.checked_sub(self.tuning.lookahead)) {
                sooner(free.max(now));
            }
            for (_, key) in &self.read {
                let evicts = self.requests.get(key).and_then(HeldRequest::evicts);
                let pressing = evicts.and_then(|evicts| evicts.checked_sub(PRESSING));
                if let Some(pressing) = pressing.filter(|pressing| now < *pressing) {
                    sooner(pressing);
                }
            }
            for pool in self.pools.values() {
                for engine in pool.decodes.values() {
                    if let Some((_, until)) = engine.full.filter(|(_, until)| now < *until) {
                        sooner(until);
                    }
                }
            }
        }
        if blocked {
            sooner(now + BLOCKED_WAKE);
        }
        let Some(wake) = wake else {
            return;
        };
        if self.woken.is_some_and(|woken| now < woken && woken <= wake) {
            return;
        }
        self.woken = Some(wake);
        actions.push(AdmitAction::WakeAt(wake));
    }

    fn grant_decodes(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let waiting: Vec<RequestKey> = self.read.iter().map(|(_, key)| key.clone()).collect();
        for key in waiting {
            let held = self.requests.get(&key);
            let tokens = held.map_or(0, |held| held.request.prompt_tokens);
            let transfer = self.link.seconds(tokens);
            let evicts = held.and_then(HeldRequest::evicts);
            let pressing = evicts.is_some_and(|evicts| evicts <= now + PRESSING);
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
        if let RequestPhase::Read { evicts, prefill } = held.phase {
            held.kv = Some((prefill, evicts));
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

    /// Grants reading in the order of the turns; whether a request waits for a decode place to be expected.
    fn grant_prefills(
        &mut self,
        now: Instant,
        pool: &PoolKey,
        actions: &mut Vec<AdmitAction>,
    ) -> bool {
        let mut skipped = Vec::new();
        for _ in 0..GRANTS_LIMIT {
            let Some(turn) = self.next_turn(now, pool, &skipped) else {
                return !skipped.is_empty();
            };
            let Some((prefill, tokens)) = self.pick_prefill(now, pool, &turn.key) else {
                return !skipped.is_empty();
            };
            match self.may_read(now, pool, &turn, &prefill, tokens) {
                ReadVerdict::Blocked => return true,
                ReadVerdict::Skip if skipped.len() == SKIPS_LIMIT => return true,
                ReadVerdict::Skip => skipped.push(turn.key),
                ReadVerdict::Start => {
                    self.grant_prefill(now, &turn.key, prefill, tokens, actions);
                    self.take_turn(pool, &turn, tokens);
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
        held.granted = held.granted.or(Some(now));
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

    /// The prefill engine that would have read a request first, and the tokens that it would read; none when the
    /// request had better wait.
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
            if engine.leaving {
                continue;
            }
            let option = PrefillOption {
                cached_tokens: self.cached(upstream, &held.request),
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
