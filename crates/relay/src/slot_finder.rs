//! Reserves a slot at a decode engine for a request, before its prompt is prefilled.
//!
//! The scheduler of the availability zone is asked for a place first. Without its answer, an instance asks the engine that
//! looks best by its own view. In both cases the engines decide: they accept or refuse. While all engines are full the
//! request waits, at most as long as its answer can still be on time.

mod scheduling;

use {
    crate::{
        ErrorResponse, HeldPlace, OpenCall, PlaceScope, RelayCore, ResourceGuard, SlotName,
        SlotWait, StreamFlow, UpstreamDialect,
    },
    kernel::{ResultCode, UpstreamId, ZoneId, steady_clock},
    policy::{ChoiceQuery, UpstreamRecord, UpstreamStage},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The answer to a reservation has only a few fields.
const MAX_REPLY_BYTES: usize = 4 << 10;
/// An engine answers a reservation at once; one that takes longer is skipped.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// The first pause after all engines refused: a decode engine finishes a request about every 300 ms.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause between rounds: a round costs only a few calls to busy engines.
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// How many engines are asked before a pause.
const ENGINES_PER_ROUND: usize = 4;
static NO_CONNECTIONS: BTreeSet<UpstreamId> = BTreeSet::new();

/// A reserved slot at a decode engine.
pub struct ReservedSlot<D: UpstreamDialect> {
    /// Keeps the call counted as open while the slot is held.
    pub call: OpenCall,
    /// Releases the slot if it is not used; `None` when engines take no reservations.
    pub guard: Option<ResourceGuard<D>>,
    /// When the reservation expires; `None` when engines take no reservations.
    pub reserved_until: Option<Instant>,
    /// The name of the reservation; `None` when engines take none.
    pub name: Option<SlotName>,
    /// Reports to the scheduler what becomes of the place; `None` when places are not scheduled.
    pub place: Option<HeldPlace>,
    /// Where the prompt is to be prefilled.
    pub prefill: PrefillPlan,
}

/// Where the prompt of a request is to be prefilled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PrefillPlan {
    /// At this engine if it may be called, or else by the own choice.
    At(UpstreamId),
    /// By the own choice.
    Chosen,
}

/// Finds a slot for one request.
pub struct SlotFinder<'a, D: UpstreamDialect> {
    flow: &'a StreamFlow<D>,
    life: Option<Duration>,
}

impl<'a, D: UpstreamDialect> SlotFinder<'a, D> {
    /// A finder for one request; `life` is how long engines of the service keep a reservation.
    pub fn new(flow: &'a StreamFlow<D>, life: Option<Duration>) -> Self {
        Self { flow, life }
    }

    /// Waits for a slot: by the scheduler where there is one, or else by the own view.
    ///
    /// # Errors
    ///
    /// All engines are full, or the service has none.
    pub async fn find(&self, wait: SlotWait) -> Result<ReservedSlot<D>, ErrorResponse> {
        if self.asks_scheduler()
            && let Some(found) = self.ask_scheduler(wait.in_queue).await
        {
            return found;
        }
        self.find_by_view(wait.by_own_view).await
    }

    /// Waits for a slot until `until`, but asks at least one round of engines.
    async fn find_by_view(&self, until: Instant) -> Result<ReservedSlot<D>, ErrorResponse> {
        let retry_after = self.flow.retry_after();
        let mut pause = FIRST_PAUSE;
        let mut is_first_round = true;
        // Whether any engine answered, if only to refuse.
        let mut is_answered = false;
        loop {
            let mut avoid = self.flow.tried.clone();
            for _ in 0..ENGINES_PER_ROUND {
                let Some(upstream) = self.choose(&avoid) else {
                    break;
                };
                avoid.push(upstream.id.clone());
                match self.reserve(upstream).await {
                    Reservation::Reserved(slot) => {
                        if is_first_round {
                            self.core().note_search(&self.flow.service, false);
                        }
                        return Ok(self.announced(*slot));
                    }
                    Reservation::Full => is_answered = true,
                    Reservation::Silent => {
                        if self.core().reach.is_lost(&self.flow.service) {
                            return Err(self.unreachable());
                        }
                    }
                }
            }
            if avoid.len() == self.flow.tried.len() {
                let settings = self.core().settings.load();
                let query = self.query(&avoid, &settings.zone);
                return Err(self.core().missing_upstream(&query, retry_after));
            }
            if std::mem::take(&mut is_first_round) {
                self.core().note_search(&self.flow.service, true);
                self.flow.note_wanted();
            }
            if steady_clock::now() + pause > until {
                return Err(match is_answered {
                    true => {
                        ErrorResponse::with_retry_after(ResultCode::UpstreamRefused, retry_after)
                    }
                    false => self.unreachable(),
                });
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    fn choose(&self, avoid: &[UpstreamId]) -> Option<Arc<UpstreamRecord>> {
        self.core().choose(&ChoiceQuery {
            connected: &self.core().pool.connected(),
            ..self.query(avoid, &self.core().settings.load().zone)
        })
    }

    /// The query for a decode engine, apart from the idle connections.
    fn query<'q>(&'q self, avoid: &'q [UpstreamId], zone: &'q ZoneId) -> ChoiceQuery<'q> {
        ChoiceQuery {
            avoid,
            connected: &NO_CONNECTIONS,
            filter: &self.flow.request.zones,
            holders: &self.flow.holders,
            request: &self.flow.request.head.id,
            service: &self.flow.service,
            software: self.flow.software.as_ref(),
            stage: UpstreamStage::Decode,
            zone,
        }
    }

    fn unreachable(&self) -> ErrorResponse {
        let retry_after = self.flow.retry_after();
        ErrorResponse::with_retry_after(ResultCode::UpstreamUnreachable, retry_after)
    }

    fn note(&self, upstream: &UpstreamRecord, outcome: &str) {
        let trace = &self.flow.request.trace;
        trace.note(format_args!("place {} {outcome}", upstream.id));
    }

    fn core(&self) -> &Arc<RelayCore<D>> {
        &self.flow.core
    }

    /// Announces a slot that no scheduler gave, so that schedulers know what their engines run.
    fn announced(&self, slot: ReservedSlot<D>) -> ReservedSlot<D> {
        let engine = &slot.call.upstream;
        if !self.is_scheduled(&engine.zone) {
            return slot;
        }
        let scope = PlaceScope::of_engine(&self.core().upstreams, engine);
        let key = self.flow.next_place_key();
        let stream = self.flow.held_stream(engine.id.clone(), key);
        let place = HeldPlace::new(self.core().places.clone(), scope, stream);
        place.announce();
        ReservedSlot {
            place: Some(place),
            ..slot
        }
    }

    async fn reserve(&self, upstream: Arc<UpstreamRecord>) -> Reservation<D> {
        let tokens = self.flow.tokens_at(&upstream.id);
        self.reserve_tokens(upstream, tokens).await
    }

    async fn reserve_tokens(&self, upstream: Arc<UpstreamRecord>, tokens: u64) -> Reservation<D> {
        let call = OpenCall::new(
            &self.core().upstreams,
            &self.core().counts,
            upstream.clone(),
            tokens,
        );
        let Some(life) = self.life else {
            return Reservation::Reserved(Box::new(ReservedSlot {
                call,
                guard: None,
                reserved_until: None,
                name: None,
                place: None,
                prefill: PrefillPlan::Chosen,
            }));
        };
        let asked_at = steady_clock::now();
        let asking = self.ask(&upstream, tokens, life);
        match time::timeout(REPLY_TIMEOUT, asking).await {
            Ok(SlotReply::Reserved(name)) => {
                self.note(&upstream, "reserved");
                let guard = ResourceGuard::for_slot(self.core().clone(), upstream, name.clone());
                let reserved_until = Some(asked_at + life);
                Reservation::Reserved(Box::new(ReservedSlot {
                    call,
                    guard: Some(guard),
                    reserved_until,
                    name: Some(name),
                    place: None,
                    prefill: PrefillPlan::Chosen,
                }))
            }
            Ok(SlotReply::Full) => {
                self.note(&upstream, "full");
                call.close(policy::CallVerdict::Full);
                Reservation::Full
            }
            Ok(SlotReply::Failed) => {
                self.note(&upstream, "no answer");
                call.close(policy::CallVerdict::Lost);
                Reservation::Silent
            }
            Err(_) => {
                self.core().reach.note_silence(&upstream);
                self.note(&upstream, "no answer");
                call.close(policy::CallVerdict::Lost);
                Reservation::Silent
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
        match core.dialect.reserve_reply(&body.bytes) {
            Some(name) => SlotReply::Reserved(name),
            None => SlotReply::Failed,
        }
    }
}

/// How asking one engine ended.
enum Reservation<D: UpstreamDialect> {
    Full,
    Reserved(Box<ReservedSlot<D>>),
    Silent,
}

enum SlotReply {
    Failed,
    Full,
    Reserved(SlotName),
}
