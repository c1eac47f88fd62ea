//! Decode places of an engine: KV cache imports and the running batch.

use {
    super::{
        engine_core::{EngineCore, release_action},
        engine_event::{EngineAction, KvAnswer, KvRecord},
        engine_run::{EngineRun, RunEnd, RunId, RunPhase},
    },
    crate::expected_answer::prompt_digest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl EngineCore {
    /// Counts a decode run by request id and by prompt.
    pub(super) fn count_decode_run(&mut self, run: RunId) {
        let Some(run) = self.runs.get(&run) else {
            return;
        };
        let counters = &mut self.counters;
        let digest: Arc<str> = Arc::from(prompt_digest(&run.call.prompt));
        let id = run.call.id.clone();
        *counters.decode_runs.entry(id).or_default() += 1;
        *counters.decode_runs_by_prompt.entry(digest).or_default() += 1;
    }

    /// Moves an imported stream into the batch, unless the `stall_transfers` fault is set.
    pub(super) fn finish_transfer(
        &mut self,
        _now: Instant,
        run: RunId,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(imported) = self.runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Transferring(import) = &imported.phase else {
            return;
        };
        if self.faults.stall_transfers {
            self.stalled.insert(run);
            return;
        }
        actions.push(release_action(import, true));
        imported.phase = RunPhase::Decoding;
        self.counters.transfers += 1;
    }

    /// Generates one token for each stream of the batch if the step ends by `now`.
    pub(super) fn finish_step(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        if self.step_end.is_none_or(|end| end > now) {
            return;
        }
        self.step_end = None;
        for run in std::mem::take(&mut self.step_batch) {
            self.generate(now, run, actions);
        }
    }

    /// Starts a step with all decoding streams, unless one is in progress.
    pub(super) fn start_step(&mut self, now: Instant) {
        if self.step_end.is_some() || self.faults.stall_decoding {
            return;
        }
        let decoding = |run: &EngineRun| run.phase == RunPhase::Decoding;
        let batch = self.runs.iter().filter(|(_, run)| decoding(run));
        self.step_batch = batch.map(|(id, _)| *id).collect();
        if self.step_batch.is_empty() {
            return;
        }
        self.step_end = Some(now + self.step_time());
    }

    /// Handles the prefill engine's answer to a claim.
    pub(super) fn handle_kv_answer(
        &mut self,
        now: Instant,
        run: RunId,
        answer: KvAnswer,
        actions: &mut Vec<EngineAction>,
    ) {
        if !matches!(self.phase(run), Some(RunPhase::Claiming(_))) {
            return;
        }
        let error = match answer {
            KvAnswer::Evicted => "evicted",
            KvAnswer::Found(record) => {
                self.start_transfer(run, &record, actions);
                return;
            }
            KvAnswer::Mismatch => "bad_request",
            KvAnswer::Unreachable => "kv_unreachable",
        };
        self.remove(now, run);
        self.refuse(run, error, actions);
    }

    fn generate(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(stream) = self.runs.get_mut(&run) else {
            return;
        };
        stream.tokens += 1;
        self.counters.tokens_generated += 1;
        if stream.tokens < stream.target {
            let view = stream.view();
            actions.push(EngineAction::Update { run, view });
            return;
        }
        self.finish_stream(now, run, actions);
    }

    fn finish_stream(&mut self, now: Instant, run: RunId, actions: &mut Vec<EngineAction>) {
        let Some(mut stream) = self.runs.remove(&run) else {
            return;
        };
        self.record_hold(now, &stream);
        self.counters.finished += 1;
        let view = stream.view_at_end(RunEnd::Finished);
        actions.push(EngineAction::Update { run, view });
        stream.holds_place = false;
        stream.disconnected = None;
        stream.phase = RunPhase::Finished {
            until: now + self.settings.finished_keep,
        };
        self.runs.insert(run, stream);
    }

    fn start_transfer(&mut self, run: RunId, record: &KvRecord, actions: &mut Vec<EngineAction>) {
        let Some(imported) = self.runs.get_mut(&run) else {
            return;
        };
        let RunPhase::Claiming(import) = &imported.phase else {
            return;
        };
        imported.phase = RunPhase::Transferring(import.clone());
        let view = imported.view();
        let bytes = record.bytes;
        actions.push(EngineAction::StartTransfer { bytes, run });
        actions.push(EngineAction::Update { run, view });
        self.count_decode_run(run);
    }

    fn step_time(&self) -> Duration {
        let further = self.step_batch.len().saturating_sub(1);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        self.settings.decode_base + self.settings.decode_slope * further
    }
}
