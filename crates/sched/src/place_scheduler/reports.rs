//! What instances report of their places.

use {
    super::{MAX_PLACES, PlaceScheduler},
    crate::{HeldStream, PlaceGrant, PlaceKey, granted_place::GrantedPlace},
    kernel::InstanceId,
    std::time::Instant,
};

impl PlaceScheduler {
    pub(super) fn note_began(&mut self, key: &PlaceKey, now: Instant) {
        let Some(place) = self.places.get_mut(key) else {
            return;
        };
        place.heard_at = now;
        place.has_begun = true;
        let engine = place.grant.engine.clone();
        self.count_again(key, now);
        if let Some(state) = self.engines.get_mut(&engine) {
            state.memory.begin(key, now);
        }
    }

    pub(super) fn note_ended(&mut self, key: &PlaceKey, events: u64, is_whole: bool, now: Instant) {
        let Some(place) = self.places.get(key) else {
            self.ended.insert(key.clone());
            return;
        };
        if is_whole {
            self.lengths.record(&place.work, &place.need, events);
        }
        let produced = events as f64 * self.lengths.tokens_per_event(&place.work);
        self.free(key, Some(produced), now);
    }

    /// Corrects a place, or adds one that another scheduler gave or that the instance took by itself.
    pub(super) fn note_held(&mut self, from: &InstanceId, stream: &HeldStream, now: Instant) {
        if self.ended.contains(&stream.key) {
            return;
        }
        let is_elsewhere = |place: &GrantedPlace| place.grant.engine != stream.engine;
        if self.places.get(&stream.key).is_some_and(is_elsewhere) {
            self.take_place(&stream.key, None, now);
        }
        if !self.engines.contains_key(&stream.engine) {
            return;
        }
        if !self.places.contains_key(&stream.key) {
            if self.places.len() >= MAX_PLACES {
                return;
            }
            self.add_held(from, stream, now);
        }
        if let Some(place) = self.places.get_mut(&stream.key) {
            place.heard_at = now;
        }
        self.count_again(&stream.key, now);
        if let Some(state) = self.engines.get_mut(&stream.engine) {
            state.memory.keep(&stream.key, now);
        }
        let Some(events) = stream.events else {
            return;
        };
        let is_new = self
            .places
            .get(&stream.key)
            .is_some_and(|place| !place.has_begun);
        if is_new {
            self.note_began(&stream.key, now);
        }
        let produced = events as f64 * self.lengths.tokens_per_event(&stream.work);
        if let Some(state) = self.engines.get_mut(&stream.engine) {
            state.memory.note_progress(&stream.key, produced, now);
        }
    }

    fn add_held(&mut self, from: &InstanceId, stream: &HeldStream, now: Instant) {
        self.queue.remove(&stream.key);
        let need = stream.need.bounded();
        let belief = self.lengths.predict(&stream.work, &need);
        let reserve = need.prompt + belief.mean() as u64;
        let Some(state) = self.engines.get_mut(&stream.engine) else {
            return;
        };
        let key = stream.key.clone();
        state.memory.grant(key, need.prompt, reserve, belief, now);
        let place = GrantedPlace {
            grant: PlaceGrant {
                engine: stream.engine.clone(),
                prefill: None,
                reserve,
            },
            has_begun: false,
            heard_at: now,
            instance: from.clone(),
            need,
            work: stream.work.clone(),
        };
        self.places.insert(stream.key.clone(), place);
    }

    /// Counts the memory of a place again that its engine's memory dropped for lack of news.
    fn count_again(&mut self, key: &PlaceKey, now: Instant) {
        let Some(place) = self.places.get(key) else {
            return;
        };
        let Some(state) = self.engines.get_mut(&place.grant.engine) else {
            return;
        };
        if state.memory.contains(key) {
            return;
        }
        let belief = self.lengths.predict(&place.work, &place.need);
        let prompt = place.need.prompt;
        let reserve = place.grant.reserve;
        state
            .memory
            .grant(key.clone(), prompt, reserve, belief, now);
    }

    pub(super) fn note_rejected(&mut self, key: &PlaceKey, now: Instant) {
        let Some(place) = self.take_place(key, None, now) else {
            return;
        };
        if let Some(state) = self.engines.get_mut(&place.grant.engine) {
            state.memory.note_rejected(now);
        }
    }

    /// Frees a place for good.
    pub(super) fn free(&mut self, key: &PlaceKey, produced: Option<f64>, now: Instant) {
        self.take_place(key, produced, now);
        self.ended.insert(key.clone());
    }

    pub(super) fn take_place(
        &mut self,
        key: &PlaceKey,
        produced: Option<f64>,
        now: Instant,
    ) -> Option<GrantedPlace> {
        let place = self.places.remove(key)?;
        if let Some(state) = self.engines.get_mut(&place.grant.engine) {
            state.memory.end(key, produced, now);
        }
        if let Some(prefill) = &place.grant.prefill
            && let Some(state) = self.engines.get_mut(prefill)
        {
            state.prefill.end(key, None, now);
        }
        Some(place)
    }
}
