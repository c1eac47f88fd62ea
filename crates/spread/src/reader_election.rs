//! Decides which instances read the store. Each instance decides for itself. No I/O and no clock.
//!
//! This limits two kinds of load that many instances cause: their calls to the store, which must
//! not grow with their number, and the burst of calls when the store refuses, is slow or silent, or
//! when all instances start together. In each availability zone the instances send requests to the
//! first one by rendezvous hashing that answers. The first instances of the zones send requests to
//! the first instance of the first zone, which reads the store. A first instance that gets no
//! answer, or the answer that the other does not read, reads the store for its own zone.
//!
//! When the store does not answer a reader, the reader probes it with backoff and takes the updates
//! of the first instances of other zones. While those have none either, the next instances of its
//! own zone, its standbys, try the store one after the other, and the first that gets an answer
//! reads for the zone.
//!
//! All instances share one order and each sends requests only to those before it, so no two wait
//! for each other. There are two exceptions: an acting reader sends no requests while it receives
//! them, and an instance that the store does not answer takes updates only, which carry their age.
//! Having two readers, or none for a moment, is harmless, since every update carries the store's
//! version.

mod requests;
mod standbys;
mod usage_peers;
mod zone_reader;

use {
    crate::{MemberRow, PeerCooldown, PendingRequest, SpreadTimes, StoreProbe},
    kernel::{InstanceId, ZoneId},
    relay::CallReason,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Cooldown of an instance of another zone that had no update.
const HELPER_COOLDOWN: Duration = Duration::from_secs(1);
/// Number of instances per zone that read the store themselves when they start, since callers are
/// waiting and the instances before them may be gone. They also do so soon when the instances
/// before them do not answer.
const EARLY_READERS: usize = 3;
/// Number of instances in a row that may leave an early reader with data unanswered before it reads
/// the store itself.
const EARLY_UNANSWERED_LIMIT: u32 = 2;
/// The same limit for all other instances: one more than there are early readers. It bounds the
/// calls when all start together, and each request after the first has the short timeout.
const LATE_UNANSWERED_LIMIT: u32 = 4;

pub use usage_peers::UsagePeers;

/// The next step of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadStep {
    /// Send a request to another instance.
    AskPeer {
        /// Whether the receiver answers from what it knows already.
        is_immediate: bool,
        /// Timeout of the request.
        limit: Duration,
        /// The receiver.
        peer: InstanceId,
        /// When this instance is due to try the store, even if the request is still pending. The
        /// next step is chosen again then.
        turn: Option<Instant>,
    },
    /// Wait until this time, unless something changes earlier.
    Wait(Instant),
    /// Read the store.
    ReadStore,
}

/// What a requester reports about itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequesterState {
    /// Whether instances before the receiver did not answer the requester.
    pub has_skipped_readers: bool,
    /// Whether the store answers the requester.
    pub reads_store: bool,
}

/// Election state of one instance.
#[derive(Debug)]
pub struct ReaderElection {
    /// The request that awaits an answer, until it is answered or abandoned.
    pending: Option<PendingRequest>,
    /// Until when this instance is the acting reader for one before it.
    acting_until: Option<Instant>,
    /// Instances behind this one that the store answers, each with the time until which that is
    /// assumed.
    standbys: BTreeMap<InstanceId, Instant>,
    /// Helpers (standbys and instances of other zones) that had no update when asked, each with the
    /// time from which it may be asked again. A request from a helper does not end this, unless the
    /// store answers the helper.
    without_updates: BTreeMap<InstanceId, Instant>,
    /// Members of other zones in reader order.
    other_zones: BTreeMap<ZoneId, Vec<InstanceId>>,
    /// Since when no instance before this one has answered, which makes this one the first.
    first_since: Option<Instant>,
    /// When each other member last sent a request here, or first became known.
    last_heard: BTreeMap<InstanceId, Instant>,
    /// When this instance itself last read the store.
    own_read_at: Option<Instant>,
    /// When the store was read for the newest update known here.
    update_read_at: Option<Instant>,
    own: InstanceId,
    probe: StoreProbe,
    /// Members of the own zone in reader order.
    ranked: Vec<InstanceId>,
    /// Until when others depend on this instance because those before it did not answer them.
    relied_until: Option<Instant>,
    /// Instances that did not answer their last request.
    cooldowns: BTreeMap<InstanceId, PeerCooldown>,
    times: SpreadTimes,
    /// Since when the store answers none of the instances that this one sends requests to.
    unavailable_since: Option<Instant>,
    /// Number of instances that did not answer since the last update.
    unanswered: u32,
    zone: ZoneId,
}

impl ReaderElection {
    /// Records an update, for which the store was read at `read`.
    pub fn record_update(&mut self, from: &InstanceId, read: Instant) {
        if self.is_before(from) {
            self.first_since = None;
            self.probe.record_peer_success(read);
        }
        if let Some(until) = self.standbys.get_mut(from) {
            // The standby sends no requests while it receives them, so only its answers show that
            // it reads the store.
            *until = (*until).max(read + self.times.service_window);
        }
        self.cooldowns.remove(from);
        self.without_updates.remove(from);
        self.pending = None;
        self.unavailable_since = None;
        self.unanswered = 0;
        self.note_update(read);
    }

    /// Records an answer that holds only a part of the list; the remaining parts are requested
    /// next.
    pub fn record_partial_update(&mut self, from: &InstanceId) {
        self.cooldowns.remove(from);
        self.pending = None;
        self.unanswered = 0;
    }

    /// Records a request received from another instance. Returns whether it changes the next step
    /// here.
    pub fn record_request(&mut self, by: &MemberRow, state: RequesterState, now: Instant) -> bool {
        self.cooldowns.remove(&by.instance);
        if state.reads_store {
            self.without_updates.remove(&by.instance);
        }
        if by.zone != self.zone {
            return false;
        }
        let until = now + self.times.service_window;
        self.last_heard.insert(by.instance.clone(), now);
        if self.is_before(&by.instance) {
            let is_new = !self.is_acting_reader(now);
            self.acting_until = Some(until);
            return is_new;
        }
        if state.reads_store {
            let before = self.standbys.insert(by.instance.clone(), until);
            if self.probe.failures() > 0 && before.is_none_or(|before| before <= now) {
                return true;
            }
        }
        if !state.has_skipped_readers {
            return false;
        }
        self.relied_until = Some(until);
        self.is_stale(now)
    }

    /// Chooses the next step.
    pub fn choose(&mut self, now: Instant) -> ReadStep {
        let step = self.next_step(now);
        if matches!(step, ReadStep::Wait(_)) {
            self.pending = None;
        }
        step
    }

    /// Records that an instance did not answer. Its cooldown doubles each time, so that the last
    /// instance of a zone does not ask a dead one before each read.
    pub fn record_no_answer(&mut self, from: &InstanceId, now: Instant) {
        self.pending = None;
        self.unanswered += 1;
        let SpreadTimes {
            cooldown,
            max_cooldown,
            ..
        } = self.times;
        let span = match self.cooldowns.get(from) {
            Some(before) => (before.span * 2).min(max_cooldown),
            None => cooldown,
        };
        self.cooldowns
            .insert(from.clone(), PeerCooldown::new(span, now));
    }

    /// Whether no instance of the zone before this one is available.
    pub fn is_first(&self, now: Instant) -> bool {
        self.first_available(now).is_none()
    }

    /// Whether the last call of this instance to the store failed.
    pub fn is_refused(&self) -> bool {
        self.probe.failures() > 0
    }

    /// Whether there is no update, or only one that is too old to be passed on.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.update_read_at
            .is_none_or(|read| now.saturating_duration_since(read) > self.times.request_timeout)
    }

    /// Records that the store has returned the directory of instances.
    pub fn record_joined(&mut self) {
        self.probe = StoreProbe::new(self.own.clone(), self.times.period);
        self.unavailable_since = None;
    }

    /// An election that knows of no other instance.
    pub fn new(own: InstanceId, zone: ZoneId, times: SpreadTimes) -> Self {
        Self {
            pending: None,
            acting_until: None,
            standbys: BTreeMap::new(),
            other_zones: BTreeMap::new(),
            without_updates: BTreeMap::new(),
            first_since: None,
            last_heard: BTreeMap::new(),
            own_read_at: None,
            update_read_at: None,
            probe: StoreProbe::new(own.clone(), times.period),
            ranked: vec![own.clone()],
            own,
            relied_until: None,
            cooldowns: BTreeMap::new(),
            times,
            unavailable_since: None,
            unanswered: 0,
            zone,
        }
    }

    /// Sets the members of all zones. While this instance is not among them, it ranks behind all
    /// others of its zone.
    pub fn set_members<'a>(
        &mut self,
        members: impl IntoIterator<Item = &'a MemberRow>,
        now: Instant,
    ) {
        let mut scored: BTreeMap<&ZoneId, Vec<(f64, &InstanceId)>> = BTreeMap::new();
        for member in members {
            let score = member.score();
            let list = scored.entry(&member.zone).or_default();
            list.push((score, &member.instance));
        }
        self.other_zones.clear();
        for (zone, mut list) in scored {
            list.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(right.1)));
            let ranked = list.into_iter().map(|(_, member)| member.clone()).collect();
            match *zone == self.zone {
                true => self.ranked = ranked,
                false => {
                    self.other_zones.insert(zone.clone(), ranked);
                }
            }
        }
        if !self.ranked.contains(&self.own) {
            self.ranked.push(self.own.clone());
        }
        let ranked = &self.ranked;
        self.last_heard.retain(|member, _| ranked.contains(member));
        self.standbys.retain(|member, _| ranked.contains(member));
        let other_zones = &self.other_zones;
        let is_known = |member: &InstanceId| {
            let mut others = other_zones.values();
            ranked.contains(member) || others.any(|others| others.contains(member))
        };
        self.without_updates.retain(|member, _| is_known(member));
        for member in ranked {
            self.last_heard.entry(member.clone()).or_insert(now);
        }
    }

    /// Members of the zone that have sent no request for the member expiry, if this instance has
    /// been the one to ask for as long.
    pub fn silent_members(&self, now: Instant) -> Vec<InstanceId> {
        let expiry = self.times.member_expiry;
        let is_expired = |since: &Instant| now.saturating_duration_since(*since) >= expiry;
        if !self.first_since.as_ref().is_some_and(is_expired) {
            return Vec::new();
        }
        let others = self
            .last_heard
            .iter()
            .filter(|(member, _)| **member != self.own);
        let silent = others.filter(|(_, heard)| is_expired(heard));
        silent.map(|(member, _)| member.clone()).collect()
    }

    /// Age of the newest update known here.
    pub fn update_age(&self, now: Instant) -> Option<Duration> {
        self.update_read_at
            .map(|read| now.saturating_duration_since(read))
    }

    /// Reason to count the next call to the store under.
    pub fn call_reason(&self) -> CallReason {
        if self.unavailable_since.is_some() {
            return CallReason::Retry;
        }
        match self.own_read_at {
            Some(_) => CallReason::Period,
            None => CallReason::Start,
        }
    }

    /// What this instance reports about itself in a request.
    pub fn requester_state(&self, now: Instant) -> RequesterState {
        let window = self.times.service_window;
        RequesterState {
            has_skipped_readers: self.unanswered > 0,
            reads_store: self
                .own_read_at
                .is_some_and(|read| now.saturating_duration_since(read) < window),
        }
    }

    /// When the store may be called next; `None` for at once.
    pub fn next_store_call(&self) -> Option<Instant> {
        self.probe.next_due()
    }

    /// Records that the store did not answer a call of this instance that began at `began`.
    pub fn record_store_failure(&mut self, began: Instant, now: Instant) {
        self.probe.record_failure(began, now);
        self.own_read_at = None;
        self.unavailable_since.get_or_insert(now);
    }

    /// Records an answered read of the store that began at `began`.
    pub fn record_store_read(&mut self, began: Instant) {
        self.probe.record_success(began);
        self.own_read_at = Some(began);
        self.unanswered = 0;
        self.note_update(began);
        if self.first_since.is_some() {
            self.unavailable_since = None;
        }
    }

    /// Records that an instance has had no update for `age`. Returns whether to go on with others
    /// or the store. If the first of the own zone has none, this instance waits for it, since that
    /// one tries all other sources itself.
    #[must_use]
    pub fn record_no_update(&mut self, from: &InstanceId, age: Duration, now: Instant) -> bool {
        self.pending = None;
        self.cooldowns.remove(from);
        if !self.is_before(from) {
            self.without_updates
                .insert(from.clone(), now + HELPER_COOLDOWN);
            self.standbys.remove(from);
            return true;
        }
        self.first_since = None;
        self.unanswered = 0;
        let since = now.checked_sub(age).unwrap_or(now);
        let known = self.unavailable_since.get_or_insert(since);
        *known = since.min(*known);
        false
    }

    /// The first available instance before this one; `None` if this one is the first.
    fn first_available(&self, now: Instant) -> Option<InstanceId> {
        let before = self.ranked.iter().take_while(|member| **member != self.own);
        let mut available = before.filter(|member| self.is_available(member, now));
        available.next().cloned()
    }

    /// Whether enough instances have left this one unanswered for it to read the store itself.
    fn is_fallback_due(&self) -> bool {
        let limit = match self.is_early() {
            true => EARLY_UNANSWERED_LIMIT,
            false => LATE_UNANSWERED_LIMIT,
        };
        self.unanswered >= limit
    }

    /// Whether this instance is one of the early readers of its zone.
    fn is_early(&self) -> bool {
        let mut early = self.ranked.iter().take(EARLY_READERS);
        early.any(|member| *member == self.own)
    }

    fn is_available(&self, member: &InstanceId, now: Instant) -> bool {
        let had_no_update = self
            .without_updates
            .get(member)
            .is_some_and(|until| now < *until);
        !had_no_update && self.is_responsive(member, now)
    }

    /// Whether a member answered its last request, or its cooldown is over.
    fn is_responsive(&self, member: &InstanceId, now: Instant) -> bool {
        self.cooldowns
            .get(member)
            .is_none_or(|cooldown| cooldown.is_over(now))
    }

    /// Whether a member precedes this instance in the reader order of the zone.
    fn is_before(&self, member: &InstanceId) -> bool {
        let mut before = self.ranked.iter().take_while(|other| **other != self.own);
        before.any(|other| other == member)
    }

    fn next_step(&mut self, now: Instant) -> ReadStep {
        let first = self.first_available(now);
        if self.is_acting_reader(now) {
            return self.read_for_others(now);
        }
        let Some(first) = first else {
            self.first_since.get_or_insert(now);
            return match self.leading_reader(now) {
                Some(leader) if !self.is_overdue(now) => self.ask_peer(leader, now),
                _ => self.read_for_others(now),
            };
        };
        let is_relied_on = self.relied_until.is_some_and(|until| now < until);
        if is_relied_on && self.is_stale(now) {
            return self.read_for_others(now);
        }
        let is_starting = self.update_read_at.is_none() && self.is_early();
        if (is_starting || self.is_fallback_due()) && self.probe.is_due(now)
            || self.standby_turn(&first).is_some_and(|turn| now >= turn)
        {
            return ReadStep::ReadStore;
        }
        self.ask_peer(first, now)
    }

    fn note_update(&mut self, read: Instant) {
        self.update_read_at = Some(self.update_read_at.map_or(read, |before| before.max(read)));
    }
}
