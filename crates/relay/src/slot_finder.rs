//! Finds a decode engine that reserves a slot for a request, before its prompt is read.
//!
//! The engines are the arbiters: an instance asks the one that looks best by its own view, and each engine says whether
//! the request fits. While none has room the request waits, for at most the time in which its answer can still be useful.

use {
    crate::{
        ErrorResponse, OpenCall, RelayCore, ResourceGuard, SlotName, StreamFlow, UpstreamDialect,
    },
    kernel::{ResultCode, UpstreamId, steady_clock},
    policy::{ChoiceQuery, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The answer to a reservation is a few fields.
const MAX_REPLY_BYTES: usize = 4 << 10;
/// An engine answers a reservation at once; one that takes longer is passed over.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// The first pause after all engines refused: a decode engine ends a request about every 300 ms.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause: a round of refusals is a few calls to engines that are busy.
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// How many engines of a round are asked before it pauses.
const ENGINES_PER_ROUND: usize = 4;

/// A slot at a decode engine.
pub struct ReservedSlot<D: UpstreamDialect> {
    /// Counts as open while the slot is held.
    pub call: OpenCall,
    /// Frees the slot when it is not used; none when the engines take no reservations.
    pub guard: Option<ResourceGuard<D>>,
    /// Until when the engine keeps the slot.
    pub reserved_until: Option<Instant>,
    /// The name of the slot.
    pub name: Option<SlotName>,
}

/// Looks for a slot.
pub struct SlotFinder<'a, D: UpstreamDialect> {
    flow: &'a StreamFlow<D>,
    life: Option<Duration>,
}

impl<'a, D: UpstreamDialect> SlotFinder<'a, D> {
    /// A finder for one request; `life` is how long engines of the service keep a slot.
    pub fn new(flow: &'a StreamFlow<D>, life: Option<Duration>) -> Self {
        Self { flow, life }
    }

    /// Waits for a slot until a time; one round of engines is asked at least.
    pub async fn find(&self, until: Instant) -> Result<ReservedSlot<D>, ErrorResponse> {
        let retry_after = self.flow.retry_after();
        let mut pause = FIRST_PAUSE;
        let mut is_first_round = true;
        loop {
            let mut avoid = self.flow.tried.clone();
            for _ in 0..ENGINES_PER_ROUND {
                let Some(upstream) = self.choose(&avoid) else {
                    break;
                };
                avoid.push(upstream.id.clone());
                if let Some(slot) = self.reserve(upstream).await {
                    if is_first_round {
                        self.core().note_search(&self.flow.service, false);
                    }
                    return Ok(slot);
                }
            }
            if avoid.len() == self.flow.tried.len() {
                return Err(ErrorResponse::with_retry_after(
                    ResultCode::UpstreamMissing,
                    retry_after,
                ));
            }
            if std::mem::take(&mut is_first_round) {
                self.core().note_search(&self.flow.service, true);
            }
            if steady_clock::now() + pause > until {
                return Err(ErrorResponse::with_retry_after(
                    ResultCode::UpstreamRefused,
                    retry_after,
                ));
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    fn choose(&self, avoid: &[UpstreamId]) -> Option<Arc<UpstreamRecord>> {
        self.core().choose(&ChoiceQuery {
            avoid,
            holders: &self.flow.holders,
            connected: &self.core().pool.connected(),
            request: &self.flow.request.head.id,
            service: &self.flow.service,
            stage: UpstreamStage::Decode,
            zone: &self.core().settings.load().zone,
        })
    }

    fn note(&self, upstream: &UpstreamRecord, outcome: &str) {
        let trace = &self.flow.request.trace;
        trace.note(format_args!("place {} {outcome}", upstream.id));
    }

    fn core(&self) -> &Arc<RelayCore<D>> {
        &self.flow.core
    }

    async fn reserve(&self, upstream: Arc<UpstreamRecord>) -> Option<ReservedSlot<D>> {
        let tokens = self.flow.tokens_at(&upstream.id);
        let call = OpenCall::new(
            &self.core().upstreams,
            &self.core().counts,
            upstream.clone(),
            tokens,
        );
        let Some(life) = self.life else {
            return Some(ReservedSlot {
                call,
                guard: None,
                reserved_until: None,
                name: None,
            });
        };
        let asked_at = steady_clock::now();
        let asking = self.ask(&upstream, tokens, life);
        match time::timeout(REPLY_TIMEOUT, asking).await {
            Ok(SlotReply::Reserved(name)) => {
                self.note(&upstream, "reserved");
                let guard = ResourceGuard::for_slot(self.core().clone(), upstream, name.clone());
                let reserved_until = Some(asked_at + life);
                Some(ReservedSlot {
                    call,
                    guard: Some(guard),
                    reserved_until,
                    name: Some(name),
                })
            }
            Ok(SlotReply::Full) => {
                self.note(&upstream, "full");
                call.close(policy::CallVerdict::Full);
                None
            }
            Ok(SlotReply::Failed) | Err(_) => {
                self.note(&upstream, "no answer");
                call.close(policy::CallVerdict::Lost);
                None
            }
        }
    }

    async fn ask(&self, upstream: &UpstreamRecord, tokens: u64, life: Duration) -> SlotReply {
        let core = self.core();
        let request = core.dialect.reserve_call(upstream, tokens, life);
        let Some((status, body)) = core.ask(upstream, request, MAX_REPLY_BYTES).await else {
            return SlotReply::Failed;
        };
        if !status.is_success() {
            return SlotReply::Full;
        }
        match core.dialect.reserve_reply(&body) {
            Some(name) => SlotReply::Reserved(name),
            None => SlotReply::Failed,
        }
    }
}

enum SlotReply {
    Failed,
    Full,
    Reserved(SlotName),
}
