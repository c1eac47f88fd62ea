//! What a scheduler is told of a request.

use {
    crate::{StreamFlow, UpstreamDialect},
    kernel::{UpstreamId, ZoneId, seeded_rng, steady_clock},
    sched::{HeldStream, PlaceKey, PlaceRequest, StreamNeed, TurnKey},
    std::{sync::Arc, time::Duration},
};

/// Callers leave a stream that stands still for this long, for [`TARGET_FACTOR`] times the target of the first event, or
/// for [`PAUSE_FACTOR`] times the longest pause on time, whichever is longest.
const MIN_GAP: Duration = Duration::from_secs(2);
const TARGET_FACTOR: u32 = 4;
const PAUSE_FACTOR: u32 = 8;

/// Seed of the keys by which a request keeps its turn.
const TURN_SEED: u64 = 17;
/// Separates the texts that a turn key is made of; it occurs in none of them.
const TURN_SEPARATOR: char = '\n';

impl<D: UpstreamDialect> StreamFlow<D> {
    /// The request for a decode place in a zone, with a key of its own. `refusers` are the engines that refused the request.
    pub(crate) fn place_request(&self, zone: &ZoneId, refusers: &[UpstreamId]) -> PlaceRequest {
        let gap = steady_clock::elapsed(self.gap_since);
        let is_foreign = *zone != self.core.settings.load().zone;
        PlaceRequest {
            first_event_left: self.longest_gap().saturating_sub(gap),
            is_foreign,
            avoid: self.tried.iter().chain(refusers).cloned().collect(),
            customer: self.customer(),
            holders: self.holders.clone(),
            key: self.next_place_key(),
            left: self.request.left(),
            need: self.stream_need(),
            rank: self.request.rank,
            software: self.software.clone(),
            target_left: self.gap_target().saturating_sub(gap),
            turn: self.turn_key(),
            work: self.route.work.clone(),
        }
    }

    /// A place at an engine, as it is announced.
    pub(crate) fn held_stream(&self, engine: UpstreamId, key: PlaceKey) -> HeldStream {
        HeldStream {
            customer: self.customer(),
            engine,
            events: None,
            key,
            need: self.stream_need(),
            work: self.route.work.clone(),
        }
    }

    /// A key for the next place of this attempt: while a stream moves to another engine, the attempt has two.
    pub(crate) fn next_place_key(&self) -> PlaceKey {
        let id = &self.request.head.id;
        match self.note_place() {
            0 => id.clone(),
            number => Arc::from(format!("{id}/{number}")),
        }
    }

    /// How long the caller waits for the next event.
    fn longest_gap(&self) -> Duration {
        let route = &self.route;
        let pause = route.between_events.unwrap_or_default();
        let by_route = (route.first_byte * TARGET_FACTOR).max(pause * PAUSE_FACTOR);
        by_route.max(MIN_GAP)
    }

    /// The time within which the next event is on time.
    fn gap_target(&self) -> Duration {
        let first_byte = self.route.first_byte;
        match self.gap_since == self.request.since {
            true => first_byte,
            false => self.route.between_events.unwrap_or(first_byte),
        }
    }

    fn customer(&self) -> Option<Arc<str>> {
        let access = self.request.access.as_ref();
        access.map(|access| access.customer.id.clone())
    }

    fn stream_need(&self) -> StreamNeed {
        let prompt = self.request.head.prompt.as_ref();
        StreamNeed {
            hint: prompt.and_then(|prompt| prompt.hint),
            max_output: prompt.map_or(0, |prompt| prompt.output),
            prompt: self.request.prompt_tokens(),
        }
    }

    /// The same for all attempts of a caller, since the last part of a prompt is the request's own.
    fn turn_key(&self) -> Option<TurnKey> {
        let prompt = self.request.head.prompt.as_ref()?;
        let last_part = &prompt.parts.last()?.id;
        let customer = self.customer().unwrap_or_default();
        let work = &self.route.work;
        let text = format!("{customer}{TURN_SEPARATOR}{work}{TURN_SEPARATOR}{last_part}");
        Some(seeded_rng::mix(TURN_SEED, text.as_bytes()))
    }
}
