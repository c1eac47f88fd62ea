//! Submission, cancellation, disconnection and expiry of runs.

use {
    super::{
        engine_core::{EngineCore, release_action},
        engine_event::{EngineAction, EngineCall},
        engine_run::{EngineRun, RunEnd, RunId, RunPhase, RunView},
    },
    crate::expected_answer::{expected_length, prompt_tokens},
    engine::wire::{EngineError, engine_role::EngineRole},
    std::{sync::Arc, time::Instant},
};

impl EngineCore {
    /// Cancels a run and frees everything it holds.
    pub(super) fn cancel(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(ended) = self.remove(now, run) else {
            return;
        };
        if ended.phase.state().is_none() {
            actions.push(EngineAction::Forget(run));
            return;
        }
        self.counters.cancelled += 1;
        if let RunPhase::Claiming(import) | RunPhase::Transferring(import) = &ended.phase {
            actions.push(EngineAction::StopTransfer(run));
            actions.push(release_action(import, false));
        }
        if let RunPhase::Exported { .. } = ended.phase {
            self.counters.prompt_tokens_wasted += u64::from(ended.uncached_tokens);
            return;
        }
        let view = ended.view_at_end(RunEnd::Cancelled);
        actions.push(EngineAction::Update { run, view });
    }

    /// Removes one connection from a run. Runs that are exported or finished no longer need one.
    pub(super) fn disconnect(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        state.connections = state.connections.saturating_sub(1);
        if state.connections > 0 || !state.needs_connection() {
            return;
        }
        state.disconnected = Some(now);
        if !self.settings.keep_on_disconnect {
            self.cancel(now, run, actions);
        }
    }

    /// Evicts, forgets and cancels the runs whose timers have expired.
    pub(super) fn expire_runs(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        let mut expired = Vec::new();
        for (id, run) in &self.runs {
            if self.run_timer(run).is_some_and(|due| due <= now) {
                expired.push(*id);
            }
        }
        for run in expired {
            if let Some(RunPhase::Exported { .. }) = self.phase(run) {
                self.evict(now, run);
                continue;
            }
            self.cancel(now, run, actions);
        }
    }

    /// Records how long a place was held after its stream lost the last connection.
    pub(super) fn record_hold(&mut self, now: Instant, run: &EngineRun) {
        let Some(since) = run.disconnected else {
            return;
        };
        if !run.holds_place {
            return;
        }
        let hold = now.saturating_duration_since(since);
        let longest = &mut self.counters.longest_hold_after_disconnect;
        *longest = hold.max(*longest);
    }

    /// Adds a connection to a run, which stops its disconnect timer.
    pub(super) fn reconnect(&mut self, run: RunId) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        run.connections += 1;
        run.disconnected = None;
    }

    /// Reports a call as refused before it ran.
    pub(super) fn refuse(&mut self, run: RunId, error: &str, actions: &mut Vec<EngineAction>) {
        let error: Arc<str> = Arc::from(error);
        *self.counters.refused.entry(error.clone()).or_default() += 1;
        let view = RunView {
            end: Some(RunEnd::Refused(EngineError { error, ran: false })),
            ..RunView::default()
        };
        actions.push(EngineAction::Update { run, view });
    }

    /// Removes a run from all tables and counts a partial prefill as wasted.
    pub(super) fn remove(&mut self, now: Instant, run: RunId) -> Option<EngineRun> {
        let removed = self.runs.remove(&run)?;
        if self.ids.get(&removed.call.id) == Some(&run) {
            self.ids.remove(&removed.call.id);
        }
        self.stalled.remove(&run);
        self.waiting.remove(&(removed.call.priority, run));
        if let RunPhase::Exported { handle, .. } = removed.phase {
            self.exports.remove(&handle);
        }
        if let Some(remaining) = self.prefill.stop(&run) {
            self.count_partial_prefill(&removed, remaining);
        }
        self.record_hold(now, &removed);
        Some(removed)
    }

    /// Time at which a run is evicted, forgotten or cancelled without a request; `None` if it has no timer.
    pub(super) fn run_timer(&self, run: &EngineRun) -> Option<Instant> {
        if let RunPhase::Exported { until, .. } | RunPhase::Finished { until } = run.phase {
            return Some(until);
        }
        Some(run.disconnected? + self.settings.disconnect_grace?)
    }

    /// Accepts or refuses a new call.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        run: RunId,
        call: EngineCall,
        actions: &mut Vec<EngineAction>,
    ) {
        if let Some(error) = self.refusal(&call) {
            self.refuse(run, error, actions);
            return;
        }
        if let Some(old) = self.find_run(&call.id) {
            self.cancel(now, old, actions);
        }
        let new = EngineRun {
            connections: 1,
            disconnected: None,
            holds_place: !call.keep_kv,
            phase: RunPhase::Waiting,
            prompt_tokens: prompt_tokens(&call.prompt),
            uncached_tokens: 0,
            target: self.target(&call),
            tokens: 0,
            call,
        };
        self.ids.insert(new.call.id.clone(), run);
        self.admit(run, new, actions);
    }

    fn admit(&mut self, run: RunId, mut new: EngineRun, actions: &mut Vec<EngineAction>) {
        if let Some(import) = new.call.import.clone() {
            new.phase = RunPhase::Claiming(import);
        }
        let view = new.view();
        actions.push(EngineAction::Update { run, view });
        match &new.phase {
            RunPhase::Claiming(import) => actions.push(EngineAction::ClaimKv {
                import: import.clone(),
                prompt: new.call.prompt.clone(),
                run,
            }),
            _ => {
                self.waiting.insert((new.call.priority, run));
            }
        }
        self.runs.insert(run, new);
        self.counters.peak_places = self.counters.peak_places.max(self.places_used());
    }

    fn evict(&mut self, now: Instant, run: RunId) {
        let Some(evicted) = self.remove(now, run) else {
            return;
        };
        self.counters.evicted += 1;
        self.counters.prompt_tokens_wasted += u64::from(evicted.uncached_tokens);
    }

    fn refusal(&self, call: &EngineCall) -> Option<&'static str> {
        let required = match call.keep_kv {
            false => EngineRole::Decode,
            true => EngineRole::Prefill,
        };
        let has_duplicate = self
            .find_run(&call.id)
            .is_some_and(|run| self.holds_resources(run));
        if has_duplicate {
            return Some("duplicate");
        }
        if self.faults.leaving {
            return Some("leaving");
        }
        if self.next_role.is_some() || required != self.role {
            return Some("wrong_role");
        }
        if !self.models.is_empty() && !self.models.contains(&call.model) {
            return Some("model_missing");
        }
        let full = match call.keep_kv {
            false => self.places_used() >= self.settings.decode_places,
            true => self.waiting.len() >= self.settings.queue_limit,
        };
        (full || self.faults.refuse).then_some("full")
    }

    fn target(&self, call: &EngineCall) -> u32 {
        let length = expected_length(&call.prompt, call.max_tokens, self.settings.length_spread);
        length + self.faults.extra_tokens
    }
}
