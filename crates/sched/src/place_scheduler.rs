//! The scheduler of the decode places of one cell.
//!
//! Answers bursts in which many instances want the memory of few engines at once: places are given in one order and where
//! the memory suffices for what the running streams are still going to need. A request that would wait too long is refused
//! at once, with the time at which its turn is expected.

mod choosing;
mod reports;
mod waiting_outlook;

use {
    crate::{
        EngineInfo, EngineLoad, LengthBelief, LengthModel, PlaceDecision, PlaceGrant, PlaceKey,
        PlaceNote, PlaceQueue, PlaceReply, PlaceRequest, RefusalReason, SchedulerRows, TurnTable,
        WaitDecision, WaitingRequest, ZoneSpare, ended_places::EndedPlaces,
        engine_state::EngineState, granted_place::GrantedPlace, place_queue::MAX_WAITING,
        refusal_rule, spare_zones::SpareZones, unfit_sizes::UnfitSizes,
    },
    kernel::{InstanceId, UpstreamId},
    std::{
        cell::Cell,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A place that no instance reported on for this long is free: instances report once a second.
const PLACE_TTL: Duration = Duration::from_secs(5);
/// The time from a place to the first event beside the prefill: reservation, transfer and first step.
const START_TIME: Duration = Duration::from_millis(50);

/// Longer times that callers state are not told apart.
const MAX_LEFT: Duration = Duration::from_secs(3600);

/// The places that a scheduler knows; what instances report beyond them is left to the engines.
pub const MAX_PLACES: usize = 8_192;

/// Schedules the decode places of one cell.
#[derive(Debug)]
pub struct PlaceScheduler {
    ended: EndedPlaces,
    engines: BTreeMap<UpstreamId, EngineState>,
    lengths: LengthModel,
    /// How often an engine was looked at, for a request.
    looks: Cell<u64>,
    places: BTreeMap<PlaceKey, GrantedPlace>,
    queue: PlaceQueue,
    spares: SpareZones,
    turns: TurnTable,
}

impl Default for PlaceScheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl PlaceScheduler {
    /// A scheduler that knows no engines yet.
    pub fn new() -> Self {
        Self {
            ended: EndedPlaces::default(),
            engines: BTreeMap::new(),
            lengths: LengthModel::new(),
            looks: Cell::new(0),
            places: BTreeMap::new(),
            queue: PlaceQueue::new(),
            spares: SpareZones::default(),
            turns: TurnTable::new(),
        }
    }

    /// Replaces the engines of the cell. What is known of those that stay is kept.
    pub fn set_engines(&mut self, engines: &[EngineInfo], now: Instant) {
        let is_gone = |id: &UpstreamId| !engines.iter().any(|info| info.id == *id);
        let places = self.places.iter();
        let lost = places
            .filter(|(_, place)| is_gone(&place.grant.engine))
            .map(|(key, _)| key.clone());
        for key in lost.collect::<Vec<_>>() {
            self.take_place(&key, None, now);
        }
        let mut before = std::mem::take(&mut self.engines);
        for info in engines {
            let state = match before.remove(&info.id) {
                Some(mut state) => {
                    state.info = info.clone();
                    state
                }
                None => EngineState::new(info.clone(), now),
            };
            self.engines.insert(info.id.clone(), state);
        }
    }

    /// Sets the memory of an engine, tokens, as the engine itself reported it.
    pub fn set_capacity(&mut self, engine: &UpstreamId, tokens: u64) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.memory.set_capacity(tokens);
        }
    }

    /// The decode engines whose memory is not known yet.
    pub fn unknown_capacities(&self) -> Vec<UpstreamId> {
        let states = self.engines.values();
        let unknown = states
            .filter(|state| state.info.decodes && state.memory.capacity().is_none())
            .map(|state| state.info.id.clone());
        unknown.collect()
    }

    /// Sets what other availability zones can take over.
    pub fn set_spare_zones(&mut self, zones: Vec<ZoneSpare>, now: Instant) {
        self.spares.set(zones, now);
    }

    /// The memory that this cell can offer to other availability zones, tokens; 0 while requests wait here.
    pub fn spare(&self, now: Instant) -> u64 {
        if self.has_waiting() {
            return 0;
        }
        let states = self.engines.values();
        let open = states.filter(|state| state.info.decodes && state.info.is_open);
        open.filter(|state| state.memory.capacity().is_some())
            .map(|state| state.memory.spare(now))
            .fold(0, u64::saturating_add)
    }

    /// Decides on a request, or returns the state of one that waits already. A request that waits has to be submitted
    /// again from time to time, or it is forgotten.
    pub fn submit(&mut self, from: &InstanceId, request: PlaceRequest, now: Instant) -> PlaceReply {
        self.submit_bounded(from, request, true, now)
    }

    /// Decides like [`Self::submit`]. Without room for one that waits, a request that would wait is refused, with the time
    /// at which its place is expected.
    pub fn submit_bounded(
        &mut self,
        from: &InstanceId,
        mut request: PlaceRequest,
        has_room: bool,
        now: Instant,
    ) -> PlaceReply {
        let has_room = has_room && self.queue.len() < MAX_WAITING;
        request.need = request.need.bounded();
        if let Some(place) = self.places.get(&request.key) {
            return PlaceReply::Granted(place.grant.clone());
        }
        if self.queue.touch(&request.key, now) {
            return PlaceReply::Queued;
        }
        if !self.engines.values().any(|state| state.info.decodes) {
            return PlaceReply::Unknown;
        }
        if self.is_oversized(&request) {
            return PlaceReply::Refused {
                reason: RefusalReason::Oversized,
                retry_after: request.left,
            };
        }
        let is_foreign = request.is_foreign;
        let waiting = self.waiting(from, request, now);
        let belief = self.belief(&waiting.request);
        let ahead = self.queue.ahead_of(&waiting, now);
        if ahead.requests < 1.0
            && let Some(grant) = self.place(&waiting, &belief, None, now)
        {
            return PlaceReply::Granted(grant);
        }
        if is_foreign {
            return PlaceReply::Unknown;
        }
        let outlook = self.outlook(&waiting.request, &belief, now);
        let expected = outlook.wait(&belief, ahead.tokens);
        let decision = match refusal_rule::decide(&waiting, expected, now) {
            WaitDecision::Wait if !has_room => refusal_rule::refuse(&waiting, expected, now),
            decision => decision,
        };
        match decision {
            WaitDecision::Wait => {
                self.queue.push(waiting, now);
                PlaceReply::Queued
            }
            // Those ahead may be waiting for other engines: the next tick tells.
            WaitDecision::Refuse { .. }
                if has_room && ahead.requests >= 1.0 && outlook.fits_now() =>
            {
                self.queue.push(waiting, now);
                PlaceReply::Queued
            }
            WaitDecision::Refuse { retry_after } => {
                let retry_after = self
                    .turn_wait(&waiting, &belief, ahead.tokens, now)
                    .map_or(retry_after, |later| later.max(retry_after));
                let size = waiting.request.need.prompt + belief.mean() as u64;
                if let Some(zone) = self.spares.take(size, now) {
                    return PlaceReply::Elsewhere(zone);
                }
                self.refuse(&waiting, retry_after, now)
            }
        }
    }

    /// Records what an instance reports.
    pub fn note(&mut self, from: &InstanceId, note: PlaceNote, now: Instant) {
        match note {
            PlaceNote::Began(key) => self.note_began(&key, now),
            PlaceNote::Ended {
                events,
                is_whole,
                key,
            } => self.note_ended(&key, events, is_whole, now),
            PlaceNote::Holds(stream) => self.note_held(from, &stream, now),
            PlaceNote::Left(key) => {
                self.queue.remove(&key);
                self.free(&key, None, now);
            }
            PlaceNote::Prefilled { engine, key, took } => {
                if let Some(state) = self.engines.get_mut(&engine) {
                    state.prefill.end(&key, took, now);
                }
            }
            PlaceNote::Rejected(key) => self.note_rejected(&key, now),
            PlaceNote::Released(key) => self.free(&key, None, now),
        }
    }

    /// Decides on requests that wait. To be called after notes, and every few tens of milliseconds while any waits.
    pub fn tick(&mut self, now: Instant) -> Vec<PlaceDecision> {
        let mut decisions = self.expire(now);
        let mut unfit = UnfitSizes::default();
        let mut outlooks = BTreeMap::new();
        let mut kept_free: Option<UpstreamId> = None;
        let mut ahead = 0.0;
        for key in self.queue.order(now) {
            let Some(waiting) = self.queue.get(&key).cloned() else {
                continue;
            };
            let belief = self.belief(&waiting.request);
            let grant = match unfit.covers(&waiting.request, &belief) {
                true => None,
                false => self.place(&waiting, &belief, kept_free.as_ref(), now),
            };
            let reply = match grant {
                Some(grant) => Some(PlaceReply::Granted(grant)),
                None => {
                    unfit.add(&waiting.request, &belief);
                    let wait = self.outlook_once(&mut outlooks, &waiting.request, &belief, now);
                    let wait = wait.wait(&belief, ahead);
                    match refusal_rule::decide(&waiting, wait, now) {
                        WaitDecision::Wait => None,
                        WaitDecision::Refuse { retry_after } => {
                            Some(self.refuse(&waiting, retry_after, now))
                        }
                    }
                }
            };
            match reply {
                Some(reply) => {
                    self.queue.remove(&key);
                    decisions.push(PlaceDecision {
                        instance: waiting.instance,
                        key,
                        reply,
                    });
                }
                None => {
                    ahead += waiting.request.need.prompt as f64 + belief.mean();
                    if kept_free.is_none() {
                        kept_free = self.earliest_fit(&waiting.request, &belief, now);
                    }
                }
            }
        }
        decisions
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// How often an engine was looked at for whether and when a request fits there: what decisions cost, without a clock.
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    /// The requests and places of each customer.
    pub fn queue(&self) -> &PlaceQueue {
        &self.queue
    }

    /// Forgets the requests and places of an instance that is gone.
    pub fn drop_instance(&mut self, instance: &InstanceId, now: Instant) {
        self.queue.drop_instance(instance);
        let places = self.places.iter();
        let held = places
            .filter(|(_, place)| place.instance == *instance)
            .map(|(key, _)| key.clone());
        // It may have been cut off only: what it reports later counts.
        for key in held.collect::<Vec<_>>() {
            self.take_place(&key, None, now);
        }
    }

    /// The number of rows of each table.
    pub fn rows(&self) -> SchedulerRows {
        SchedulerRows {
            ended: self.ended.len(),
            places: self.places.len(),
            queue: self.queue.len(),
            turns: self.turns.len(),
        }
    }

    /// The load of each engine.
    pub fn loads(&self, now: Instant) -> BTreeMap<UpstreamId, EngineLoad> {
        let mut loads = BTreeMap::new();
        for (id, state) in &self.engines {
            let load = EngineLoad {
                queued_prefill: state.prefill.left(now),
                ..state.memory.load(now)
            };
            loads.insert(id.clone(), load);
        }
        loads
    }

    fn belief(&self, request: &PlaceRequest) -> LengthBelief {
        self.lengths.predict(&request.work, &request.need)
    }

    fn waiting(
        &mut self,
        from: &InstanceId,
        request: PlaceRequest,
        now: Instant,
    ) -> WaitingRequest {
        let turn = request.turn.and_then(|turn| self.turns.take(turn, now));
        let prefill = self.prefill_time(request.need.prompt, now) + START_TIME;
        WaitingRequest {
            arrived: turn.as_ref().map_or(now, |turn| turn.arrived),
            asked_at: now,
            has_turn: turn.is_some(),
            instance: from.clone(),
            leaves_at: now + request.left.min(MAX_LEFT),
            on_time_until: now + request.target_left.min(MAX_LEFT).saturating_sub(prefill),
            useful_until: now
                + request
                    .first_event_left
                    .min(MAX_LEFT)
                    .saturating_sub(prefill),
            request,
        }
    }

    fn refuse(
        &mut self,
        waiting: &WaitingRequest,
        retry_after: Duration,
        now: Instant,
    ) -> PlaceReply {
        if let Some(turn) = waiting.request.turn {
            self.turns.promise(turn, waiting.arrived, retry_after, now);
        }
        PlaceReply::Refused {
            reason: RefusalReason::Late,
            retry_after,
        }
    }

    /// Gives a request a place where it fits, but not at the engine that is kept free for one before it.
    fn place(
        &mut self,
        waiting: &WaitingRequest,
        belief: &LengthBelief,
        kept_free: Option<&UpstreamId>,
        now: Instant,
    ) -> Option<PlaceGrant> {
        let request = &waiting.request;
        let grant = self.choose(request, belief, kept_free, now)?;
        self.ended.remove(&request.key);
        let tokens = request.need.prompt + belief.mean() as u64;
        if let Some(state) = self.engines.get_mut(&grant.engine) {
            let key = request.key.clone();
            let prompt = request.need.prompt;
            state.memory.grant(key, prompt, grant.reserve, *belief, now);
        }
        if let Some(prefill) = &grant.prefill
            && let Some(state) = self.engines.get_mut(prefill)
        {
            let key = request.key.clone();
            state.prefill.assign(key, request.need.prompt, now);
        }
        self.queue
            .charge(request.customer.as_ref(), request.rank, tokens);
        let place = GrantedPlace {
            grant: grant.clone(),
            has_begun: false,
            heard_at: now,
            instance: waiting.instance.clone(),
            need: request.need,
            work: request.work.clone(),
        };
        self.places.insert(request.key.clone(), place);
        Some(grant)
    }

    /// Drops what nobody reported on, and refuses the requests whose useful time is over.
    fn expire(&mut self, now: Instant) -> Vec<PlaceDecision> {
        let is_silent =
            |place: &GrantedPlace| now.saturating_duration_since(place.heard_at) >= PLACE_TTL;
        let silent = self.places.iter().filter(|(_, place)| is_silent(place));
        let silent: Vec<PlaceKey> = silent.map(|(key, _)| key.clone()).collect();
        // Their instances may be cut off only: what they report later counts.
        for key in silent {
            self.take_place(&key, None, now);
        }
        for state in self.engines.values_mut() {
            state.prefill.expire(now);
        }
        self.turns.expire(now);
        let mut decisions = Vec::new();
        for waiting in self.queue.expire(now) {
            if waiting.useful_until > now {
                continue;
            }
            let belief = self.belief(&waiting.request);
            let outlook = self.outlook(&waiting.request, &belief, now);
            let wait = outlook.wait(&belief, 0.0);
            let WaitDecision::Refuse { retry_after } = refusal_rule::decide(&waiting, wait, now)
            else {
                continue;
            };
            let reply = self.refuse(&waiting, retry_after, now);
            decisions.push(PlaceDecision {
                instance: waiting.instance,
                key: waiting.request.key,
                reply,
            });
        }
        decisions
    }
}
