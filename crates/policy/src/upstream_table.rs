//! The upstreams that this instance may use, and the choice among them. No I/O and no clock.

use {
    crate::{
        CallVerdict, PrefillEstimate, UpstreamEntry, UpstreamRecord, UpstreamStage, ZoneRefusals,
    },
    kernel::{ServiceId, UpstreamId, ZoneId, seeded_rng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What a call to another availability zone counts as, in open calls: the way there is short beside the work, but its bytes
/// are paid for.
const OTHER_ZONE_COST: f64 = 2.0;
/// The same for a stream: it lasts for seconds and breaks when its zone is cut off, and a decode engine is no slower for the
/// streams that it has until its memory is full, which it says itself. About half of what an engine holds.
const OTHER_ZONE_STREAM_COST: f64 = 6.0;
/// What a share of failures of 1 counts as, in open calls: more than a busy upstream has.
const FAILURE_COST: f64 = 40.0;
/// What holding the KV cache of the prompt saves, in open calls: more than engines differ by, and less than being full or
/// failing counts as.
const HOLDER_GAIN: f64 = 15.0;
/// What a kept connection saves, in open calls. An instance of many meets each of its zone's engines less often than they
/// keep connections; so it goes to those first that it knows, as long as none of its own calls runs there. On 59 instances before
/// 39 engines half of all new connections were for places at engines not met for 10 s.
const LINK_GAIN: f64 = 0.5;
/// What having been full a moment ago counts as, in open calls.
const FULL_COST: f64 = 20.0;
/// What a transfer from another availability zone counts as, in time of reading: it takes longer and is paid for.
const OTHER_ZONE_READ: Duration = Duration::from_millis(20);
/// What a share of failures of 1 counts as, in time of reading.
const FAILURE_READ: Duration = Duration::from_secs(2);
/// What having refused a moment ago counts as, in time of reading.
const FULL_READ: Duration = Duration::from_millis(500);
/// How much dearer than the best of its availability zone a prefill engine may look and still be drawn, as a share. An
/// instance of many sees few readings: by its view alone each would go on with the engine that it tried first.
const READ_SPREAD: f64 = 1.0;
/// An upstream stands out when its share of failures is over so many times the mean of the others'.
const STANDING_OUT_FACTOR: f64 = 3.0;
/// And by this much: one failure alone makes no upstream stand out, two in a row do.
const STANDING_OUT_MARGIN: f64 = 0.09;
/// Tokens that count as one open call: an ordinary prompt.
const TOKENS_A_CALL: f64 = 3_000.0;
/// How long upstreams that lapsed from the list during an outage of the store are kept after it: by then those alive
/// have reported again.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);

/// What is asked of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Upstreams that were tried already.
    pub avoid: &'a [UpstreamId],
    /// Engines that hold the KV cache of the prompt: they go first while they are not full, since they need not read it.
    pub holders: &'a [UpstreamId],
    /// Upstreams that a kept connection goes to.
    pub connected: &'a BTreeSet<UpstreamId>,
    /// Breaks ties, so that instances spread their calls.
    pub request: &'a str,
    /// The service.
    pub service: &'a ServiceId,
    /// The stage.
    pub stage: UpstreamStage,
    /// The availability zone to prefer.
    pub zone: &'a ZoneId,
}

/// A prefill engine for a prompt.
#[derive(Clone, Debug)]
pub struct PrefillChoice {
    /// The tokens of this instance that are to be read there, the prompt's own included.
    pub queued_tokens: u64,
    /// The time that the choice went by: what is expected, and more for engines that fail or are far.
    pub cost: Duration,
    /// How long the reading is expected to take if nothing of the prompt is held.
    pub expected: Duration,
    /// Whether the engine holds the prompt already, so that the time tells nothing of its pace.
    pub is_cached: bool,
    /// The engine.
    pub upstream: Arc<UpstreamRecord>,
}

/// The upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    grace_until: Option<Instant>,
    read_at: Option<Instant>,
    /// Whether the list was read at least once.
    pub is_loaded: bool,
}

impl UpstreamTable {
    /// A call to an upstream begins.
    pub fn begin(&mut self, id: &UpstreamId, tokens: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.in_flight += 1;
        entry.in_flight_tokens += tokens;
    }

    /// The best upstream for a call; none when there is no upstream to try.
    pub fn choose(&self, query: &ChoiceQuery<'_>, now: Instant) -> Option<Arc<UpstreamRecord>> {
        let mut best: Option<(bool, f64, u64, &UpstreamEntry)> = None;
        let refusals = self.refusals(query);
        for entry in self.entries.values() {
            if !self.may_take(entry, query) {
                continue;
            }
            let is_closed = entry.cooldown.is_active(now);
            let cost = call_cost(entry, query, now) + refusals.cost(&entry.record.zone);
            let tie = tie_break(query.request, &entry.record.id);
            let better = match &best {
                Some((closed, least, least_tie, _)) => {
                    (is_closed, cost, tie) < (*closed, *least, *least_tie)
                }
                None => true,
            };
            if better {
                best = Some((is_closed, cost, tie, entry));
            }
        }
        let (is_closed, _, _, entry) = best?;
        // Where all are closed the signs may be wrong; where some were asked already and are full, they are not.
        if is_closed && self.any_open(query, now) {
            return None;
        }
        Some(entry.record.clone())
    }

    /// The prefill engine that is expected to be done first with a prompt, and when: one is drawn in each availability zone,
    /// and the best of these is taken.
    pub fn choose_prefill(
        &self,
        query: &ChoiceQuery<'_>,
        tokens: u64,
        now: Instant,
    ) -> Option<PrefillChoice> {
        let mut drawn: BTreeMap<&ZoneId, (Duration, PrefillChoice)> = BTreeMap::new();
        for entry in self.entries.values() {
            if !self.may_take(entry, query) {
                continue;
            }
            let choice = prefill_choice(entry, query, tokens, now);
            let cost = spread(choice.cost, query.request, &entry.record.id);
            match drawn.get(&entry.record.zone) {
                Some((least, _)) if *least <= cost => continue,
                _ => drawn.insert(&entry.record.zone, (cost, choice)),
            };
        }
        let choices = drawn.into_values().map(|(_, choice)| choice);
        choices.min_by_key(|choice| choice.cost)
    }

    /// A call to an upstream ended; whether the list still has the upstream.
    pub fn end(
        &mut self,
        id: &UpstreamId,
        tokens: u64,
        verdict: CallVerdict,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.in_flight_tokens = entry.in_flight_tokens.saturating_sub(tokens);
        entry.note(verdict, now);
        true
    }

    /// The list that was taken in last was read at this moment.
    pub fn set_list_time(&mut self, read: Instant) {
        self.read_at = Some(read);
    }

    /// How long ago the list was read; zero before the first reading.
    pub fn list_age(&self, now: Instant) -> Duration {
        let read = self.read_at.map(|read| now.saturating_duration_since(read));
        read.unwrap_or_default()
    }

    /// A reading ended. Gives the pace of the engine by now, if the list still has it.
    pub fn note_prefill(
        &mut self,
        id: &UpstreamId,
        tokens: u64,
        took: Duration,
        now: Instant,
    ) -> Option<PrefillEstimate> {
        let entry = self.entries.get_mut(id)?;
        entry.prefill.note(tokens, took, now);
        Some(entry.prefill)
    }

    /// An engine runs a request for which it had reserved a place.
    pub fn note_run(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cooldown.note_run();
        }
    }

    /// An engine turned a request away from a place that it had reserved; `has_kv` when the request counted on a KV cache
    /// that may have lapsed.
    pub fn note_refusal(&mut self, id: &UpstreamId, has_kv: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cooldown.note_refusal(has_kv, now);
        }
    }

    /// Whether an upstream fails clearly more often than the others of its service. A failure of one that does not is the
    /// request's own: any other upstream would give the same.
    pub fn is_outlier(&self, id: &UpstreamId, now: Instant) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let same = |other: &&UpstreamEntry| {
            other.record.service == entry.record.service && other.record.id != *id
        };
        let others: Vec<f64> = self
            .entries
            .values()
            .filter(same)
            .map(|other| other.failure_share(now))
            .collect();
        let mean = others.iter().sum::<f64>() / others.len().max(1) as f64;
        entry.failure_share(now) > STANDING_OUT_FACTOR * mean + STANDING_OUT_MARGIN
    }

    /// Whether new work may go to an upstream now.
    pub fn accepts_work(&self, id: &UpstreamId) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| !entry.record.leaving)
    }

    /// The engines of a service, of both stages, that are not leaving.
    pub fn engines(&self, service: &ServiceId) -> Vec<Arc<UpstreamRecord>> {
        let records = self.entries.values().map(|entry| &entry.record);
        let engines = records.filter(|record| {
            record.service == *service && record.stage != UpstreamStage::Plain && !record.leaving
        });
        engines.cloned().collect()
    }

    /// The upstreams, by id.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Takes a list in. `outage_ended` is when an outage of the store ended, if one did since the last list: entries that
    /// it lacks are kept for a moment, since the upstreams may not have been able to report. Gives those that are gone.
    pub fn replace(
        &mut self,
        records: &[UpstreamRecord],
        outage_ended: Option<Instant>,
        now: Instant,
    ) -> Vec<UpstreamId> {
        if let Some(ended) = outage_ended {
            self.grace_until = Some(ended + LAPSE_GRACE);
        }
        let mut gone = Vec::new();
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let mut before = std::mem::take(&mut self.entries);
        for record in records {
            let entry = match before.remove(&record.id) {
                Some(mut entry) => {
                    entry.missing_since = None;
                    if *entry.record != *record {
                        entry.record = Arc::new(record.clone());
                    }
                    entry
                }
                None => UpstreamEntry::new(Arc::new(record.clone()), now),
            };
            self.entries.insert(record.id.clone(), entry);
        }
        for (id, mut entry) in before {
            if !in_grace || self.address_taken(&entry) {
                gone.push(id);
                continue;
            }
            entry.missing_since.get_or_insert(now);
            self.entries.insert(id, entry);
        }
        self.is_loaded = true;
        self.read_at = Some(now);
        gone
    }

    /// Whether an upstream that could take the call is not closed, one that was tried already included.
    fn any_open(&self, query: &ChoiceQuery<'_>, now: Instant) -> bool {
        let whole = ChoiceQuery {
            avoid: &[],
            ..*query
        };
        let mut fit = self.entries.values();
        fit.any(|entry| self.may_take(entry, &whole) && !entry.cooldown.is_active(now))
    }

    fn address_taken(&self, missing: &UpstreamEntry) -> bool {
        let address = missing.record.address;
        self.entries
            .values()
            .any(|entry| entry.missing_since.is_none() && entry.record.address == address)
    }

    /// Where the engines that this call was tried at are.
    fn refusals(&self, query: &ChoiceQuery<'_>) -> ZoneRefusals {
        let mut refusals = ZoneRefusals::default();
        if query.stage != UpstreamStage::Decode {
            return refusals;
        }
        for id in query.avoid {
            if let Some(entry) = self.entries.get(id) {
                refusals.note(entry.record.zone.clone());
            }
        }
        refusals
    }

    fn may_take(&self, entry: &UpstreamEntry, query: &ChoiceQuery<'_>) -> bool {
        let record = &entry.record;
        !record.leaving
            && record.stage == query.stage
            && record.service == *query.service
            && !query.avoid.contains(&record.id)
    }
}

fn call_cost(entry: &UpstreamEntry, query: &ChoiceQuery<'_>, now: Instant) -> f64 {
    let mut cost = f64::from(entry.in_flight).max(entry.in_flight_tokens as f64 / TOKENS_A_CALL);
    if entry.record.zone != *query.zone {
        cost += match query.stage {
            UpstreamStage::Decode => OTHER_ZONE_STREAM_COST,
            UpstreamStage::Plain | UpstreamStage::Prefill => OTHER_ZONE_COST,
        };
    }
    if entry.is_full(now) {
        cost += FULL_COST;
    }
    if query.holders.contains(&entry.record.id) {
        cost -= HOLDER_GAIN;
    }
    if query.connected.contains(&entry.record.id) {
        cost -= LINK_GAIN;
    }
    // Small shares don't reorder upstreams that are alike.
    let failure = entry.failure_share(now);
    if failure > 0.05 {
        cost += FAILURE_COST * failure;
    }
    cost
}

fn prefill_choice(
    entry: &UpstreamEntry,
    query: &ChoiceQuery<'_>,
    tokens: u64,
    now: Instant,
) -> PrefillChoice {
    let queued_tokens = entry.in_flight_tokens + tokens;
    let expected = entry.prefill.expected(queued_tokens, now);
    let is_cached = query.holders.contains(&entry.record.id);
    let needed = match is_cached {
        true => entry.prefill.expected(entry.in_flight_tokens, now),
        false => expected,
    };
    let mut cost = needed + FAILURE_READ.mul_f64(entry.failure_share(now));
    if entry.is_full(now) {
        cost += FULL_READ;
    }
    if entry.record.zone != *query.zone {
        cost += OTHER_ZONE_READ;
    }
    PrefillChoice {
        queued_tokens,
        cost,
        expected,
        is_cached,
        upstream: entry.record.clone(),
    }
}

/// A cost, made greater by a draw that is another one for each request and upstream.
fn spread(cost: Duration, request: &str, upstream: &str) -> Duration {
    let draw = tie_break(request, upstream) as f64 / u64::MAX as f64;
    cost.mul_f64(1.0 + READ_SPREAD * draw)
}

fn tie_break(request: &str, upstream: &str) -> u64 {
    seeded_rng::rendezvous_score(request, upstream)
}
