//! Finds a decode engine that reserves a place for a request, before its prompt is read.
//!
//! The engines are the arbiters: an instance asks the one that looks best by its own view, and each engine says whether
//! the request fits. While none has room the request waits, for at most the time in which its answer can still be useful.

use {
    crate::{
        LeftoverGuard, OpenCall, OwnAnswer, PlaceName, RelayCore, StreamFlow, UpstreamDialect,
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
const LARGEST_REPLY: usize = 4 << 10;
/// An engine answers a reservation at once; one that takes longer is passed over.
const REPLY_LIMIT: Duration = Duration::from_millis(150);
/// The first pause after all engines refused: a decode engine ends a request about every 300 ms.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause: a round of refusals is a few calls to engines that are busy.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// How many engines of a round are asked before it pauses.
const ROUND_LIMIT: usize = 4;

/// A place at a decode engine.
pub struct ReservedPlace<D: UpstreamDialect> {
    /// Counts as open while the place is held.
    pub call: OpenCall,
    /// Frees the place when it is not used; none when the engines take no reservations.
    pub guard: Option<LeftoverGuard<D>>,
    /// Until when the engine keeps the place.
    pub held_until: Option<Instant>,
    /// The name of the place.
    pub name: Option<PlaceName>,
}

/// Looks for a place.
pub struct PlaceFinder<'a, D: UpstreamDialect> {
    flow: &'a StreamFlow<D>,
    life: Option<Duration>,
}

impl<'a, D: UpstreamDialect> PlaceFinder<'a, D> {
    /// A finder for one request; `life` is how long engines of the service keep a place.
    pub fn new(flow: &'a StreamFlow<D>, life: Option<Duration>) -> Self {
        Self { flow, life }
    }

    /// Waits for a place until a time; one round of engines is asked at least.
    pub async fn find(&self, until: Instant) -> Result<ReservedPlace<D>, OwnAnswer> {
        let come_back = self.flow.come_back();
        let mut pause = FIRST_PAUSE;
        let mut is_first_round = true;
        loop {
            let mut avoid = self.flow.tried.clone();
            for _ in 0..ROUND_LIMIT {
                let Some(upstream) = self.choose(&avoid) else {
                    break;
                };
                avoid.push(upstream.id.clone());
                if let Some(place) = self.reserve(upstream).await {
                    if is_first_round {
                        self.core().note_search(&self.flow.service, false);
                    }
                    return Ok(place);
                }
            }
            if avoid.len() == self.flow.tried.len() {
                return Err(OwnAnswer::later(ResultCode::UpstreamMissing, come_back));
            }
            if std::mem::take(&mut is_first_round) {
                self.core().note_search(&self.flow.service, true);
            }
            if steady_clock::now() + pause > until {
                return Err(OwnAnswer::later(ResultCode::UpstreamRefused, come_back));
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn choose(&self, avoid: &[UpstreamId]) -> Option<Arc<UpstreamRecord>> {
        self.core().choose(&ChoiceQuery {
            avoid,
            holders: &self.flow.holders,
            connected: &self.core().pool.linked(),
            request: &self.flow.request.head.id,
            service: &self.flow.service,
            stage: UpstreamStage::Decode,
            zone: &self.core().settings.load().zone,
        })
    }

    fn note(&self, upstream: &UpstreamRecord, outcome: &str) {
        let story = &self.flow.request.story;
        story.note(format_args!("place {} {outcome}", upstream.id));
    }

    fn core(&self) -> &Arc<RelayCore<D>> {
        &self.flow.core
    }

    async fn reserve(&self, upstream: Arc<UpstreamRecord>) -> Option<ReservedPlace<D>> {
        let tokens = self.flow.tokens_at(&upstream.id);
        let call = OpenCall::new(
            &self.core().board,
            &self.core().counts,
            upstream.clone(),
            tokens,
        );
        let Some(life) = self.life else {
            return Some(ReservedPlace {
                call,
                guard: None,
                held_until: None,
                name: None,
            });
        };
        let asked_at = steady_clock::now();
        let asking = self.ask(&upstream, tokens, life);
        match time::timeout(REPLY_LIMIT, asking).await {
            Ok(PlaceReply::Reserved(name)) => {
                self.note(&upstream, "reserved");
                let guard = LeftoverGuard::for_place(self.core().clone(), upstream, name.clone());
                let held_until = Some(asked_at + life);
                Some(ReservedPlace {
                    call,
                    guard: Some(guard),
                    held_until,
                    name: Some(name),
                })
            }
            Ok(PlaceReply::Full) => {
                self.note(&upstream, "full");
                call.close(policy::CallVerdict::Full);
                None
            }
            Ok(PlaceReply::Failed) | Err(_) => {
                self.note(&upstream, "no answer");
                call.close(policy::CallVerdict::Lost);
                None
            }
        }
    }

    async fn ask(&self, upstream: &UpstreamRecord, tokens: u64, life: Duration) -> PlaceReply {
        let core = self.core();
        let request = core.dialect.reserve_call(upstream, tokens, life);
        let Some((status, body)) = core.ask(upstream, request, LARGEST_REPLY).await else {
            return PlaceReply::Failed;
        };
        if !status.is_success() {
            return PlaceReply::Full;
        }
        match core.dialect.place_reply(&body) {
            Some(name) => PlaceReply::Reserved(name),
            None => PlaceReply::Failed,
        }
    }
}

enum PlaceReply {
    Failed,
    Full,
    Reserved(PlaceName),
}
