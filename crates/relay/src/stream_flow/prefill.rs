//! Prefills a prompt at a prefill engine, before the request runs at its decode engine.

use {
    super::StreamFlow,
    crate::{
        BodyAllowance, CallEnd, CallPlan, CallPurpose, CallerDialect, HeldPlace, KvHandle,
        ResourceGuard, UpstreamAnswer, UpstreamDialect, WastedPrefill, relay_core::status_verdict,
        slot_finder::PrefillPlan,
    },
    kernel::{ResultCode, UpstreamId, ZoneId, steady_clock},
    policy::{AttemptEnd, CallVerdict, ChoiceQuery, PrefillChoice, PrefillEstimate, UpstreamStage},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The answer to a prefill has only a few fields.
const MAX_PREFILL_REPLY_BYTES: usize = 64 << 10;
/// A decode engine prefills at about half the speed of a prefill engine.
const DECODE_PREFILL_FACTOR: u32 = 2;
/// Added to the cost of a prefill at the decode engine, because it slows the streams that run there.
const DECODE_PREFILL_PENALTY: Duration = Duration::from_millis(150);
/// A prefill counts as lost after this many times its expected duration.
const PREFILL_TIMEOUT_FACTOR: u32 = 3;
/// Added to that timeout, for engines of unknown speed and for prompts of other instances queued just before.
const PREFILL_TIMEOUT_SLACK: Duration = Duration::from_millis(300);

static NO_CONNECTIONS: BTreeSet<UpstreamId> = BTreeSet::new();

impl<D: CallerDialect + UpstreamDialect> StreamFlow<D> {
    /// Prefills the prompt at a prefill engine, preferably in the availability zone of the decode engine: between zones
    /// the transfer of the KV cache takes twice as long and costs more. `None` when there is no prefill engine, none
    /// would finish soon enough, or the prefill failed; the decode engine then prefills the prompt itself.
    pub(super) async fn prefill_prompt(
        &mut self,
        zone: &ZoneId,
        planned: &PrefillPlan,
        place: Option<&HeldPlace>,
    ) -> Option<(KvHandle, ResourceGuard<D>)> {
        let tokens = self.request.prompt_tokens();
        let choice = match planned {
            PrefillPlan::At(engine) => match self.planned_prefill_engine(engine, tokens, zone) {
                Some(choice) => choice,
                None => self.choose_prefill_engine(tokens, zone)?,
            },
            PrefillPlan::Chosen => self.choose_prefill_engine(tokens, zone)?,
        };
        let engine = choice.upstream.id.clone();
        let began = steady_clock::now();
        let prefilled = self.prefill_at(choice, tokens).await;
        if let Some(place) = place {
            let took = prefilled.as_ref().map(|_| steady_clock::elapsed(began));
            place.prefilled(&engine, took);
        }
        prefilled
    }

    /// Prefills the prompt at the chosen engine.
    async fn prefill_at(
        &mut self,
        choice: PrefillChoice,
        tokens: u64,
    ) -> Option<(KvHandle, ResourceGuard<D>)> {
        let Self {
            core,
            service,
            attempts,
            ..
        } = self;
        if !attempts.allow_prefill(|| core.take_retry(service)) {
            return None;
        }
        let upstream = choice.upstream;
        let patience = choice.expected * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_SLACK;
        let plan = CallPlan {
            purpose: &CallPurpose::Prefill,
            request: &self.request,
            route: &self.route,
            head_timeout: Some(patience),
        };
        let began = steady_clock::now();
        let end = self.core.call(plan, upstream.clone()).await;
        self.attempts.note(match end {
            CallEnd::Answer(_) => AttemptEnd::Prefilled,
            CallEnd::Denied(_) => AttemptEnd::Blocked,
            CallEnd::Lost(_) | CallEnd::NotRun => AttemptEnd::PrefillRefused,
            CallEnd::Unreachable | CallEnd::Unsent => AttemptEnd::Unsent,
        });
        let answer = match end {
            CallEnd::Answer(answer) => answer,
            CallEnd::Lost(code) => {
                self.core.counts.note_wasted(lost_reason(code), tokens);
                return None;
            }
            CallEnd::Denied(_) | CallEnd::NotRun | CallEnd::Unreachable | CallEnd::Unsent => {
                return None;
            }
        };
        let UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        } = *answer;
        let allowance = BodyAllowance::new(MAX_PREFILL_REPLY_BYTES);
        let reading = self.core.buffers.collect(body, allowance);
        let left = patience.saturating_sub(steady_clock::elapsed(began));
        let bytes = match time::timeout(left.min(self.request.left()), reading).await {
            Ok(Ok(body)) => body.bytes,
            outcome => {
                if outcome.is_ok() {
                    self.core.crashes.note_loss(&self.request, &call, false);
                }
                call.close(CallVerdict::Lost);
                let reason = match outcome {
                    Ok(_) => WastedPrefill::EngineLost,
                    Err(_) => WastedPrefill::Silent,
                };
                self.core.counts.note_wasted(reason, tokens);
                return None;
            }
        };
        call.close(status_verdict(head.status));
        if !facts.closes_connection {
            self.core
                .pool
                .keep(&upstream.id, connection, facts.idle_timeout);
        }
        if !head.status.is_success() {
            return None;
        }
        let now = steady_clock::now();
        if !choice.is_cached {
            self.note_duration(&upstream.id, choice.queued_tokens, now - began, now);
        }
        let handle = self.core.dialect.prefill_reply(&upstream, &bytes)?;
        let guard = ResourceGuard::for_kv(self.core.clone(), upstream, handle.clone(), tokens);
        Some((handle, guard))
    }

    /// Records the duration of a prefill with `ahead` tokens queued before it at the engine.
    fn note_duration(&self, engine: &UpstreamId, ahead: u64, took: Duration, now: Instant) {
        let noted = self
            .core
            .upstreams
            .lock()
            .note_prefill(engine, ahead, took, now);
        if let Some(estimate) = noted {
            let alone = estimate.unqueued(self.request.prompt_tokens());
            self.core.note_prefill(&self.service, alone, took);
        }
    }

    /// The prefill engine that the scheduler named; `None` when it may not be called now.
    fn planned_prefill_engine(
        &self,
        engine: &UpstreamId,
        tokens: u64,
        zone: &ZoneId,
    ) -> Option<PrefillChoice> {
        let query = self.prefill_query(zone);
        let choice = self.core.planned_prefill(engine, &query, tokens);
        if choice.is_none() {
            let trace = &self.request.trace;
            trace.note(format_args!("read {engine} not possible"));
        }
        choice
    }

    fn prefill_query<'q>(&'q self, zone: &'q ZoneId) -> ChoiceQuery<'q> {
        ChoiceQuery {
            avoid: &[],
            holders: &self.holders,
            connected: &NO_CONNECTIONS,
            filter: &self.request.zones,
            request: &self.request.head.id,
            service: &self.service,
            software: None,
            stage: UpstreamStage::Prefill,
            zone,
        }
    }

    /// The prefill engine to use; `None` when the decode engine is expected to finish sooner.
    fn choose_prefill_engine(&self, tokens: u64, zone: &ZoneId) -> Option<PrefillChoice> {
        let now = steady_clock::now();
        let choice = self
            .core
            .choose_prefill(&self.prefill_query(zone), tokens)?;
        let idle_estimate = PrefillEstimate::new(now).expected(tokens, now);
        let decode_estimate = idle_estimate * DECODE_PREFILL_FACTOR + DECODE_PREFILL_PENALTY;
        (choice.cost <= decode_estimate).then_some(choice)
    }
}

/// Why a prefill was wasted whose call ended with this code.
fn lost_reason(code: ResultCode) -> WastedPrefill {
    match code {
        ResultCode::UpstreamSilent => WastedPrefill::Silent,
        _ => WastedPrefill::EngineLost,
    }
}
