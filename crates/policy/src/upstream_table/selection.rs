//! The selection of an upstream for a call.

use {
    super::UpstreamTable,
    crate::{
        ChoiceQuery, PrefillChoice, UpstreamEntry, UpstreamRecord, UpstreamStage, ZoneRefusals,
        call_cost::{COLD_COST, DUE_GAIN, call_cost},
        prefill_choice::{COLD_PREFILL, with_jitter},
    },
    kernel::{SoftwareVersion, UpstreamId, ZoneId, seeded_rng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The failure rate from which an engine is not relied on for new requests.
const UNRELIABLE_SHARE: f64 = 0.5;

impl UpstreamTable {
    /// The time until this instance may call a cold upstream that matches the query; `None` when there is none.
    pub fn cold_wait(&self, query: &ChoiceQuery<'_>, now: Instant) -> Option<Duration> {
        let entries = self.entries.values();
        let eligible = entries.filter(|entry| self.is_eligible(entry, query));
        eligible
            .filter_map(|entry| self.turn_wait(entry, now))
            .min()
    }

    /// When a request may come back that no upstream took because of what they state; `None` when some upstream that matches
    /// the query neither states a rate limit nor asked for a pause.
    pub fn stated_wait(&self, query: &ChoiceQuery<'_>, now: Instant) -> Option<Duration> {
        let mut earliest = None;
        for entry in self.entries.values() {
            if !self.is_eligible(entry, query) {
                continue;
            }
            let id = &entry.record.id;
            let rate = self.rates.retry_after(id, query.request, now);
            let backoff = self.backoffs.retry_after(id, query.request, now);
            let wait = rate.max(backoff)?;
            earliest = Some(earliest.map_or(wait, |earliest: Duration| earliest.min(wait)));
        }
        earliest
    }

    /// Selects the upstream with the lowest cost; `None` when there is none to try.
    pub fn choose(&self, query: &ChoiceQuery<'_>, now: Instant) -> Option<Arc<UpstreamRecord>> {
        let mut best: Option<(bool, f64, u64, &UpstreamEntry)> = None;
        let refusals = self.refusals(query);
        let kept = self.kept_versions(query, now);
        for entry in self.entries.values() {
            if !self.is_suitable(entry, query, now) || kept.contains(&entry.record.software) {
                continue;
            }
            let in_cooldown = entry.cooldown.is_active(now);
            let mut cost = call_cost(entry, query, now) + refusals.cost(&entry.record.zone);
            if self.turn_wait(entry, now).is_some() {
                cost += COLD_COST;
            }
            if self.rates.limit(&entry.record.id).is_some() {
                cost -= DUE_GAIN;
            }
            let tie = tie_break(query.request, &entry.record.id);
            let better = match &best {
                Some((cooldown, lowest, lowest_tie, _)) => {
                    (in_cooldown, cost, tie) < (*cooldown, *lowest, *lowest_tie)
                }
                None => true,
            };
            if better {
                best = Some((in_cooldown, cost, tie, entry));
            }
        }
        let (in_cooldown, _, _, entry) = best?;
        // If all are in cooldown the refusals may be misleading. If others have been tried and are full, they are not.
        if in_cooldown && self.any_available(query, &kept, now) {
            return None;
        }
        Some(entry.record.clone())
    }

    /// Selects the prefill engine expected to finish a prompt first: one per availability zone is drawn with jitter,
    /// and the best of these is returned.
    pub fn choose_prefill(
        &self,
        query: &ChoiceQuery<'_>,
        tokens: u64,
        now: Instant,
    ) -> Option<PrefillChoice> {
        let mut drawn: BTreeMap<&ZoneId, (Duration, PrefillChoice)> = BTreeMap::new();
        for entry in self.entries.values() {
            if !self.is_suitable(entry, query, now) {
                continue;
            }
            let mut choice = PrefillChoice::new(entry, query, tokens, now);
            if self.turn_wait(entry, now).is_some() {
                choice.cost += COLD_PREFILL;
            }
            let cost = with_jitter(choice.cost, query.request, &entry.record.id);
            match drawn.get(&entry.record.zone) {
                Some((lowest, _)) if *lowest <= cost => continue,
                _ => drawn.insert(&entry.record.zone, (cost, choice)),
            };
        }
        let choices = drawn.into_values().map(|(_, choice)| choice);
        choices.min_by_key(|choice| choice.cost)
    }

    /// The choice of one prefill engine; `None` when it does not match the query or may not be called now.
    pub fn prefill_at(
        &self,
        engine: &UpstreamId,
        query: &ChoiceQuery<'_>,
        tokens: u64,
        now: Instant,
    ) -> Option<PrefillChoice> {
        let entry = self.entries.get(engine)?;
        let is_suitable = self.is_suitable(entry, query, now);
        is_suitable.then(|| PrefillChoice::new(entry, query, tokens, now))
    }

    /// The record of an upstream that matches the query and may be called now.
    pub fn suitable(
        &self,
        id: &UpstreamId,
        query: &ChoiceQuery<'_>,
        now: Instant,
    ) -> Option<Arc<UpstreamRecord>> {
        let entry = self.entries.get(id)?;
        let is_suitable = self.is_suitable(entry, query, now);
        is_suitable.then(|| entry.record.clone())
    }

    /// The record of an upstream that may be called now.
    pub fn callable(&self, id: &UpstreamId, now: Instant) -> Option<Arc<UpstreamRecord>> {
        let entry = self.entries.get(id)?;
        let is_open = self.entry_block(entry, now).is_none();
        is_open.then(|| entry.record.clone())
    }

    /// The versions whose decode engines are left to resumed streams, which can go on nowhere else, while others have at
    /// least half of the engines that can be relied on.
    fn kept_versions(&self, query: &ChoiceQuery<'_>, now: Instant) -> BTreeSet<&SoftwareVersion> {
        let mut kept = BTreeSet::new();
        if query.software.is_some() || query.stage != UpstreamStage::Decode {
            return kept;
        }
        let mut wanted = self.wanted.versions(query.service, now).peekable();
        if wanted.peek().is_none() {
            return kept;
        }
        let unrestricted = ChoiceQuery {
            avoid: &[],
            ..*query
        };
        let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
        for entry in self.entries.values() {
            let is_reliable =
                !entry.cooldown.is_active(now) && entry.failure_share(now) < UNRELIABLE_SHARE;
            if is_reliable && self.is_suitable(entry, &unrestricted, now) {
                *counts.entry(&entry.record.software).or_default() += 1;
            }
        }
        let mut spare = counts.values().sum::<usize>() / 2;
        let mut wanted: Vec<_> = wanted
            .filter_map(|version| counts.get_key_value(version))
            .collect();
        wanted.sort_by_key(|(_, count)| **count);
        for (version, count) in wanted {
            if *count > spare {
                break;
            }
            spare -= count;
            kept.insert(*version);
        }
        kept
    }

    /// Whether any suitable upstream, including those already tried, is not in cooldown.
    fn any_available(
        &self,
        query: &ChoiceQuery<'_>,
        kept: &BTreeSet<&SoftwareVersion>,
        now: Instant,
    ) -> bool {
        let unrestricted = ChoiceQuery {
            avoid: &[],
            ..*query
        };
        let mut suitable = self.entries.values();
        suitable.any(|entry| {
            self.is_suitable(entry, &unrestricted, now)
                && !kept.contains(&entry.record.software)
                && !entry.cooldown.is_active(now)
        })
    }

    /// The refusals of this request, by availability zone. Empty except for decode engines.
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

    /// Whether an upstream can be called now: it matches the query and asked for no pause, and a call is due where its rate
    /// is limited.
    fn is_suitable(&self, entry: &UpstreamEntry, query: &ChoiceQuery<'_>, now: Instant) -> bool {
        let is_due = |wait: Option<Duration>| wait.is_none_or(|wait| wait.is_zero());
        self.backoffs.left(&entry.record.id, now).is_none()
            && is_due(self.rates.wait(&entry.record.id, now))
            && is_due(self.turn_wait(entry, now))
            && self.is_eligible(entry, query)
    }

    /// The time until this instance may call a cold upstream; `None` when the upstream is warm or tolerates any rate.
    fn turn_wait(&self, entry: &UpstreamEntry, now: Instant) -> Option<Duration> {
        let phase = entry.cold?;
        let rule = self.cold_rules.get(&entry.record.service)?;
        let left = phase.left(now);
        if left.is_zero() {
            return None;
        }
        let Some(count) = self.instance_count else {
            return Some(left);
        };
        let offset = tie_break(&self.instance, &entry.record.id) as f64 / u64::MAX as f64;
        Some(phase.turns.wait(rule.period(count), offset, now).min(left))
    }

    fn is_eligible(&self, entry: &UpstreamEntry, query: &ChoiceQuery<'_>) -> bool {
        let record = &entry.record;
        record.stage == query.stage
            && record.service == *query.service
            && query
                .software
                .is_none_or(|software| record.software == *software)
            && !query.avoid.contains(&record.id)
            && query.filter.allows(&record.zone)
            && self.lasting_block(entry).is_none()
    }
}

fn tie_break(request: &str, upstream: &str) -> u64 {
    seeded_rng::rendezvous_score(request, upstream)
}
