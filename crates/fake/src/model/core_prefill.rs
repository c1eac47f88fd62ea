//! Prefill of prompts and the exported KV caches that wait for a decode engine.

use {
    super::{
        engine_core::EngineCore,
        engine_event::{EngineAction, KvRecord},
        engine_run::{EngineRun, KvHandle, RunEnd, RunId, RunPhase},
    },
    crate::expected_answer::{BLOCK_TOKENS, block_hashes},
    std::time::Instant,
};

impl EngineCore {
    /// Finds an exported KV cache and checks that it belongs to the prompt with this digest.
    ///
    /// # Errors
    ///
    /// [`ExportError`]; a mismatch is counted in `kv_mismatches`.
    pub fn find_export(&mut self, handle: KvHandle, digest: &str) -> Result<KvRecord, ExportError> {
        let run = self.exports.get(&handle).and_then(|run| self.runs.get(run));
        let run = run.ok_or(ExportError::Evicted)?;
        if crate::expected_answer::prompt_digest(&run.call.prompt) != digest {
            self.counters.kv_mismatches += 1;
            return Err(ExportError::Mismatch);
        }
        Ok(KvRecord {
            bytes: f64::from(run.prompt_tokens) * self.settings.kv_bytes_per_token,
            tokens: run.prompt_tokens,
        })
    }

    /// Extends the lifetime of an exported KV cache for a transfer that is starting.
    pub(super) fn claim_export(&mut self, now: Instant, handle: KvHandle) {
        let limit = now + self.settings.claim_limit;
        let Some(run) = self.exports.get(&handle) else {
            return;
        };
        let Some(run) = self.runs.get_mut(run) else {
            return;
        };
        run.phase = RunPhase::Exported {
            claimed: true,
            handle,
            until: limit,
        };
    }

    /// Finishes the prefills that are complete by `now`.
    pub(super) fn finish_prefills(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        for run in self.prefill.advance(now) {
            self.finish_prefill(now, run, actions);
        }
    }

    /// Frees an exported KV cache; one that was not used counts as wasted.
    pub(super) fn release_export(&mut self, handle: KvHandle, used: bool) {
        let Some(run) = self.exports.remove(&handle) else {
            return;
        };
        let Some(released) = self.runs.remove(&run) else {
            return;
        };
        if self.ids.get(&released.call.id) == Some(&run) {
            self.ids.remove(&released.call.id);
        }
        if !used {
            self.counters.prompt_tokens_wasted += u64::from(released.uncached_tokens);
        }
    }

    /// Starts prefills by priority and then age until `readers` of them run.
    pub(super) fn start_prefills(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        while self.prefill.len() < self.settings.readers {
            let Some((_, run)) = self.waiting.pop_first() else {
                break;
            };
            self.start_prefill(now, run, actions);
        }
    }

    /// Prompt tokens that are queued or still to be prefilled.
    pub(super) fn pending_prefill_tokens(&self) -> u64 {
        let mut tokens = 0;
        for (_, run) in &self.waiting {
            tokens += self
                .runs
                .get(run)
                .map_or(0, |run| u64::from(run.prompt_tokens));
        }
        for (run, state) in &self.runs {
            if state.phase != RunPhase::Prefilling {
                continue;
            }
            tokens += self.prefill.remaining(run).unwrap_or_default().ceil() as u64;
        }
        tokens
    }

    /// Counts a prefill that stopped with `remaining` tokens to go as wasted.
    pub(super) fn count_partial_prefill(&mut self, run: &EngineRun, remaining: f64) {
        let prefilled = (f64::from(run.uncached_tokens) - remaining)
            .max(0.0)
            .round() as u64;
        self.counters.prompt_tokens_read += prefilled;
        self.counters.prompt_tokens_wasted += prefilled;
    }

    fn export(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let handle = self.next_handle;
        self.next_handle += 1;
        let Some(exported) = self.runs.get_mut(&run) else {
            return;
        };
        exported.phase = RunPhase::Exported {
            claimed: false,
            handle,
            until: now + self.settings.eviction,
        };
        self.exports.insert(handle, run);
        let view = exported.view_at_end(RunEnd::Exported(handle));
        actions.push(EngineAction::Update { run, view });
    }

    fn finish_prefill(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        self.counters.prompt_tokens_read += u64::from(state.uncached_tokens);
        let change = self.cache.store(&block_hashes(&state.call.prompt));
        self.cache_events.record(now, &change);
        if state.call.keep_kv {
            self.export(now, run, actions);
            return;
        }
        state.phase = RunPhase::Decoding;
    }

    fn start_prefill(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        let cached = self.cache.cached_blocks(&block_hashes(&state.call.prompt));
        let cached_tokens = u32::try_from(cached * BLOCK_TOKENS).unwrap_or(u32::MAX);
        state.phase = RunPhase::Prefilling;
        state.uncached_tokens = state.prompt_tokens.saturating_sub(cached_tokens).max(1);
        self.prefill
            .start(now, run, f64::from(state.uncached_tokens));
        let id = state.call.id.clone();
        let decodes = !state.call.keep_kv;
        let view = state.view();
        *self.counters.prefill_runs.entry(id).or_default() += 1;
        actions.push(EngineAction::Update { run, view });
        if decodes {
            self.count_decode_run(run);
        }
    }
}

/// Reason why an exported KV cache is not available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExportError {
    /// It was evicted, released or never existed.
    Evicted,
    /// It belongs to another prompt.
    Mismatch,
}
