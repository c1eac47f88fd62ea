//! Aggregates the usage that instances report to each other. Free of I/O; times are passed in.
//!
//! The instances of an availability zone report to its aggregator, and the aggregators report to each other; each
//! answer contains the usage of all others. The cost of an exchange for an instance thus does not depend on the number
//! of instances. Only differences to the previous report of the same instance since its start are counted, because the
//! aggregator may change at any time. Amounts are exchanged by key; customer quotas are the first use.

use {
    crate::{
        UsageRate,
        remote_usage::{RemoteUsage, ZoneUsage},
    },
    kernel::{CustomerId, Incarnation, InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A reporter that has been silent for this long is removed; its usage remains counted.
const REPORTER_TTL: Duration = Duration::from_secs(30);

/// Below this total rate the shares of the zones are unknown, units per second.
const MIN_RATE: f64 = 1.0;

/// Usage by customer, units.
pub type UsageTotals = BTreeMap<CustomerId, i64>;

/// The usage of one customer, as reported by one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// The customer that the usage is charged to.
    pub customer: CustomerId,
    /// The part of the total that no other instance has confirmed yet, units.
    pub fresh: i64,
    /// The usage since the start of the instance, including what was reported to it, units.
    pub total: i64,
}

/// The origin of reported usage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReporter {
    /// The reporting instance.
    pub instance: InstanceId,
    /// Its incarnation; totals start at zero with each.
    pub life: Incarnation,
}

#[derive(Clone, Debug, Default)]
struct ReporterRow {
    /// The usage counted for it, over all its restarts.
    counted: UsageTotals,
    last_report: Option<Instant>,
    life: Incarnation,
    /// The latest totals of its current incarnation.
    reported: UsageTotals,
}

/// The usage known to one instance.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    /// Usage from elsewhere than the reporters of this instance.
    remote: UsageTotals,
    /// The part of the own totals that another instance has confirmed.
    confirmed: UsageTotals,
    /// The aggregator that this instance reports to, whichever it is.
    aggregator: RemoteUsage,
    /// The usage of this instance and its reporters when it was last recorded.
    own_before: Option<(Instant, UsageTotals)>,
    own_rates: BTreeMap<CustomerId, UsageRate>,
    /// The latest totals received from aggregators, by instance and incarnation.
    baselines: BTreeMap<InstanceId, (Incarnation, UsageTotals)>,
    reporters: BTreeMap<InstanceId, ReporterRow>,
    /// Usage of the reporters of this instance.
    local: UsageTotals,
    zones: BTreeMap<ZoneId, ZoneUsage>,
}

impl UsageLedger {
    /// Extrapolates the usage of other zones up to now. Zones that are partitioned are assumed to use their shares of
    /// the rates in `limits` (units per second), to which they restrict themselves then. Later reports of a zone
    /// replace the estimate.
    pub fn assume(&mut self, limits: &BTreeMap<CustomerId, f64>, now: Instant) {
        let zones = self.zones.len() + 1;
        for row in self.zones.values_mut() {
            let is_partitioned = row.is_partitioned(now);
            let Some(span) = row.unreported_span(now) else {
                continue;
            };
            for (customer, limit) in limits {
                let rate = match is_partitioned {
                    true => limit * row.partition_share(customer, zones),
                    false => row.source.rate(customer),
                };
                let assumed = row.assumed.entry(customer.clone()).or_default();
                *assumed += rate * span;
                if !is_partitioned {
                    continue;
                }
                // A partition may last long, so the estimate counts like reported usage until a report arrives.
                let amount = std::mem::take(assumed) as i64;
                add(&mut row.counted, customer, amount);
                add(&mut self.remote, customer, amount);
            }
        }
    }

    /// Records the usage of this instance itself, from which the rate of its zone is derived together with the reports
    /// to it.
    pub fn note_own(&mut self, own: &UsageTotals, now: Instant) {
        let mut totals = self.local.clone();
        for (customer, amount) in own {
            add(&mut totals, customer, *amount);
        }
        if let Some((at, before)) = &self.own_before {
            let span = now.saturating_duration_since(*at);
            for (customer, total) in &totals {
                let before = before.get(customer).copied().unwrap_or_default();
                let rate = self.own_rates.entry(customer.clone()).or_default();
                rate.note(total - before, span);
            }
        }
        self.own_before = Some((now, totals));
    }

    /// Adds zones that are not known yet. A new aggregator starts with equal shares of the rates it received from the
    /// previous aggregator of its zone.
    pub fn expect_zones<'a>(&mut self, zones: impl IntoIterator<Item = &'a ZoneId>, now: Instant) {
        let missing = zones
            .into_iter()
            .filter(|zone| !self.zones.contains_key(*zone));
        let missing: Vec<ZoneId> = missing.cloned().collect();
        if missing.is_empty() {
            return;
        }
        let zone_count = (self.zones.len() + missing.len() + 1) as f64;
        for zone in missing {
            let rates = self.aggregator.rates.iter();
            let rates =
                rates.map(|(customer, rate)| (customer.clone(), rate.scaled(1.0 / zone_count)));
            let source = RemoteUsage {
                last_report: Some(self.aggregator.last_report.unwrap_or(now)),
                rates: rates.collect(),
            };
            let row = ZoneUsage {
                source,
                ..ZoneUsage::default()
            };
            self.zones.insert(zone, row);
        }
    }

    /// Records that the aggregator of another zone did not answer.
    pub fn note_silence(&mut self, zone: &ZoneId) {
        if let Some(row) = self.zones.get_mut(zone) {
            row.is_silent = true;
        }
    }

    /// The fraction of the zones that report to this instance, its own included. Zones partitioned from each other must
    /// not each use a whole bucket.
    pub fn coverage(&self, now: Instant) -> f64 {
        let reachable = self
            .zones
            .values()
            .filter(|row| !row.is_partitioned(now))
            .count();
        (1 + reachable) as f64 / (1 + self.zones.len()) as f64
    }

    /// The usage of all other instances.
    pub fn others(&self) -> UsageTotals {
        let mut others = self.remote.clone();
        for (customer, amount) in &self.local {
            add(&mut others, customer, *amount);
        }
        others
    }

    /// The usage of all other instances for the given customers.
    pub fn others_of<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) -> UsageTotals {
        let of = |totals: &UsageTotals, customer| totals.get(customer).copied().unwrap_or_default();
        let others = customers.map(|customer| {
            let others = of(&self.remote, customer) + of(&self.local, customer);
            (customer.clone(), others)
        });
        others.collect()
    }

    /// The estimated usage of other zones that they have not reported, for the given customers.
    pub fn assumed_of<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) -> UsageTotals {
        let assumed = customers.map(|customer| {
            let rows = self.zones.values();
            let amounts = rows.filter_map(|row| row.assumed.get(customer));
            (customer.clone(), amounts.sum::<f64>() as i64)
        });
        assumed.collect()
    }

    /// The usage of all others from the point of view of `reporter`. `own` is the usage of this instance itself.
    pub fn others_for(&self, reporter: &InstanceId, own: &UsageTotals) -> UsageTotals {
        let mut others = self.others();
        for (customer, amount) in own {
            add(&mut others, customer, *amount);
        }
        if let Some(row) = self.reporters.get(reporter) {
            for (customer, amount) in &row.counted {
                add(&mut others, customer, -amount);
            }
        }
        others
    }

    /// The usage of this instance and its reporters, without what `to` has reported itself.
    pub fn report(&self, to: Option<&InstanceId>, own: &UsageTotals) -> Vec<UsageRow> {
        let mut totals = self.local.clone();
        for (customer, amount) in own {
            add(&mut totals, customer, *amount);
        }
        let reported = to.and_then(|to| self.reporters.get(to));
        for (customer, amount) in reported.iter().flat_map(|row| &row.counted) {
            add(&mut totals, customer, -amount);
        }
        let mut rows = Vec::new();
        for (customer, total) in totals {
            let confirmed = self.confirmed.get(&customer).copied().unwrap_or_default();
            rows.push(UsageRow {
                fresh: total - confirmed,
                customer,
                total,
            });
        }
        rows
    }

    /// Records that another instance has confirmed a report.
    pub fn confirm(&mut self, rows: &[UsageRow]) {
        for row in rows {
            self.confirmed.insert(row.customer.clone(), row.total);
        }
    }

    /// Counts a report of another instance to this one.
    pub fn note_report(&mut self, reporter: &UsageReporter, rows: &[UsageRow], now: Instant) {
        let known = self.reporters.entry(reporter.instance.clone()).or_default();
        let is_new = known.last_report.is_none() || known.life != reporter.life;
        if is_new {
            known.reported.clear();
            known.life = reporter.life;
        }
        known.last_report = Some(now);
        for row in rows {
            let before = known.reported.insert(row.customer.clone(), row.total);
            // Usage from before the first report to this instance has been counted by others, except for the fresh
            // part.
            let amount = before.map_or(row.fresh, |before| row.total - before);
            add(&mut known.counted, &row.customer, amount);
            add(&mut self.local, &row.customer, amount);
        }
        self.reporters.retain(|_, row| {
            row.last_report.is_some_and(|last_report| {
                now.saturating_duration_since(last_report) < REPORTER_TTL
            })
        });
    }

    /// Counts the answer of the aggregator: the usage of all others.
    pub fn note_remote(&mut self, from: &UsageReporter, totals: &UsageTotals, now: Instant) {
        let differences = self.differences(from, totals);
        let amounts = self.aggregator.update(differences, now);
        add_all(&mut self.remote, &amounts);
        // There is only one aggregator at a time; after a change it and the zones are counted from scratch.
        self.baselines
            .retain(|instance, _| *instance == from.instance);
        self.zones.clear();
    }

    /// Counts a report of the aggregator of another zone about its zone.
    pub fn note_zone(
        &mut self,
        zone: &ZoneId,
        from: &UsageReporter,
        totals: &UsageTotals,
        now: Instant,
    ) {
        let differences = self.differences(from, totals);
        let row = self.zones.entry(zone.clone()).or_default();
        let assumed = std::mem::take(&mut row.assumed);
        let counted = std::mem::take(&mut row.counted);
        row.assumed_until = None;
        row.is_silent = false;
        let is_known = differences.is_some();
        let amounts = row.source.update(differences, now);
        // For the first report of an aggregator, the estimate made meanwhile is the best available value.
        match is_known {
            true => {
                add_all(&mut self.remote, &amounts);
                subtract_all(&mut self.remote, &counted);
            }
            false => add_all(&mut self.remote, &rounded(&assumed)),
        }
        self.update_shares(zone);
    }

    /// Updates the shares of a zone in the total usage, which apply when the zone is partitioned.
    fn update_shares(&mut self, zone: &ZoneId) {
        let mut all: BTreeMap<CustomerId, f64> = BTreeMap::new();
        let rates = self.zones.values().map(|row| &row.source.rates);
        for (customer, rate) in rates.chain([&self.own_rates]).flatten() {
            *all.entry(customer.clone()).or_default() += rate.get();
        }
        let Some(row) = self.zones.get_mut(zone) else {
            return;
        };
        row.shares.clear();
        for (customer, all) in all {
            if all > MIN_RATE {
                let share = row.source.rate(&customer) / all;
                row.shares.insert(customer, share);
            }
        }
    }

    /// The differences to the previous totals of the same incarnation; `None` for its first report.
    fn differences(&mut self, from: &UsageReporter, totals: &UsageTotals) -> Option<UsageTotals> {
        let known = self.baselines.get_mut(&from.instance);
        let Some((_, before)) = known.filter(|(life, _)| *life == from.life) else {
            let baseline = (from.life, totals.clone());
            self.baselines.insert(from.instance.clone(), baseline);
            return None;
        };
        let mut differences = UsageTotals::new();
        for (customer, total) in totals {
            // The first total of a customer is the baseline.
            let before = before.insert(customer.clone(), *total).unwrap_or(*total);
            differences.insert(customer.clone(), total - before);
        }
        Some(differences)
    }
}

fn add(totals: &mut UsageTotals, customer: &CustomerId, amount: i64) {
    *totals.entry(customer.clone()).or_default() += amount;
}

fn add_all(totals: &mut UsageTotals, amounts: &UsageTotals) {
    for (customer, amount) in amounts {
        add(totals, customer, *amount);
    }
}

fn subtract_all(totals: &mut UsageTotals, amounts: &UsageTotals) {
    for (customer, amount) in amounts {
        add(totals, customer, -amount);
    }
}

fn rounded(amounts: &BTreeMap<CustomerId, f64>) -> UsageTotals {
    let amounts = amounts.iter();
    let rounded = amounts.map(|(customer, amount)| (customer.clone(), *amount as i64));
    rounded.collect()
}
