//! The upstreams that this instance may use, and the selection among them. Free of I/O; times are passed in.

mod selection;

use {
    crate::{
        BackoffTable, CallBlock, CallVerdict, ColdRule, DepartureTable, EvacuationChange,
        EvacuationSet, PrefillEstimate, RateTable, SoftwareHistory, UpstreamEntry, UpstreamRecord,
        UpstreamStage, WantedVersions, evacuation_state::EvacuationState,
        list_history::ListHistory, report_order::ReportOrder, usual_time::UsualTime,
    },
    kernel::{InstanceId, ServiceId, UpstreamId, WorkId, ZoneId},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// An upstream is an outlier when its failure rate exceeds this multiple of the mean of the others by
/// more than [`OUTLIER_MARGIN`].
const OUTLIER_FACTOR: f64 = 3.0;
/// A single failure alone makes no outlier, two consecutive ones do.
const OUTLIER_MARGIN: f64 = 0.09;
/// How long upstreams whose records expired during an outage of the store are kept after it: by then those alive have
/// reported again.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_900);
/// The age up to which a list shows, at the end of the grace period, who has not reported again.
const MAX_ABSENCE_AGE: Duration = Duration::from_millis(1_300);

/// The known upstreams, by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    /// The upstreams that asked this instance for a pause.
    pub backoffs: BackoffTable,
    cold_rules: BTreeMap<ServiceId, ColdRule>,
    /// The upstreams that stated that they leave.
    pub departures: DepartureTable,
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    evacuations: EvacuationState,
    grace_until: Option<Instant>,
    history: ListHistory,
    instance: InstanceId,
    instance_count: Option<usize>,
    /// The rate limits that upstreams state.
    pub rates: RateTable,
    read_at: Option<Instant>,
    reports: ReportOrder,
    /// The software versions that the list named lately.
    pub software: SoftwareHistory,
    /// Whether a list has been received.
    pub is_loaded: bool,
    /// What calls to plain services usually take, by service and kind of work.
    usual_times: BTreeMap<(ServiceId, WorkId), UsualTime>,
    /// The software versions at which resumed streams found no place.
    pub wanted: WantedVersions,
}

impl UpstreamTable {
    /// An empty table of an instance.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            rates: RateTable::new(instance.clone()),
            instance,
            ..Self::default()
        }
    }

    /// Sets the services whose cold upstreams tolerate a limited rate of calls.
    pub fn set_cold_rules(&mut self, rules: BTreeMap<ServiceId, ColdRule>) {
        self.cold_rules = rules;
    }

    /// Sets the interval at which upstreams report.
    pub fn set_heartbeat(&mut self, heartbeat: Duration) {
        self.reports.set_heartbeat(heartbeat);
    }

    /// Sets how many instances share the calls to cold upstreams; `None` while unknown, when this one makes none.
    pub fn set_instance_count(&mut self, count: Option<usize>) {
        self.instance_count = count;
    }

    /// Applies the evacuated availability zones, unless newer ones are known. Upstreams of a zone whose evacuation has
    /// ended count as cold until a list read after that could say so.
    pub fn set_evacuations(&mut self, next: &EvacuationSet, now: Instant) -> EvacuationChange {
        let change = self.evacuations.apply(next, now);
        self.note_zones_cold(&change.ended, now);
        change
    }

    fn note_zones_cold(&mut self, zones: &[ZoneId], now: Instant) {
        for entry in self.entries.values_mut() {
            if !zones.contains(&entry.record.zone) {
                continue;
            }
            if let Some(rule) = self.cold_rules.get(&entry.record.service) {
                entry.note_cold(rule.duration, now);
            }
        }
    }

    /// Whether the upstreams of an availability zone get no new work.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuations.contains(zone)
    }

    /// Whether there are upstreams, and all of them are in evacuated availability zones.
    pub fn is_all_evacuated(&self) -> bool {
        let mut entries = self.entries.values();
        !self.entries.is_empty() && entries.all(|entry| self.is_evacuated(&entry.record.zone))
    }

    /// Records a call to an upstream, which counts if the upstream is cold or states a rate limit.
    pub fn note_call(&mut self, id: &UpstreamId, now: Instant) {
        let entry = self.entries.get_mut(id);
        if let Some(phase) = entry.and_then(|entry| entry.cold.as_mut()) {
            phase.turns.note_call(now);
        }
        self.rates.note_call(id, now);
    }

    /// Records the start of a call.
    pub fn begin(&mut self, id: &UpstreamId, tokens: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.in_flight += 1;
        entry.in_flight_tokens += tokens;
    }

    /// Records the end of a call; returns whether the upstream is still known.
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

    /// Sets when the current list was read from the store.
    pub fn set_list_time(&mut self, read: Instant) {
        self.read_at = Some(read);
        self.software.note_read(read);
    }

    /// The age of the current list; zero before the first one.
    pub fn list_age(&self, now: Instant) -> Duration {
        let read = self.read_at.map(|read| now.saturating_duration_since(read));
        read.unwrap_or_default()
    }

    /// Records the end of a prefill. Returns the updated estimate; `None` if the engine is no longer known.
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

    /// Records that an upstream of a plain service answered a call in full after `took`. Calls are compared with others
    /// of the same kind of work.
    pub fn note_answer(&mut self, id: &UpstreamId, work: &WorkId, took: Duration, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let key = (entry.record.service.clone(), work.clone());
        let usual = self.usual_times.entry(key);
        let slowdown = usual.or_insert_with(|| UsualTime::new(took)).note(took);
        entry.pace.note(slowdown, now);
    }

    /// Records that an engine runs a request for which it had reserved a slot.
    pub fn note_run(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cooldown.note_run();
        }
    }

    /// Records that an engine refused a request for which it had reserved a slot; `has_kv` is set when the request
    /// relied on a KV cache that may have been evicted.
    pub fn note_refusal(&mut self, id: &UpstreamId, has_kv: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cooldown.note_refusal(has_kv, now);
        }
    }

    /// Whether an upstream fails clearly more often than the others of its service. If it does not, its failure is
    /// attributed to the request, which would fail at any other upstream as well.
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
        entry.failure_share(now) > OUTLIER_FACTOR * mean + OUTLIER_MARGIN
    }

    /// Whether an upstream may be called now.
    pub fn accepts_work(&self, id: &UpstreamId, now: Instant) -> bool {
        self.call_block(id, now).is_none()
    }

    /// Why an upstream must not be called now; `None` if it may be.
    pub fn call_block(&self, id: &UpstreamId, now: Instant) -> Option<CallBlock> {
        match self.entries.get(id) {
            Some(entry) => self.entry_block(entry, now),
            None => Some(CallBlock::Unlisted),
        }
    }

    fn entry_block(&self, entry: &UpstreamEntry, now: Instant) -> Option<CallBlock> {
        let backoff = || self.backoffs.left(&entry.record.id, now);
        self.lasting_block(entry)
            .or_else(|| backoff().map(CallBlock::BackingOff))
    }

    /// Why an upstream gets no more work for as long as this instance can tell.
    fn lasting_block(&self, entry: &UpstreamEntry) -> Option<CallBlock> {
        let record = &entry.record;
        if record.leaving || self.departures.contains(&record.id) {
            return Some(CallBlock::Leaving);
        }
        self.is_evacuated(&record.zone)
            .then_some(CallBlock::Evacuated)
    }

    /// Whether an upstream is known and does not leave.
    pub fn is_active(&self, id: &UpstreamId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| self.lasting_block(entry) != Some(CallBlock::Leaving))
    }

    /// The upstreams of a service in all stages, without those that get no new work.
    pub fn active_of(&self, service: &ServiceId) -> Vec<Arc<UpstreamRecord>> {
        let active = self.entries.values().filter(|entry| {
            entry.record.service == *service && self.lasting_block(entry).is_none()
        });
        active.map(|entry| entry.record.clone()).collect()
    }

    /// The engines of a service in both stages, without those that get no new work.
    pub fn engines(&self, service: &ServiceId) -> Vec<Arc<UpstreamRecord>> {
        let mut engines = self.active_of(service);
        engines.retain(|record| record.stage != UpstreamStage::Plain);
        engines
    }

    /// All known upstreams, sorted by id.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values()
    }

    /// Records that the next list comes from a store that was restored from an older copy. Upstreams that it lacks are
    /// kept until they can have reported again, and those that left before get no work.
    pub fn note_restored(&mut self, now: Instant) {
        self.grace_until = Some(now + EXPIRY_GRACE);
        self.history.note_restored(now);
    }

    /// When the grace period of the upstreams that the list lacks ends; `None` if it lacks none that are kept.
    pub fn grace_end(&self) -> Option<Instant> {
        self.grace_until.filter(|_| self.missing().next().is_some())
    }

    /// The upstreams that the list lacks and that are kept for a grace period.
    pub fn missing(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let entries = self.entries.values();
        entries.filter(|entry| entry.missing_since.is_some())
    }

    /// Removes the upstreams that the list still lacks at the end of their grace period, and returns them. Those that
    /// an old list lacks may have reported since, and are kept until the next one.
    pub fn end_grace(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_over = self.grace_end().is_some_and(|end| now >= end);
        if !is_over || self.list_age(now) > MAX_ABSENCE_AGE {
            return Vec::new();
        }
        let gone = self.missing().map(|entry| entry.record.id.clone());
        let gone: Vec<_> = gone.collect();
        for id in &gone {
            if let Some(entry) = self.entries.remove(id) {
                self.note_gone(&entry, now);
            }
        }
        gone
    }

    /// Applies a new list and returns the upstreams removed. `outage_ended` is the latest time at which an outage of the
    /// store can have ended, if one did since the last list: upstreams missing from the list are kept for a grace
    /// period, since they may have been unable to report.
    pub fn replace(
        &mut self,
        records: &[UpstreamRecord],
        outage_ended: Option<Instant>,
        now: Instant,
    ) -> Vec<UpstreamId> {
        if let Some(ended) = outage_ended {
            self.grace_until = Some(ended + EXPIRY_GRACE);
        }
        self.software.apply(records, now);
        let mut gone = Vec::new();
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        let mut before = std::mem::take(&mut self.entries);
        for record in records {
            if let Some(last) = self.reports.superseding(record, now) {
                // The entry stays as it is; one that is missing or gone does so too.
                let is_listed = |entry: &UpstreamEntry| entry.missing_since.is_none();
                if before.get(&last).is_some_and(is_listed)
                    && let Some(entry) = before.remove(&last)
                {
                    self.entries.insert(last, entry);
                }
                continue;
            }
            let departed = self
                .history
                .has_left(&record.id, now)
                .then(|| UpstreamRecord {
                    leaving: true,
                    ..record.clone()
                });
            let record = departed.as_ref().unwrap_or(record);
            if record.leaving {
                self.history.note_left(&record.id, now);
            }
            let entry = match before.remove(&record.id) {
                Some(mut entry) => {
                    entry.missing_since = None;
                    entry.set_record(record, now);
                    entry
                }
                None => UpstreamEntry::new(Arc::new(record.clone()), now),
            };
            self.entries.insert(record.id.clone(), entry);
        }
        for (id, mut entry) in before {
            if !in_grace || self.is_address_reused(&entry) {
                self.note_gone(&entry, now);
                gone.push(id);
                continue;
            }
            entry.missing_since.get_or_insert(now);
            self.entries.insert(id, entry);
        }
        self.history.expire(now);
        self.reports.expire(now);
        let entries = &self.entries;
        self.usual_times.retain(|(service, _), _| {
            let mut entries = entries.values();
            entries.any(|entry| entry.record.service == *service)
        });
        let ended = self.evacuations.end_kept(now);
        self.note_zones_cold(&ended, now);
        self.backoffs.drop_ended(now);
        if !self.rates.is_empty() || !self.departures.is_empty() {
            let listed = self.entries.keys().cloned().collect();
            self.rates.retain(&listed, now);
            self.departures.retain(&listed, now);
        }
        self.is_loaded = true;
        self.read_at = Some(now);
        gone
    }

    fn note_gone(&mut self, entry: &UpstreamEntry, now: Instant) {
        self.history.note_left(&entry.record.id, now);
        self.reports.note_left(&entry.record, now);
    }

    fn is_address_reused(&self, missing: &UpstreamEntry) -> bool {
        let address = missing.record.address;
        self.entries
            .values()
            .any(|entry| entry.missing_since.is_none() && entry.record.address == address)
    }
}
