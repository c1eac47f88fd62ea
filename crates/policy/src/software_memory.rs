//! The software versions of each service, as the store keeps them for instances that start. Free of I/O; times are passed
//! in.

use {
    crate::{SoftwareHistory, UpstreamRecord, software_history::is_retained},
    kernel::{ServiceId, SoftwareVersion},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Instances that saw a version leave at times closer than this, milliseconds, mean the same departure: they read the list
/// about once a second.
const SAME_TIME_MS: u64 = 3_000;

/// The versions of each service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareMemory {
    /// The era of the store in which this was written. In another one it may lack versions.
    pub era: u64,
    /// When the last upstream of each version left the list, in milliseconds of the store's clock; `None` for a version
    /// that was listed.
    pub left_ms: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Option<u64>>>,
}

impl SoftwareMemory {
    /// What the store is to keep, also of the list `records` that was just read from it and is not applied yet. `known` is
    /// what it keeps, `clock` its clock.
    pub fn draft(
        history: &SoftwareHistory,
        records: Option<&[UpstreamRecord]>,
        known: Option<&Self>,
        era: u64,
        clock: Option<Duration>,
        now: Instant,
    ) -> Self {
        let is_complete = history.is_complete(now);
        let mut history = history.clone();
        if let Some(records) = records {
            history.apply(records, now);
        }
        // Who may lack versions does not vouch for a row of another era.
        let known_era = known.filter(|_| !is_complete).map(|known| known.era);
        let mut draft = Self {
            era: known_era.unwrap_or(era),
            left_ms: BTreeMap::new(),
        };
        for (service, software, age) in history.ages(now) {
            let left = age.and_then(|age| {
                let known = known.and_then(|known| *known.left_ms.get(service)?.get(software)?);
                let own = clock.map(|clock| clock.saturating_sub(age).as_millis() as u64);
                match (known, own) {
                    (Some(known), Some(own)) if known.abs_diff(own) >= SAME_TIME_MS => Some(own),
                    (known, own) => known.or(own),
                }
            });
            let versions = draft.left_ms.entry(service.clone()).or_default();
            versions.insert(software.clone(), left);
        }
        draft
    }

    /// Whether there is no version.
    pub fn is_empty(&self) -> bool {
        self.left_ms.is_empty()
    }

    /// Takes the versions that the store names as listed for listed: its row is newer than the list.
    pub fn keep_listed(&mut self, known: &Self) {
        for (service, versions) in &mut self.left_ms {
            let known = known.left_ms.get(service);
            for (software, left) in versions {
                if known.and_then(|known| known.get(software)) == Some(&None) {
                    *left = None;
                }
            }
        }
    }

    /// The versions of a service that are listed, or were lately, by the store's clock.
    pub fn recent_versions(
        &self,
        service: &ServiceId,
        clock: Option<Duration>,
    ) -> Vec<SoftwareVersion> {
        let rows = self.rows(clock);
        let recent = rows.filter(|(of, _, gone_for)| *of == service && is_retained(*gone_for));
        recent.map(|(_, software, _)| software.clone()).collect()
    }

    /// Whether a service has several versions.
    pub fn is_mixed(&self) -> bool {
        self.left_ms.values().any(|versions| versions.len() > 1)
    }

    /// Whether this has to replace what the store keeps, by a call of its own: it has a version that is not kept there, or
    /// not as listed. Other differences matter only while a service has several versions, or after a restore of the store.
    pub fn is_due(&self, known: Option<&Self>) -> bool {
        let Some(known) = known else {
            return !self.is_empty();
        };
        let is_mixed = self.is_mixed() || known.is_mixed();
        !self.is_covered_by(known) || known != self && (is_mixed || known.era != self.era)
    }

    /// Whether each version that is listed here is kept as listed in another one.
    fn is_covered_by(&self, other: &Self) -> bool {
        let rows = self.left_ms.iter();
        let mut listed = rows.flat_map(|(service, rows)| {
            let listed = rows.iter().filter(|(_, left)| left.is_none());
            listed.map(move |(software, _)| (service, software))
        });
        listed.all(|(service, software)| {
            let kept = other.left_ms.get(service);
            kept.and_then(|kept| kept.get(software)) == Some(&None)
        })
    }

    /// The versions, each with the time since its last upstream left the list, by the store's clock; zero for one that was
    /// listed and without the clock.
    pub fn rows(
        &self,
        clock: Option<Duration>,
    ) -> impl Iterator<Item = (&ServiceId, &SoftwareVersion, Duration)> {
        let services = self.left_ms.iter();
        let rows = services.flat_map(|(service, rows)| {
            rows.iter()
                .map(move |(software, left)| (service, software, *left))
        });
        rows.map(move |(service, software, left)| {
            let gone_for = left
                .zip(clock)
                .map(|(left, clock)| clock.saturating_sub(Duration::from_millis(left)));
            (service, software, gone_for.unwrap_or_default())
        })
    }
}
