//! What the clairvoyant policy sees at one moment.

use {
    crate::{
        policies::{
            clairvoyant_order::ClairvoyantOrder,
            clairvoyant_plan::{ClairvoyantPlan, LongPrompts},
        },
        scenario::{engine_sizes::EngineSizes, work_mix::WorkMix},
        world::{CancelPlan, ReadingPhase, RequestPlan, WorldTruth},
    },
    std::{
        cell::OnceCell,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

type RequestIndex = usize;
type EngineIndex = usize;

/// The part of the eviction time that a read KV cache may wait for its place or the link.
const EVICTION_PART: f64 = 0.6;

/// The part of a full engine's between-token time that a patient request is taken to meet at the least.
const LEAST_STEP_PART: f64 = 0.85;
/// The part of the tightest first-token target within which a short prompt is read.
const SHORT_PART: f64 = 0.25;
/// A transfer under this needn't wait for its turn.
const SMALL_TRANSFER: Duration = Duration::from_millis(20);

/// What counts for a request while it waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingProspect {
    /// Seconds of the availability zone that it takes of its scarcest resource.
    cost: f64,
    /// When it has to be read at the latest.
    pub(crate) latest: Instant,
    patient: bool,
}

/// Bytes that have yet to cross the link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueuedBytes {
    pub(crate) all: f64,
    pub(crate) urgent: f64,
}

/// When decode places are free.
struct PlaceForecast {
    /// When streams end, the first one first.
    ends: Vec<Instant>,
    /// Places that are free now.
    free: usize,
}

/// The truth at `now`, and what follows from it.
pub(crate) struct ClairvoyantView<'a> {
    /// The most streams an engine is given.
    cap: u32,
    pub(crate) now: Instant,
    places: OnceCell<PlaceForecast>,
    plan: ClairvoyantPlan,
    pub(crate) truth: &'a WorldTruth,
}

impl<'a> ClairvoyantView<'a> {
    pub(crate) fn new(now: Instant, truth: &'a WorldTruth, plan: ClairvoyantPlan) -> Self {
        let cap = match plan.guards {
            true => guarded_cap(&truth.file.engines, &truth.file.rows),
            false => truth.file.engines.decode_places,
        };
        Self {
            cap,
            places: OnceCell::new(),
            now,
            plan,
            truth,
        }
    }

    pub(crate) fn mix(&self, request: RequestIndex) -> &WorkMix {
        &self.truth.file.rows[self.request(request).row]
    }

    pub(crate) fn request(&self, request: RequestIndex) -> &RequestPlan {
        &self.truth.plans[request]
    }

    pub(crate) fn bytes(&self, request: RequestIndex) -> f64 {
        f64::from(self.request(request).prompt_tokens) * self.truth.file.link.kv_bytes_per_token
    }

    pub(crate) fn is_urgent(&self, request: RequestIndex) -> bool {
        self.mix(request).first_token.is_some()
    }

    fn link_time(&self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.truth.file.link.bytes_per_second)
    }

    fn hop(&self) -> Duration {
        self.truth.file.delays.engine
    }

    /// The between-token time that a stream meets if it starts now, as far as the present streams tell.
    fn likely_step(&self) -> Duration {
        let mut seconds = 0.0;
        let mut count = 0.0;
        for engine in &self.truth.decodes {
            if engine.alive {
                seconds += engine.step_seconds(engine.running() + 1);
                count += 1.0;
            }
        }
        Duration::from_secs_f64(seconds / f64::max(count, 1.0))
    }

    /// The between-token time under which no stream of a busy engine comes.
    pub(crate) fn least_step(&self) -> Duration {
        Duration::from_secs_f64(self.truth.file.engines.full_step() * LEAST_STEP_PART)
    }

    /// When the caller's first token, or for patient work the last one, has to be there.
    fn deadline(&self, request: RequestIndex) -> Instant {
        let arrived = self.truth.started + self.request(request).arrives;
        let mix = self.mix(request);
        match mix.first_token {
            Some(target) => arrived + target,
            None => arrived + mix.patience,
        }
    }

    /// The time from the end of reading to the moment that the deadline counts, with a link of its own.
    pub(crate) fn rest(&self, request: RequestIndex, step: Duration) -> Duration {
        let steps = match self.mix(request).first_token {
            Some(_) => 1,
            None => self.request(request).output_tokens,
        };
        self.hop() * 3 + self.link_time(self.bytes(request)) + step * steps
    }

    fn reading_time(&self, request: RequestIndex, prefill: EngineIndex) -> Duration {
        let tokens = self.truth.uncached_tokens(prefill, request);
        self.truth.prefills[prefill].reading_time(tokens)
    }

    /// Whether an engine can start a prompt by the time that an order reaches it.
    pub(crate) fn is_free(&self, prefill: EngineIndex) -> bool {
        let engine = &self.truth.prefills[prefill];
        let arrives = self.now + self.hop() * 2;
        engine.alive
            && engine.queue.is_empty()
            && engine.turn.is_none_or(|turn| turn.ends <= arrives)
    }

    /// What counts for a request while it waits; none if its caller goes away before any answer could be whole.
    pub(crate) fn prospect(&self, request: RequestIndex) -> Option<WaitingProspect> {
        let plan = self.request(request);
        let least = self.truth.file.engines.decode_base * plan.output_tokens;
        let goes = match plan.cancel {
            CancelPlan::After(time) | CancelPlan::AfterFirstToken(time) => time,
            CancelPlan::Stays => Duration::MAX,
        };
        if goes < least {
            return None;
        }
        Some(WaitingProspect {
            cost: self.cost(request),
            latest: self.deadline(request) - self.rest(request, self.least_step()),
            patient: self.mix(request).first_token.is_none(),
        })
    }

    /// Class and score of a waiting request; the lowest goes first.
    pub(crate) fn score(&self, prospect: &WaitingProspect) -> (u8, f64) {
        let slack = prospect.latest.saturating_duration_since(self.now);
        let slack = slack.as_secs_f64();
        let class = u8::from(prospect.patient);
        match (self.plan.order, prospect.patient) {
            (ClairvoyantOrder::Cheapest, _) => (0, prospect.cost),
            (ClairvoyantOrder::Deadline, _) => (0, slack),
            (ClairvoyantOrder::UrgentCheapest, false) => (class, prospect.cost),
            (ClairvoyantOrder::UrgentCheapest, true) => (class, slack),
            (ClairvoyantOrder::UrgentFirst, false) => (class, slack),
            (ClairvoyantOrder::UrgentFirst, true) => (class, prospect.cost),
        }
    }

    /// Seconds of the availability zone that a request takes of its scarcest resource.
    fn cost(&self, request: RequestIndex) -> f64 {
        let plan = self.request(request);
        let sizes = &self.truth.file.engines;
        let places = f64::from(sizes.decode * sizes.decode_places);
        let decode = f64::from(plan.output_tokens) * sizes.full_step() / places;
        let prefill = self.usual_reading(request).as_secs_f64() / f64::from(sizes.prefill);
        let link = self.bytes(request) / self.truth.file.link.bytes_per_second;
        decode.max(prefill).max(link)
    }

    /// How long reading takes with what the group shares in the prefix cache.
    pub(crate) fn usual_reading(&self, request: RequestIndex) -> Duration {
        let mix = self.mix(request);
        let shared = if mix.groups > 0 { mix.shared } else { 0.0 };
        let tokens = f64::from(self.request(request).prompt_tokens) * (1.0 - shared);
        Duration::from_secs_f64(tokens / self.truth.file.engines.prefill_rate)
    }

    /// Whether reading may start now at `prefill`: it leads to an answer in time.
    pub(crate) fn can_serve(
        &self,
        request: RequestIndex,
        prefill: EngineIndex,
        promised: usize,
        queued_bytes: QueuedBytes,
    ) -> bool {
        let turn = self.truth.prefills[prefill].turn;
        let starts = turn
            .map_or(self.now, |turn| turn.ends)
            .max(self.now + self.hop());
        let read = starts + self.reading_time(request, prefill);
        if self.is_split(prefill) && !self.is_short(request) {
            return false;
        }
        let queued = self.queued_before(request, queued_bytes);
        let link_free = self.now + self.link_time(queued);
        let slack = self.truth.file.link.eviction.mul_f64(EVICTION_PART);
        if link_free > read + slack {
            return false;
        }
        if self.places_by(read + slack) <= promised {
            return false;
        }
        if self.plan.long == LongPrompts::Foreseen
            && !self.leaves_room(request, prefill, read, promised)
        {
            return false;
        }
        let moves = read.max(link_free);
        if moves + self.rest(request, self.likely_step()) > self.deadline(request) {
            return false;
        }
        let ends = moves + self.link_time(self.bytes(request)) + self.output_time(request);
        self.stays(request, moves, ends) && !self.prefill_dies(prefill, moves)
    }

    /// Bytes that cross the link before a request's, or beside them.
    fn queued_before(&self, request: RequestIndex, queued: QueuedBytes) -> f64 {
        let beside = self.bytes(request) * self.truth.transfers as f64;
        // Orders by cost are for overload, where urgent transfers wait for each other.
        let by_cost = matches!(
            self.plan.order,
            ClairvoyantOrder::Cheapest | ClairvoyantOrder::UrgentCheapest
        );
        match (self.is_small(request), self.is_urgent(request)) {
            (true, _) => beside,
            (false, true) if by_cost => queued.urgent,
            (false, true) => beside,
            (false, false) => queued.all,
        }
    }

    /// Whether a prefill engine is kept for short prompts.
    fn is_split(&self, prefill: EngineIndex) -> bool {
        self.plan.long == LongPrompts::Split && prefill == 0 && self.truth.prefills.len() > 1
    }

    /// Whether reading takes a small part of the tightest first-token target.
    fn is_short(&self, request: RequestIndex) -> bool {
        let mut least = Duration::MAX;
        for mix in &self.truth.file.rows {
            least = least.min(mix.first_token.unwrap_or(Duration::MAX));
        }
        let tokens = self.request(request).prompt_tokens;
        let reads = self.truth.prefills[0].reading_time(tokens);
        reads < least.mul_f64(SHORT_PART)
    }

    /// Whether a transfer is so short that it needn't wait for its turn.
    pub(crate) fn is_small(&self, request: RequestIndex) -> bool {
        self.link_time(self.bytes(request)) < SMALL_TRANSFER
    }

    /// When a transfer has to start: before the eviction, and in time for its target.
    pub(crate) fn transfer_by(&self, request: RequestIndex, evicts: Instant) -> Instant {
        let latest = self.deadline(request) - self.rest(request, self.least_step());
        latest.min(evicts)
    }

    fn output_time(&self, request: RequestIndex) -> Duration {
        self.likely_step() * self.request(request).output_tokens
    }

    /// Places that are free by `at`, those held by readings not taken off.
    pub(crate) fn places_by(&self, at: Instant) -> usize {
        let forecast = self.places.get_or_init(|| self.forecast());
        forecast.free + forecast.ends.partition_point(|end| *end <= at)
    }

    fn forecast(&self) -> PlaceForecast {
        let mut free = 0;
        let mut ends = Vec::new();
        for engine in &self.truth.decodes {
            if !engine.alive {
                continue;
            }
            free += self.cap.saturating_sub(engine.held) as usize;
            let step = engine.step_seconds(engine.running());
            let behind = self.now.saturating_duration_since(engine.updated());
            for tokens in engine.tokens_left() {
                let left = Duration::from_secs_f64(tokens * step);
                ends.push(self.now + left.saturating_sub(behind));
            }
        }
        ends.sort();
        PlaceForecast { ends, free }
    }

    /// The living decode engine with the fewest places in use that outlives the request.
    pub(crate) fn pick_decode(
        &self,
        request: RequestIndex,
        moving: &BTreeMap<RequestIndex, EngineIndex>,
    ) -> Option<EngineIndex> {
        let ends = self.now + self.link_time(self.bytes(request)) + self.output_time(request);
        let mut best: Option<(u32, EngineIndex)> = None;
        for (index, engine) in self.truth.decodes.iter().enumerate() {
            if !engine.alive || self.decode_dies(index, ends) {
                continue;
            }
            let held = engine.held + self.asked(index, moving);
            if held >= self.cap {
                continue;
            }
            if best.is_none_or(|(least, _)| held < least) {
                best = Some((held, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Requests on their way to a decode engine, which holds no place for them yet.
    fn asked(&self, decode: EngineIndex, moving: &BTreeMap<RequestIndex, EngineIndex>) -> u32 {
        let mut count = 0;
        for (request, engine) in moving {
            let Some(reading) = self.truth.current[*request] else {
                continue;
            };
            if *engine == decode && self.truth.readings[reading].phase == ReadingPhase::Kept {
                count += 1;
            }
        }
        count
    }
}

/// The largest batch at which the tightest row still meets its between-token target.
pub(crate) fn guarded_cap(sizes: &EngineSizes, rows: &[WorkMix]) -> u32 {
    let mut cap = sizes.decode_places;
    for mix in rows {
        let Some(target) = mix.between_tokens else {
            continue;
        };
        let spare = target.saturating_sub(sizes.decode_base).as_secs_f64();
        let slope = sizes.decode_slope.as_secs_f64();
        if slope > 0.0 {
            cap = cap.min((spare / slope) as u32 + 1);
        }
    }
    cap.max(1)
}
