//! Adds up what instances use, as they tell it to each other. No I/O and no clock.
//!
//! The instances of a zone tell the one that reads for it, and the readers of zones tell each other; each answer says what all
//! others have used. So an exchange costs an instance the same whatever their number. Amounts only count as differences to what
//! the same life of the same instance told before: whoever is asked may change at any moment. What is exchanged is an
//! amount by key; customers' quotas are the first that need it.

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

/// One that has told nothing for so long is forgotten; what it used stays counted.
const TELLER_LIFE: Duration = Duration::from_secs(30);

/// Below this nothing is known of who uses it, units a second.
const LEAST_RATE: f64 = 1.0;

/// Amounts by customer, units.
pub type UsageTotals = BTreeMap<CustomerId, i64>;

/// What one instance tells of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRow {
    /// The customer.
    pub customer: CustomerId,
    /// Of the total, what nobody has confirmed yet, units.
    pub fresh: i64,
    /// What this life has used, with those that told it, units.
    pub total: i64,
}

/// Whose amounts they are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReporter {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub life: Incarnation,
}

#[derive(Clone, Debug, Default)]
struct TellerRow {
    /// What was counted for it, in all its lives.
    counted: UsageTotals,
    heard: Option<Instant>,
    life: Incarnation,
    /// What its life told last.
    told: UsageTotals,
}

/// The sums of one instance.
#[derive(Clone, Debug, Default)]
pub struct UsageLedger {
    /// What was counted beyond those that tell this instance.
    beyond: UsageTotals,
    /// Of the own totals, what somebody has confirmed.
    confirmed: UsageTotals,
    /// The instance that is asked, whichever it is.
    first: RemoteUsage,
    /// What the instance and those that tell it had used at a moment.
    own_before: Option<(Instant, UsageTotals)>,
    own_rates: BTreeMap<CustomerId, UsageRate>,
    /// What others last told of what is beyond, by instance and life.
    streams: BTreeMap<InstanceId, (Incarnation, UsageTotals)>,
    tellers: BTreeMap<InstanceId, TellerRow>,
    /// What those that tell this instance have used.
    within: UsageTotals,
    zones: BTreeMap<ZoneId, ZoneUsage>,
}

impl UsageLedger {
    /// Takes other zones to have used until now what is usual there. Those that are cut off are taken to use their parts of
    /// the limits' rates (units a second), which they go by themselves then. What a zone tells later takes the place of it.
    pub fn assume(&mut self, limits: &BTreeMap<CustomerId, f64>, now: Instant) {
        let zones = self.zones.len() + 1;
        for row in self.zones.values_mut() {
            let is_cut = row.is_cut(now);
            let Some(span) = row.untold_span(now) else {
                continue;
            };
            for (customer, limit) in limits {
                let rate = match is_cut {
                    true => limit * row.cut_part(customer, zones),
                    false => row.source.rate(customer),
                };
                let assumed = row.assumed.entry(customer.clone()).or_default();
                *assumed += rate * span;
                if !is_cut {
                    continue;
                }
                // It goes on for long: what is assumed counts like what is told, until that comes.
                let amount = std::mem::take(assumed) as i64;
                add(&mut row.counted, customer, amount);
                add(&mut self.beyond, customer, amount);
            }
        }
    }

    /// What the instance itself has used by now: from it and what it is told follows the rate of its zone.
    pub fn note_own(&mut self, own: &UsageTotals, now: Instant) {
        let mut totals = self.within.clone();
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

    /// There are such zones, whether they were heard of or not. An instance that was told of them by the first of its zone goes
    /// on from there, with equal parts of what was usual.
    pub fn expect_zones<'a>(&mut self, zones: impl IntoIterator<Item = &'a ZoneId>, now: Instant) {
        let missing = zones
            .into_iter()
            .filter(|zone| !self.zones.contains_key(*zone));
        let missing: Vec<ZoneId> = missing.cloned().collect();
        if missing.is_empty() {
            return;
        }
        let parts = (self.zones.len() + missing.len() + 1) as f64;
        for zone in missing {
            let rates = self.first.rates.iter();
            let rates = rates.map(|(customer, rate)| (customer.clone(), rate.scaled(1.0 / parts)));
            let source = RemoteUsage {
                heard: Some(self.first.heard.unwrap_or(now)),
                rates: rates.collect(),
            };
            let row = ZoneUsage {
                source,
                ..ZoneUsage::default()
            };
            self.zones.insert(zone, row);
        }
    }

    /// The first instance of another zone gave no answer.
    pub fn note_silence(&mut self, zone: &ZoneId) {
        if let Some(row) = self.zones.get_mut(zone) {
            row.is_silent = true;
        }
    }

    /// The part of the zones that this instance hears of, its own among them. Zones that are cut off from each other may not
    /// each use a whole bucket.
    pub fn coverage(&self, now: Instant) -> f64 {
        let heard = self.zones.values().filter(|row| !row.is_cut(now)).count();
        (1 + heard) as f64 / (1 + self.zones.len()) as f64
    }

    /// What all others have used, for the instance itself.
    pub fn others(&self) -> UsageTotals {
        let mut others = self.beyond.clone();
        for (customer, amount) in &self.within {
            add(&mut others, customer, *amount);
        }
        others
    }

    /// What all others have used of some customers' quotas, for the instance itself.
    pub fn others_of<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) -> UsageTotals {
        let of = |totals: &UsageTotals, customer| totals.get(customer).copied().unwrap_or_default();
        let others = customers.map(|customer| {
            let others = of(&self.beyond, customer) + of(&self.within, customer);
            (customer.clone(), others)
        });
        others.collect()
    }

    /// What other zones are taken to have used of some customers' quotas beyond what they have told.
    pub fn assumed_of<'a>(&self, customers: impl Iterator<Item = &'a CustomerId>) -> UsageTotals {
        let assumed = customers.map(|customer| {
            let rows = self.zones.values();
            let amounts = rows.filter_map(|row| row.assumed.get(customer));
            (customer.clone(), amounts.sum::<f64>() as i64)
        });
        assumed.collect()
    }

    /// What all others have used, for one that tells this instance. `own` is what the instance itself has used.
    pub fn others_for(&self, teller: &InstanceId, own: &UsageTotals) -> UsageTotals {
        let mut others = self.others();
        for (customer, amount) in own {
            add(&mut others, customer, *amount);
        }
        if let Some(row) = self.tellers.get(teller) {
            for (customer, amount) in &row.counted {
                add(&mut others, customer, -amount);
            }
        }
        others
    }

    /// What this instance and those that tell it have used, less what `to` told.
    pub fn report(&self, to: Option<&InstanceId>, own: &UsageTotals) -> Vec<UsageRow> {
        let mut totals = self.within.clone();
        for (customer, amount) in own {
            add(&mut totals, customer, *amount);
        }
        let told = to.and_then(|to| self.tellers.get(to));
        for (customer, amount) in told.iter().flat_map(|row| &row.counted) {
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

    /// What was told is confirmed.
    pub fn confirm(&mut self, rows: &[UsageRow]) {
        for row in rows {
            self.confirmed.insert(row.customer.clone(), row.total);
        }
    }

    /// An instance tells what it has used.
    pub fn note_report(&mut self, teller: &UsageReporter, rows: &[UsageRow], now: Instant) {
        let known = self.tellers.entry(teller.instance.clone()).or_default();
        let is_new = known.heard.is_none() || known.life != teller.life;
        if is_new {
            known.told.clear();
            known.life = teller.life;
        }
        known.heard = Some(now);
        for row in rows {
            let before = known.told.insert(row.customer.clone(), row.total);
            // What was used before this instance was told for the first time, others have counted.
            let amount = before.map_or(row.fresh, |before| row.total - before);
            add(&mut known.counted, &row.customer, amount);
            add(&mut self.within, &row.customer, amount);
        }
        self.tellers.retain(|_, row| {
            row.heard
                .is_some_and(|heard| now.saturating_duration_since(heard) < TELLER_LIFE)
        });
    }

    /// The instance that was asked tells what all others have used.
    pub fn note_remote(&mut self, from: &UsageReporter, totals: &UsageTotals, now: Instant) {
        let news = self.differences(from, totals);
        let amounts = self.first.take(news, now);
        add_all(&mut self.beyond, &amounts);
        // Only one instance is asked at a time; another one counts anew, and zones as well.
        self.streams
            .retain(|instance, _| *instance == from.instance);
        self.zones.clear();
    }

    /// The first instance of another zone tells what its zone has used.
    pub fn note_zone(
        &mut self,
        zone: &ZoneId,
        from: &UsageReporter,
        totals: &UsageTotals,
        now: Instant,
    ) {
        let news = self.differences(from, totals);
        let row = self.zones.entry(zone.clone()).or_default();
        let assumed = std::mem::take(&mut row.assumed);
        let counted = std::mem::take(&mut row.counted);
        row.assumed_until = None;
        row.is_silent = false;
        let is_known = news.is_some();
        let amounts = row.source.take(news, now);
        // Of one that tells for the first time, what was assumed meanwhile is the best that is known.
        match is_known {
            true => {
                add_all(&mut self.beyond, &amounts);
                take_all(&mut self.beyond, &counted);
            }
            false => add_all(&mut self.beyond, &whole(&assumed)),
        }
        self.settle(zone);
    }

    /// Notes the parts that a zone has of the use of all, while both know of each other.
    fn settle(&mut self, zone: &ZoneId) {
        let mut all: BTreeMap<CustomerId, f64> = BTreeMap::new();
        let rates = self.zones.values().map(|row| &row.source.rates);
        for (customer, rate) in rates.chain([&self.own_rates]).flatten() {
            *all.entry(customer.clone()).or_default() += rate.get();
        }
        let Some(row) = self.zones.get_mut(zone) else {
            return;
        };
        row.parts.clear();
        for (customer, all) in all {
            if all > LEAST_RATE {
                let part = row.source.rate(&customer) / all;
                row.parts.insert(customer, part);
            }
        }
    }

    /// What came in since the same life told last; none when it tells for the first time.
    fn differences(&mut self, from: &UsageReporter, totals: &UsageTotals) -> Option<UsageTotals> {
        let known = self.streams.get_mut(&from.instance);
        let Some((_, before)) = known.filter(|(life, _)| *life == from.life) else {
            let stream = (from.life, totals.clone());
            self.streams.insert(from.instance.clone(), stream);
            return None;
        };
        let mut differences = UsageTotals::new();
        for (customer, total) in totals {
            // One that it names for the first time begins here.
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

fn take_all(totals: &mut UsageTotals, amounts: &UsageTotals) {
    for (customer, amount) in amounts {
        add(totals, customer, -amount);
    }
}

fn whole(amounts: &BTreeMap<CustomerId, f64>) -> UsageTotals {
    let amounts = amounts.iter();
    let whole = amounts.map(|(customer, amount)| (customer.clone(), *amount as i64));
    whole.collect()
}
