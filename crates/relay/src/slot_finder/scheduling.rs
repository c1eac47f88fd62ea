//! Asks the scheduler of an availability zone for a place, and reserves it at the engine.

use {
    super::{PrefillPlan, Reservation, ReservedSlot, SlotFinder},
    crate::{ErrorResponse, HeldPlace, PlaceAnswer, PlaceOutcome, PlaceScope, UpstreamDialect},
    kernel::{ResultCode, ZoneId},
    sched::{PlaceGrant, PlaceKey, PlaceReply, PlaceRequest},
    std::time::{Duration, Instant},
};

/// How often the scheduler is asked again after an engine refused the place that it gave.
const MAX_REJECTIONS: usize = 3;

impl<D: UpstreamDialect> SlotFinder<'_, D> {
    /// Whether the scheduler of the own availability zone is asked for places.
    pub(super) fn asks_scheduler(&self) -> bool {
        let zone = &self.core().settings.load().zone;
        self.flow.request.zones.allows(zone) && self.is_scheduled(zone)
    }

    /// Whether the places of an availability zone are scheduled: its engines take reservations, and there are enough.
    pub(super) fn is_scheduled(&self, zone: &ZoneId) -> bool {
        let core = self.core();
        let service = &self.flow.service;
        self.life.is_some()
            && core.places.is_open()
            && PlaceScope::zone_engines(&core.upstreams, service, zone)
                >= core.settings.load().scheduled_engines
    }

    /// Asks for places until `until`. `None` when no scheduler decides, or none of its places can be had.
    pub(super) async fn ask_scheduler(
        &self,
        until: Instant,
    ) -> Option<Result<ReservedSlot<D>, ErrorResponse>> {
        let own_zone = self.core().settings.load().zone.clone();
        let mut zone = own_zone.clone();
        let mut refusers = Vec::new();
        while refusers.len() < MAX_REJECTIONS {
            let request = self.flow.place_request(&zone, &refusers);
            let key = request.key.clone();
            let scope = self.scope(&zone);
            let answer = self.ask_place(&scope, request, until).await;
            match answer.reply {
                PlaceReply::Granted(grant) => match self.take_grant(&grant, key, &scope).await {
                    Some(slot) => {
                        self.core().note_search(&self.flow.service, false);
                        return Some(Ok(slot));
                    }
                    None => refusers.push(grant.engine),
                },
                PlaceReply::Refused {
                    reason,
                    retry_after,
                } => {
                    let trace = &self.flow.request.trace;
                    let back = retry_after.as_millis();
                    trace.note(format_args!("refused {reason:?}, back in {back} ms"));
                    return Some(Err(self.refusal(retry_after)));
                }
                PlaceReply::Queued => return Some(Err(self.refusal(self.flow.retry_after()))),
                PlaceReply::Elsewhere(other) => {
                    let is_allowed = self.flow.request.zones.allows(&other);
                    if zone != own_zone || other == own_zone || !is_allowed {
                        return self.unanswered("no place elsewhere");
                    }
                    self.flow
                        .request
                        .trace
                        .note(format_args!("sent to {other}"));
                    self.core().places.counts.note(PlaceOutcome::Elsewhere);
                    zone = other;
                }
                PlaceReply::Unknown => return self.unanswered("no scheduler"),
            }
        }
        self.unanswered("no place held")
    }

    async fn ask_place(
        &self,
        scope: &PlaceScope,
        request: PlaceRequest,
        until: Instant,
    ) -> PlaceAnswer {
        let trace = &self.flow.request.trace;
        let places = &self.core().places;
        let answer = places.find(scope, request, until, trace).await;
        if let Some(scheduler) = &answer.scheduler {
            trace.note(format_args!("asked {scheduler}"));
        }
        answer
    }

    fn scope(&self, zone: &ZoneId) -> PlaceScope {
        let request = &self.flow.request.head.id;
        PlaceScope::of_request(&self.core().upstreams, &self.flow.service, zone, request)
    }

    /// Reserves a granted place at its engine; `None` when the engine is not to be had.
    async fn take_grant(
        &self,
        grant: &PlaceGrant,
        key: PlaceKey,
        scope: &PlaceScope,
    ) -> Option<ReservedSlot<D>> {
        let places = &self.core().places;
        self.note_grant(grant);
        let stream = self.flow.held_stream(grant.engine.clone(), key);
        let place = HeldPlace::new(places.clone(), scope.clone(), stream);
        let own_zone = self.core().settings.load().zone.clone();
        let query = self.query(&self.flow.tried, &own_zone);
        if let Some(engine) = self.core().planned(&grant.engine, &query) {
            let reservation = self.reserve_tokens(engine, grant.reserve).await;
            if let Reservation::Reserved(slot) = reservation {
                return Some(ReservedSlot {
                    place: Some(place),
                    prefill: match &grant.prefill {
                        Some(engine) => PrefillPlan::At(engine.clone()),
                        None => PrefillPlan::Chosen,
                    },
                    ..*slot
                });
            }
        }
        places.counts.note(PlaceOutcome::Rejected);
        place.rejected();
        None
    }

    fn note_grant(&self, grant: &PlaceGrant) {
        self.core().places.counts.note(PlaceOutcome::Granted);
        let reserve = grant.reserve;
        let prefill = grant.prefill.as_deref().unwrap_or("none");
        let engine = &grant.engine;
        let trace = &self.flow.request.trace;
        trace.note(format_args!("granted {engine} {reserve} from {prefill}"));
    }

    fn refusal(&self, retry_after: Duration) -> ErrorResponse {
        self.core().places.counts.note(PlaceOutcome::Refused);
        self.core().note_search(&self.flow.service, true);
        ErrorResponse::with_retry_after(ResultCode::UpstreamRefused, retry_after)
    }

    /// Notes that the request goes on by the own view.
    fn unanswered(&self, reason: &str) -> Option<Result<ReservedSlot<D>, ErrorResponse>> {
        self.core().places.counts.note(PlaceOutcome::Unanswered);
        self.flow.request.trace.note(format_args!("{reason}"));
        None
    }
}
