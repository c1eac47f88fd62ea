//! Reading a prompt at a prefill engine, before the request runs at its decode engine.

use {
    super::StreamFlow,
    crate::{
        CallEnd, CallPlan, CallPurpose, CallerDialect, KvHandle, ResourceGuard, UpstreamAnswer,
        UpstreamDialect, WastedPrefill, relay_core::status_verdict,
    },
    http_body_util::{BodyExt, Limited},
    kernel::{ResultCode, UpstreamId, ZoneId, steady_clock},
    policy::{AttemptEnd, CallVerdict, ChoiceQuery, PrefillChoice, PrefillEstimate, UpstreamStage},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The answer to a reading is a few fields.
const MAX_PREFILL_REPLY_BYTES: usize = 64 << 10;
/// A decode engine reads at about half the speed of a prefill engine.
const DECODE_PREFILL_FACTOR: u32 = 2;
/// What a decode engine's own reading counts as beyond its time: it slows the streams that run there.
const DECODE_PREFILL_PENALTY: Duration = Duration::from_millis(150);
/// A reading that takes so many times what was expected counts as lost.
const PREFILL_TIMEOUT_FACTOR: u32 = 3;
/// Beyond that, for engines that nothing is known of and prompts of others that came just before.
const PREFILL_TIMEOUT_SLACK: Duration = Duration::from_millis(300);

impl<D: CallerDialect + UpstreamDialect> StreamFlow<D> {
    /// Has the prompt read by a prefill engine, best in the availability zone of the decode engine: the KV cache goes from
    /// one to the other, and between zones it takes twice as long and costs more. None when none is there, none would be done soon, or the reading failed:
    /// the decode engine reads the prompt itself then.
    pub(super) async fn prefill_prompt(
        &mut self,
        zone: &ZoneId,
    ) -> Option<(KvHandle, ResourceGuard<D>)> {
        let tokens = self.request.prompt_tokens();
        let choice = self.choose_prefill_engine(tokens, zone)?;
        let Self {
            core,
            service,
            tries,
            ..
        } = self;
        if !tries.allow_prefill(|| core.take_retry(service)) {
            return None;
        }
        let upstream = choice.upstream;
        let plan = CallPlan {
            purpose: &CallPurpose::Prefill,
            request: &self.request,
            route: &self.route,
            head_timeout: Some(choice.expected * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_SLACK),
        };
        let began = steady_clock::now();
        let end = self.core.call(plan, upstream.clone()).await;
        self.tries.note(match end {
            CallEnd::Answer(_) => AttemptEnd::Prefilled,
            CallEnd::Denied(_) => AttemptEnd::Blocked,
            CallEnd::Lost(_) | CallEnd::NotRun => AttemptEnd::PrefillRefused,
            CallEnd::Unsent => AttemptEnd::Unsent,
        });
        let answer = match end {
            CallEnd::Answer(answer) => answer,
            CallEnd::Lost(code) => {
                self.core.counts.note_wasted(lost_reason(code), tokens);
                return None;
            }
            CallEnd::Denied(_) | CallEnd::NotRun | CallEnd::Unsent => return None,
        };
        let UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        } = *answer;
        let reading = Limited::new(body, MAX_PREFILL_REPLY_BYTES).collect();
        let bytes = match time::timeout(self.request.left(), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
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
            self.note_pace(&upstream.id, choice.queued_tokens, now - began, now);
        }
        let handle = self.core.dialect.prefill_reply(&upstream, &bytes)?;
        let guard = ResourceGuard::for_kv(self.core.clone(), upstream, handle.clone(), tokens);
        Some((handle, guard))
    }

    /// A prompt was read in so long, with `ahead` tokens to read there.
    fn note_pace(&self, engine: &UpstreamId, ahead: u64, took: Duration, now: Instant) {
        let noted = self
            .core
            .upstreams
            .lock()
            .note_prefill(engine, ahead, took, now);
        if let Some(pace) = noted {
            let alone = pace.unqueued(self.request.prompt_tokens());
            self.core.note_prefill(&self.service, alone, took);
        }
    }

    /// The prefill engine to ask; none when the decode engine is expected to be done sooner.
    fn choose_prefill_engine(&self, tokens: u64, zone: &ZoneId) -> Option<PrefillChoice> {
        let now = steady_clock::now();
        let choice = self.core.upstreams.lock().choose_prefill(
            &ChoiceQuery {
                avoid: &[],
                holders: &self.holders,
                connected: &BTreeSet::new(),
                request: &self.request.head.id,
                service: &self.service,
                stage: UpstreamStage::Prefill,
                zone,
            },
            tokens,
            now,
        )?;
        let unhurried = PrefillEstimate::new(now).expected(tokens, now);
        let own = unhurried * DECODE_PREFILL_FACTOR + DECODE_PREFILL_PENALTY;
        (choice.cost <= own).then_some(choice)
    }
}

/// Why a prompt is lost whose call ended so.
fn lost_reason(code: ResultCode) -> WastedPrefill {
    match code {
        ResultCode::UpstreamSilent => WastedPrefill::Silent,
        _ => WastedPrefill::EngineLost,
    }
}
