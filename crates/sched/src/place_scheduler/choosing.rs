//! Where a request is placed, and how long it would wait.

use {
    super::{PlaceScheduler, waiting_outlook::WaitingOutlook},
    crate::{
        LengthBelief, PlaceGrant, PlaceRequest, WaitDecision, WaitingRequest,
        engine_state::EngineState,
        refusal_rule::{self, MAX_JITTER},
    },
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The memory of engines goes by blocks of this many tokens.
const BLOCK_TOKENS: u64 = 16;
/// A prompt is given to a prefill engine of the cell if it is done within this many times its own duration. Otherwise its
/// instance chooses among the engines of all availability zones.
const MAX_PREFILL_FACTOR: u32 = 2;
/// The longest wait that is told.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(10);
/// Requests whose sizes differ by less, in tokens, are expected to wait for a first place equally long.
const SIZE_STEP: u64 = 2_048;
/// How often the wait for a turn is worked out with the turns that fall due in it.
const TURN_ROUNDS: usize = 16;

impl PlaceScheduler {
    /// Whether no engine could ever hold the request. False while the memory of any is unknown.
    pub(super) fn is_oversized(&self, request: &PlaceRequest) -> bool {
        let states = self.engines.values();
        let mut decode = states.filter(|state| state.info.decodes);
        decode.all(|state| {
            let capacity = state.memory.capacity();
            capacity.is_some_and(|capacity| request.need.prompt >= capacity)
        })
    }

    /// The place to give: the engine that is least full for its speed among those where the request fits.
    pub(super) fn choose(
        &self,
        request: &PlaceRequest,
        belief: &LengthBelief,
        kept_free: Option<&UpstreamId>,
        now: Instant,
    ) -> Option<PlaceGrant> {
        let pace = self.mean_pace();
        let tokens = request.need.prompt as f64 + belief.mean();
        let mut candidates = Vec::new();
        for state in self.engines.values() {
            if !state.may_decode(request) || Some(&state.info.id) == kept_free {
                continue;
            }
            let has_prompt = request.holders.contains(&state.info.id);
            let fullness = state.fullness(tokens, pace, now);
            candidates.push((has_prompt, fullness, state));
        }
        // Sorted first, since a look at the fullness costs less than a look at whether the request fits.
        candidates.sort_by(|(one_has, one, _), (other_has, other, _)| {
            let by_prompt = other_has.cmp(one_has);
            by_prompt.then_with(|| one.total_cmp(other))
        });
        let mut candidates = candidates.into_iter();
        let (has_prompt, _, state) = candidates.find(|(_, _, state)| {
            let reserve = reserve(request, &state.info.id, belief);
            self.looks.set(self.looks.get() + 1);
            state.fits(request, reserve, belief, now)
        })?;
        let prefill = match has_prompt {
            true => None,
            false => self.choose_prefill(request.need.prompt, now),
        };
        Some(PlaceGrant {
            engine: state.info.id.clone(),
            prefill,
            reserve: reserve(request, &state.info.id, belief),
        })
    }

    /// The engine at which a request fits first.
    pub(super) fn earliest_fit(
        &self,
        request: &PlaceRequest,
        belief: &LengthBelief,
        now: Instant,
    ) -> Option<UpstreamId> {
        let states = self.engines.values();
        let usable = states.filter(|state| state.may_decode(request));
        let earliest = usable.min_by_key(|state| {
            state.fit_wait(
                request,
                reserve(request, &state.info.id, belief),
                belief,
                now,
            )
        });
        earliest.map(|state| state.info.id.clone())
    }

    /// What a request has to expect if it isn't placed now.
    pub(super) fn outlook(
        &self,
        request: &PlaceRequest,
        belief: &LengthBelief,
        now: Instant,
    ) -> WaitingOutlook {
        let mut alone = MAX_WAIT;
        let mut flow = 0.0;
        for state in self.engines.values() {
            if !state.may_decode(request) {
                continue;
            }
            self.looks.set(self.looks.get() + 1);
            let reserve = reserve(request, &state.info.id, belief);
            alone = alone.min(state.fit_wait(request, reserve, belief, now));
            let load = state.memory.load(now);
            let tokens = load.held.saturating_add(load.promised) as f64;
            flow += tokens * load.pace.max(1.0);
        }
        WaitingOutlook { alone, flow }
    }

    /// The outlook of a request; requests of about the same size that may go to all engines share one.
    pub(super) fn outlook_once(
        &self,
        outlooks: &mut BTreeMap<u64, WaitingOutlook>,
        request: &PlaceRequest,
        belief: &LengthBelief,
        now: Instant,
    ) -> WaitingOutlook {
        let is_plain =
            request.avoid.is_empty() && request.holders.is_empty() && request.software.is_none();
        if !is_plain {
            return self.outlook(request, belief, now);
        }
        let tokens = request.need.prompt + belief.mean() as u64;
        let class = tokens.div_ceil(SIZE_STEP);
        if let Some(outlook) = outlooks.get(&class) {
            return *outlook;
        }
        let outlook = self.outlook(request, belief, now);
        outlooks.insert(class, outlook);
        outlook
    }

    /// When a place is expected for a request that is refused: after those that wait and those that were told to come
    /// back before. `None` if it can't be recognised when it is back.
    pub(super) fn turn_wait(
        &self,
        waiting: &WaitingRequest,
        belief: &LengthBelief,
        ahead: f64,
        now: Instant,
    ) -> Option<Duration> {
        waiting.request.turn?;
        let outlook = self.outlook(&waiting.request, belief, now);
        let size = waiting.request.need.prompt as f64 + belief.mean();
        let mut wait = outlook.wait(belief, ahead);
        for _ in 0..TURN_ROUNDS {
            let promised = self.turns.due_within(wait + MAX_JITTER, now) as f64 * size;
            let later = outlook.wait(belief, ahead + promised);
            if later <= wait {
                break;
            }
            wait = later;
        }
        match refusal_rule::decide(waiting, wait, now) {
            WaitDecision::Wait => None,
            WaitDecision::Refuse { retry_after } => Some(retry_after),
        }
    }

    /// How long a prompt takes at the best prefill engine, waiting included; zero without one.
    pub(super) fn prefill_time(&self, prompt: u64, now: Instant) -> Duration {
        let engines = self.prefill_engines();
        let times = engines.map(|state| state.prefill.expected(prompt, now));
        times.min().unwrap_or_default()
    }

    /// The engine of the cell that finishes a prompt first; `None` when its queue takes longer than the prompt itself.
    fn choose_prefill(&self, prompt: u64, now: Instant) -> Option<UpstreamId> {
        let engines = self.prefill_engines();
        let best = engines.min_by_key(|state| state.prefill.expected(prompt, now))?;
        let alone = best.prefill.alone(prompt);
        let is_soon = best.prefill.expected(prompt, now) <= alone * MAX_PREFILL_FACTOR;
        is_soon.then(|| best.info.id.clone())
    }

    fn prefill_engines(&self) -> impl Iterator<Item = &EngineState> {
        let states = self.engines.values();
        states.filter(|state| !state.info.decodes && state.info.is_open)
    }

    /// The mean speed of a stream at the decode engines, tokens per second.
    fn mean_pace(&self) -> f64 {
        let mut sum = 0.0;
        let mut count = 0;
        for state in self.engines.values() {
            if !state.info.decodes {
                continue;
            }
            sum += state.memory.pace();
            count += 1;
        }
        sum / f64::from(count.max(1))
    }
}

/// Memory to reserve for a request, tokens: what it will certainly use, since an engine keeps the whole reservation free for
/// it while it runs. An engine that holds the prompt needs room for the output alone.
fn reserve(request: &PlaceRequest, engine: &UpstreamId, belief: &LengthBelief) -> u64 {
    let output = belief.shortest() as u64;
    let tokens = match request.holders.contains(engine) {
        true => output,
        false => request.need.prompt + output,
    };
    tokens.next_multiple_of(BLOCK_TOKENS)
}
