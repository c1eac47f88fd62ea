//! The software versions that the list of upstreams named lately. Free of I/O; times are passed in.

use {
    crate::{SoftwareMemory, UpstreamRecord},
    kernel::{ServiceId, SoftwareVersion},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How long a version counts after its last upstream has left the list. Callers resume streams of that upstream meanwhile.
const RETENTION: Duration = Duration::from_secs(60);

/// The age from which on a list may lack a version that others list: more than one period of the readings.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(1_500);

/// The versions of each service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// When each version was in the list last.
    listed_at: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Instant>>,
    /// When the last list was applied.
    applied_at: Option<Instant>,
    /// When the first list was applied.
    followed_since: Option<Instant>,
    /// When the store was read for the newest list.
    read_at: Option<Instant>,
    /// When the store's memory of the versions was first known to this process.
    remembered_at: Option<Instant>,
}

impl SoftwareHistory {
    /// Records the versions of a new list.
    pub fn apply(&mut self, records: &[UpstreamRecord], now: Instant) {
        for record in records {
            let known = self.listed_at.get_mut(&record.service);
            if let Some(listed_at) = known.and_then(|known| known.get_mut(&record.software)) {
                *listed_at = now;
                continue;
            }
            let versions = self.listed_at.entry(record.service.clone()).or_default();
            versions.insert(record.software.clone(), now);
        }
        for versions in self.listed_at.values_mut() {
            versions.retain(|_, listed_at| is_recent(*listed_at, now));
        }
        self.listed_at.retain(|_, versions| !versions.is_empty());
        let is_gap = self.applied_at.is_some_and(|at| !is_recent(at, now));
        self.applied_at = Some(now);
        if is_gap {
            self.followed_since = None;
        }
        self.followed_since.get_or_insert(now);
    }

    /// Whether no version of the last [`RETENTION`] can be missing here: this process has followed the list for that long,
    /// or knows the store's memory and a list that was read after it.
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_followed = self
            .followed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RETENTION);
        let is_remembered = self.remembered_at.is_some() && self.read_at >= self.remembered_at;
        is_followed || is_remembered
    }

    /// Whether the list is complete and was read just now, so that no other instance has used a newer one for long.
    pub fn is_current(&self, now: Instant) -> bool {
        let age = self.read_at.map(|read| now.saturating_duration_since(read));
        self.is_complete(now) && age.is_some_and(|age| age < MAX_CURRENT_AGE)
    }

    /// Records when the store was read for a list.
    pub fn note_read(&mut self, read: Instant) {
        self.read_at = self.read_at.max(Some(read));
    }

    /// Adds the versions in the store's memory, which was read at the local time `now` and at `clock` of the store's own
    /// clock; `era` is the store's era. `None` for a store that has no memory.
    pub fn remember(
        &mut self,
        memory: Option<&SoftwareMemory>,
        era: u64,
        clock: Option<Duration>,
        now: Instant,
    ) {
        let applied_at = self.applied_at;
        for (service, software, gone_for) in
            memory.into_iter().flat_map(|memory| memory.rows(clock))
        {
            let Some(listed_at) = now.checked_sub(gone_for) else {
                continue;
            };
            if !is_recent(listed_at, now) {
                continue;
            }
            let versions = self.listed_at.entry(service.clone()).or_default();
            let known = versions.entry(software.clone()).or_insert(listed_at);
            // A version of the newest list is told by the time of that list.
            if Some(*known) != applied_at {
                *known = listed_at.max(*known);
            }
        }
        if memory.map_or(0, |memory| memory.era) == era {
            self.remembered_at.get_or_insert(now);
        }
    }

    /// For each version of a service that is listed, or was lately, how long ago its last upstream left the list; `None`
    /// while it is listed.
    pub fn ages(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceId, &SoftwareVersion, Option<Duration>)> {
        let services = self.listed_at.iter();
        let rows = services.flat_map(|(service, rows)| {
            rows.iter()
                .map(move |(software, at)| (service, software, *at))
        });
        let applied_at = self.applied_at;
        rows.filter_map(move |(service, software, at)| {
            let is_listed = Some(at) == applied_at;
            let age = now.saturating_duration_since(at);
            (is_listed || is_recent(at, now)).then_some((
                service,
                software,
                (!is_listed).then_some(age),
            ))
        })
    }

    /// Takes upstreams of versions that are not known here out of a list that is not applied yet, as far as others of their
    /// stage serve. Each returned row was taken out.
    pub fn withhold_new(
        &self,
        records: &mut Vec<UpstreamRecord>,
        now: Instant,
    ) -> Vec<UpstreamRecord> {
        let is_known = |record: &UpstreamRecord| {
            let mut versions = self.versions(&record.service, now);
            versions.any(|version| *version == record.software)
        };
        let serving = records.iter();
        let serving = serving.filter(|record| !record.leaving && is_known(record));
        let served: Vec<_> = serving
            .map(|record| (record.service.clone(), record.stage))
            .collect();
        let is_new = |record: &mut UpstreamRecord| {
            let stage = (record.service.clone(), record.stage);
            !is_known(record) && served.contains(&stage)
        };
        records.extract_if(.., is_new).collect()
    }

    /// Whether several versions of a service were listed lately.
    pub fn is_mixed(&self, service: &ServiceId, now: Instant) -> bool {
        self.versions(service, now).nth(1).is_some()
    }

    /// The versions of a service that are listed, or were lately.
    pub fn versions(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.listed_at.get(service).into_iter().flatten();
        let applied_at = self.applied_at;
        versions.filter_map(move |(version, listed_at)| {
            let is_listed = Some(*listed_at) == applied_at;
            (is_listed || is_recent(*listed_at, now)).then_some(version)
        })
    }

    /// The services of which several versions were listed lately.
    pub fn mixed_services(&self, now: Instant) -> BTreeSet<ServiceId> {
        let mixed = self
            .services()
            .filter(|service| self.is_mixed(service, now));
        mixed.cloned().collect()
    }

    /// The services with a version that is listed, or was lately.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.listed_at.keys()
    }
}

/// Whether a version still counts so long after its last upstream has left the list.
pub(crate) fn is_retained(gone_for: Duration) -> bool {
    gone_for < RETENTION
}

fn is_recent(listed_at: Instant, now: Instant) -> bool {
    is_retained(now.saturating_duration_since(listed_at))
}
