//! Instances that share the quotas of customers, in virtual time: driven as their driver on the network does it, with the
//! ways that were weighed beside it, and an oracle that counts what ran.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the model"
)]

use {
    kernel::{CustomerId, InstanceId, ZoneId},
    policy::{
        CustomerLimit, QuotaRule, QuotaTable, QuotaUnit, UsageLedger, UsageReporter, UsageRow,
        UsageTotals,
    },
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(10);
const CALM_PERIOD: Duration = Duration::from_secs(1);
const PRESSED_PERIOD: Duration = Duration::from_millis(100);
/// An answer in vain costs this, and the one that gave none is left alone for a while.
const CALL_LIMIT: Duration = Duration::from_millis(300);
const REST: Duration = Duration::from_secs(2);

/// How instances share a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareWay {
    /// They tell each other what they use: what the product does.
    Exchange,
    /// Each has an equal part of rate and burst: how retries are shared.
    Equal,
    /// Each has the part that its use had of all in the last seconds, as it is told once a second.
    Following,
    /// One instance holds the bucket and gives it out in leases; without it nobody has more than it holds.
    Leases,
}

/// What happens to instances.
#[derive(Clone, Copy, Debug)]
pub enum QuotaFault {
    CutZone(usize, Duration),
    Freeze(usize, Duration),
    Kill(usize),
    KillAll,
    /// The first instance of a zone.
    KillFirst(usize),
}

/// Requests of one customer.
#[derive(Clone, Debug)]
pub struct Demand {
    /// How many instances its callers are connected to.
    pub spread: usize,
    /// The first of these.
    pub from: usize,
    /// Units a request.
    pub cost: u64,
    /// Units a second.
    pub rate: f64,
}

#[derive(Debug)]
struct Node {
    frozen_until: Instant,
    /// What is held of each lease, and when it was asked for last.
    leases: BTreeMap<CustomerId, (f64, Instant)>,
    ledger: UsageLedger,
    life: u64,
    next_call: Instant,
    rests: BTreeMap<usize, Instant>,
    starts: Option<Instant>,
    table: QuotaTable,
    told: BTreeMap<(usize, u64), UsageTotals>,
    last_call: Instant,
    is_pressed: bool,
    is_first: bool,
    recent: VecDeque<(Instant, CustomerId, u64)>,
}

/// What came of a customer's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Units that ran.
    pub ran: u64,
    /// Units refused which an ideal bucket had room for.
    pub wrongly_refused: u64,
    /// Units that an ideal bucket had room for.
    pub fitting: u64,
    /// The most that ran in a window, as a part of what may.
    pub peak: f64,
}

/// How all customers fared.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// The most that a customer used in a window, as a part of what it may.
    pub peak: f64,
    /// Of the units for which an ideal bucket had room at their moment, the part that was refused.
    pub refused: f64,
    /// Of the units that ideal buckets give over the day, the part that did not run.
    pub short: f64,
}

#[derive(Debug)]
struct CustomerState {
    bound_from: Option<Instant>,
    demand: Demand,
    due: f64,
    limit: CustomerLimit,
    ideal: f64,
    holder: f64,
    ran: VecDeque<(Instant, u64)>,
    ran_in_window: u64,
    outcome: Outcome,
    shares: BTreeMap<usize, f64>,
}

/// The whole.
#[derive(Debug)]
pub struct QuotaModel {
    customers: BTreeMap<CustomerId, CustomerState>,
    cut_until: Vec<Instant>,
    each: usize,
    nodes: Vec<Node>,
    pub now: Instant,
    rng: Pcg64Mcg,
    rule: QuotaRule,
    way: ShareWay,
    /// Bytes of the messages that were exchanged.
    pub bytes: u64,
    pub calls: u64,
    shared_at: Instant,
}

pub fn tokens(rate: f64, burst: f64) -> CustomerLimit {
    CustomerLimit {
        burst,
        rate,
        unit: QuotaUnit::Tokens { plain: 200 },
    }
}

/// The rule that the deployments of today have: a tenth more in 8 s, and some 26 large prompts.
pub fn usual_rule() -> QuotaRule {
    QuotaRule {
        overage: 0.1,
        slack: 140_000.0,
        window: Duration::from_secs(8),
    }
}

impl QuotaModel {
    pub fn new(zones: usize, each: usize, way: ShareWay, seed: u64) -> Self {
        let now = Instant::now();
        let rule = usual_rule();
        let nodes = (0..zones * each).map(|index| {
            // Instances start one after the other.
            let phase = TICK * u32::try_from(index * 7 % 100).unwrap();
            Node::new(now, 1, now + phase)
        });
        Self {
            bytes: 0,
            calls: 0,
            customers: BTreeMap::new(),
            cut_until: vec![now; zones],
            each,
            nodes: nodes.collect(),
            now,
            rng: Pcg64Mcg::new(u128::from(seed) | 1),
            rule,
            shared_at: now,
            way,
        }
    }

    /// There is a customer with these requests.
    pub fn customer(&mut self, name: &str, limit: CustomerLimit, demand: Demand) {
        let state = CustomerState {
            bound_from: None,
            demand,
            due: 0.0,
            holder: 0.0,
            ideal: 0.0,
            limit,
            outcome: Outcome::default(),
            ran: VecDeque::new(),
            ran_in_window: 0,
            shares: BTreeMap::new(),
        };
        self.customers.insert(name.into(), state);
        self.set_limits();
    }

    /// The requests of a customer change.
    pub fn demand(&mut self, name: &str, change: impl FnOnce(&mut Demand)) {
        change(&mut self.customers.get_mut(name).unwrap().demand);
    }

    pub fn limit(&mut self, name: &str, limit: CustomerLimit) {
        let state = self.customers.get_mut(name).unwrap();
        state.limit = limit;
        // A lower limit binds one window later.
        state.bound_from = Some(self.now + self.rule.window);
        self.set_limits();
    }

    fn set_limits(&mut self) {
        let customers = self.customers.iter();
        let limits: Vec<_> = customers
            .map(|(id, state)| (id.clone(), state.limit))
            .collect();
        for node in &mut self.nodes {
            let limits = limits.iter().map(|(id, limit)| (id, *limit));
            node.table.set_limits(limits, self.now);
        }
    }

    pub fn fault(&mut self, fault: QuotaFault) {
        let now = self.now;
        match fault {
            QuotaFault::CutZone(zone, span) => self.cut_until[zone] = now + span,
            QuotaFault::Freeze(node, span) => self.nodes[node].frozen_until = now + span,
            QuotaFault::Kill(node) => self.kill(node),
            QuotaFault::KillAll => (0..self.nodes.len()).for_each(|node| self.kill(node)),
            QuotaFault::KillFirst(zone) => {
                if let Some(first) = self.first(zone) {
                    self.kill(first);
                }
            }
        }
    }

    pub fn outcome(&self, name: &str) -> Outcome {
        self.customers[name].outcome
    }

    /// How customers fared.
    pub fn summary(&self) -> Summary {
        let outcomes = || self.customers.values().map(|state| state.outcome);
        let fitting: u64 = outcomes().map(|outcome| outcome.fitting).sum();
        let refused: u64 = outcomes().map(|outcome| outcome.wrongly_refused).sum();
        let short = outcomes().map(|outcome| outcome.fitting.saturating_sub(outcome.ran));
        Summary {
            peak: outcomes().map(|outcome| outcome.peak).fold(0.0, f64::max),
            refused: refused as f64 / fitting.max(1) as f64,
            short: short.sum::<u64>() as f64 / fitting.max(1) as f64,
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for node in 0..self.nodes.len() {
                self.step(node);
            }
            self.share();
            self.requests();
        }
    }

    fn kill(&mut self, index: usize) {
        let spread = Duration::from_millis(40 * (index as u64 * 7 % 19));
        let life = self.nodes[index].life + 1;
        let starts = self.now + Duration::from_millis(600) + spread;
        let mut node = Node::new(starts, life, starts);
        node.starts = Some(starts);
        self.nodes[index] = node;
        self.set_limits();
    }

    fn is_up(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.starts.is_none() && self.now >= node.frozen_until
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to_zone) = (from / self.each, to / self.each);
        let is_cut = self.now < self.cut_until[from] || self.now < self.cut_until[to_zone];
        self.is_up(to) && (from == to_zone || !is_cut)
    }

    /// The first instance of a zone that is there.
    fn first(&self, zone: usize) -> Option<usize> {
        let mut all = zone * self.each..(zone + 1) * self.each;
        all.find(|node| self.is_up(*node))
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.starts.is_some_and(|starts| now < starts) || now < node.frozen_until {
            return;
        }
        node.starts = None;
        if self.way != ShareWay::Exchange {
            return;
        }
        let is_due =
            now >= node.next_call || node.is_pressed && now >= node.last_call + PRESSED_PERIOD;
        if !is_due {
            return;
        }
        node.is_pressed = false;
        node.last_call = now;
        node.next_call = now + CALM_PERIOD;
        self.exchange(index);
    }

    fn own(&self, index: usize) -> UsageTotals {
        let own = self.nodes[index].table.own_usage();
        own.map(|(id, own)| (id.clone(), own)).collect()
    }

    fn exchange(&mut self, index: usize) {
        let now = self.now;
        let own = self.own(index);
        self.nodes[index].ledger.note_own(&own, now);
        let zone = index / self.each;
        for other in zone * self.each..index {
            if self.nodes[index]
                .rests
                .get(&other)
                .is_some_and(|until| now < *until)
            {
                continue;
            }
            if !self.reaches(index, other) {
                let node = &mut self.nodes[index];
                node.rests.insert(other, now + REST);
                node.next_call = now + CALL_LIMIT;
                return;
            }
            self.nodes[index].rests.remove(&other);
            self.nodes[index].is_first = false;
            return self.tell_first(index, other, &own);
        }
        if !std::mem::replace(&mut self.nodes[index].is_first, true) {
            self.nodes[index].table.start_aggregating(now);
        }
        self.tell_zones(index, &own);
    }

    fn rows(
        &mut self,
        index: usize,
        to: usize,
        of: Option<&InstanceId>,
        own: &UsageTotals,
    ) -> Vec<UsageRow> {
        let key = (to, self.nodes[to].life);
        let node = &mut self.nodes[index];
        let mut rows = node.ledger.report(of, own);
        let told = node.told.entry(key).or_default();
        rows.retain(|row| told.get(&row.customer) != Some(&row.total));
        for row in &rows {
            told.insert(row.customer.clone(), row.total);
        }
        node.ledger.confirm(&rows);
        self.calls += 1;
        self.bytes += 60 + 18 * rows.len() as u64;
        rows
    }

    fn tell_first(&mut self, index: usize, first: usize, own: &UsageTotals) {
        let now = self.now;
        let (me, them) = (instance(index), instance(first));
        let rows = self.rows(index, first, Some(&them), own);
        let own_there = self.own(first);
        let life = self.nodes[index].life;
        let low = self.nodes[index].table.low_balances(now);
        let there = &mut self.nodes[first];
        there.table.cap_balances(&low, now);
        let teller = UsageReporter {
            instance: me.clone(),
            life,
        };
        there.ledger.note_report(&teller, &rows, now);
        let totals = there.ledger.others_for(&me, &own_there);
        there.go_by(&rows, now);
        let assumed = there.ledger.assumed_of(totals.keys());
        let rooms = there.rooms(&totals, now);
        let is_settled = there.table.is_settled(now);
        let teller = UsageReporter {
            instance: them,
            life: there.life,
        };
        self.bytes += 60 + 18 * totals.len() as u64;
        let reach = there.table.coverage();
        let here = &mut self.nodes[index];
        here.table.set_coverage(reach);
        here.ledger.note_remote(&teller, &totals, now);
        let others = here.ledger.others_of(totals.keys());
        here.table.note_synced(now);
        here.table.note_others(&others, &assumed, now);
        here.take_rooms(is_settled, &rooms, own, now);
    }

    fn tell_zones(&mut self, index: usize, own: &UsageTotals) {
        let now = self.now;
        let zone = index / self.each;
        let zones: Vec<usize> = (0..self.cut_until.len())
            .filter(|other| *other != zone)
            .collect();
        let names: Vec<ZoneId> = zones.iter().map(|zone| zone_name(*zone)).collect();
        self.nodes[index].ledger.expect_zones(&names, now);
        let mut followed: Option<(bool, UsageTotals)> = None;
        for other in zones {
            let Some(first) = self
                .first(other)
                .filter(|first| self.reaches(index, *first))
            else {
                self.nodes[index].ledger.note_silence(&zone_name(other));
                continue;
            };
            let rows = self.rows(index, first, None, own);
            let told = rows
                .iter()
                .map(|row| (row.customer.clone(), row.total))
                .collect();
            let teller = UsageReporter {
                instance: instance(index),
                life: self.nodes[index].life,
            };
            let own_there = self.own(first);
            let low = self.nodes[index].table.low_balances(now);
            let there = &mut self.nodes[first];
            there.table.cap_balances(&low, now);
            there
                .ledger
                .note_zone(&zone_name(zone), &teller, &told, now);
            let totals = there.ledger.report(None, &own_there).into_iter();
            let totals: UsageTotals = totals.map(|row| (row.customer, row.total)).collect();
            there.go_by(&rows, now);
            let rooms = there.rooms(&totals, now);
            let is_settled = there.table.is_settled(now);
            let teller = UsageReporter {
                instance: instance(first),
                life: there.life,
            };
            self.bytes += 60 + 18 * totals.len() as u64;
            let here = &mut self.nodes[index];
            here.ledger
                .note_zone(&zone_name(other), &teller, &totals, now);
            if followed.is_none() && other < zone {
                followed = Some((is_settled, rooms));
            }
        }
        self.take_zones(index);
        if let Some((is_settled, rooms)) = followed {
            self.nodes[index].take_rooms(is_settled, &rooms, own, now);
        }
    }

    fn take_zones(&mut self, index: usize) {
        let now = self.now;
        let limits = self
            .customers
            .iter()
            .map(|(id, state)| (id.clone(), state.limit.rate));
        let limits: BTreeMap<CustomerId, f64> = limits.collect();
        let here = &mut self.nodes[index];
        here.ledger.assume(&limits, now);
        let others = here.ledger.others_of(limits.keys());
        here.table.set_coverage(here.ledger.coverage(now));
        here.table.note_synced(now);
        let assumed = here.ledger.assumed_of(limits.keys());
        here.table.note_others(&others, &assumed, now);
    }

    /// Once a second, parts of the rate follow the use of the last two seconds.
    fn share(&mut self) {
        if self.way != ShareWay::Following || self.now < self.shared_at + CALM_PERIOD {
            return;
        }
        self.shared_at = self.now;
        let horizon = self.now - Duration::from_secs(2);
        for (id, state) in &mut self.customers {
            let mut uses: BTreeMap<usize, f64> = BTreeMap::new();
            for (index, node) in self.nodes.iter().enumerate() {
                let recent = node.recent.iter();
                let recent = recent.filter(|(at, of, _)| *at >= horizon && of == id);
                let sum: u64 = recent.map(|(_, _, cost)| *cost).sum();
                if sum > 0 {
                    uses.insert(index, sum as f64);
                }
            }
            let all: f64 = uses.values().sum();
            // A tenth is left for those that used nothing.
            state.shares = uses
                .into_iter()
                .map(|(index, sum)| (index, 0.9 * sum / all))
                .collect();
        }
    }

    fn requests(&mut self) {
        let ids: Vec<CustomerId> = self.customers.keys().cloned().collect();
        for id in ids {
            let state = self.customers.get_mut(&id).unwrap();
            state.refill(TICK);
            state.due += state.demand.rate * TICK.as_secs_f64() / state.demand.cost as f64;
            while self.customers[&id].due >= 1.0 {
                self.customers.get_mut(&id).unwrap().due -= 1.0;
                self.request(&id);
            }
        }
    }

    fn request(&mut self, id: &CustomerId) {
        use rand::RngExt as _;
        let demand = self.customers[id].demand.clone();
        let count = self.nodes.len();
        let index = (demand.from + self.rng.random_range(0..demand.spread)) % count;
        if !self.is_up(index) {
            return;
        }
        let is_taken = self.take(index, id, demand.cost);
        let (now, rule) = (self.now, self.rule);
        self.customers
            .get_mut(id)
            .unwrap()
            .note(is_taken, demand.cost, &rule, now);
    }

    fn take(&mut self, index: usize, id: &CustomerId, cost: u64) -> bool {
        let now = self.now;
        let limit = self.customers[id].limit;
        let count = self.nodes.len() as f64;
        match self.way {
            ShareWay::Exchange => {
                let node = &mut self.nodes[index];
                let taken = node.table.take(id, &limit, Some(cost), now).is_ok();
                node.is_pressed |= node.table.is_scarce(id, now);
                taken
            }
            ShareWay::Equal => self.take_part(index, id, cost, 1.0 / count),
            ShareWay::Following => {
                let shares = &self.customers[id].shares;
                let part = shares.get(&index).copied().unwrap_or(0.1 / count);
                let taken = self.take_part(index, id, cost, part);
                self.nodes[index].recent.push_back((now, id.clone(), cost));
                taken
            }
            ShareWay::Leases => self.take_lease(index, id, cost),
        }
    }

    /// A part of rate and depth, kept as a lease that refills.
    fn take_part(&mut self, index: usize, id: &CustomerId, cost: u64, part: f64) -> bool {
        let now = self.now;
        let limit = self.customers[id].limit;
        let node = &mut self.nodes[index];
        let born = node.last_call;
        let (room, at) = node.leases.entry(id.clone()).or_insert((0.0, born));
        let capacity = usual_rule().capacity(&limit) * part;
        *room =
            (*room + limit.rate * part * (now - *at).as_secs_f64()).min(capacity.max(cost as f64));
        *at = now;
        let taken = *room >= cost as f64;
        if taken {
            *room -= cost as f64;
        }
        taken
    }

    /// Asks the holder for what it has not: as much as its requests of the next half second, and more than it needs now.
    fn take_lease(&mut self, index: usize, id: &CustomerId, cost: u64) -> bool {
        let now = self.now;
        // The holder is the first instance that lives; one that was chosen anew begins with an empty bucket.
        let holder = (0..self.nodes.len()).find(|node| self.nodes[*node].starts.is_none());
        let node = &mut self.nodes[index];
        let (held, _) = *node.leases.entry(id.clone()).or_insert((0.0, now));
        if held < cost as f64 {
            let Some(holder) =
                holder.filter(|holder| *holder == index || self.reaches(index, *holder))
            else {
                return false;
            };
            let state = self.customers.get_mut(id).unwrap();
            let wish = cost as f64 - held + state.demand.rate * 0.5 / state.demand.spread as f64;
            let given = wish.min(state.holder.max(0.0));
            state.holder -= given;
            self.calls += u64::from(holder != index);
            self.bytes += 160;
            self.nodes[index]
                .leases
                .insert(id.clone(), (held + given, now));
        }
        let (held, _) = self.nodes[index].leases.get_mut(id).unwrap();
        let taken = *held >= cost as f64;
        if taken {
            *held -= cost as f64;
        }
        taken
    }
}

impl CustomerState {
    fn refill(&mut self, span: Duration) {
        let gain = self.limit.rate * span.as_secs_f64();
        self.ideal = (self.ideal + gain).min(self.limit.burst);
        self.holder = (self.holder + gain).min(usual_rule().capacity(&self.limit));
    }

    fn note(&mut self, is_taken: bool, cost: u64, rule: &QuotaRule, now: Instant) {
        let fits = self.ideal >= cost as f64;
        if fits {
            self.ideal -= cost as f64;
            self.outcome.fitting += cost;
            if !is_taken {
                self.outcome.wrongly_refused += cost;
            }
        }
        if !is_taken {
            return;
        }
        self.outcome.ran += cost;
        self.ran.push_back((now, cost));
        self.ran_in_window += cost;
        while self
            .ran
            .front()
            .is_some_and(|(at, _)| *at + rule.window < now)
        {
            let (_, cost) = self.ran.pop_front().unwrap();
            self.ran_in_window -= cost;
        }
        if self.bound_from.is_some_and(|from| now < from) {
            return;
        }
        let peak = self.ran_in_window as f64 / rule.window_limit(&self.limit);
        self.outcome.peak = self.outcome.peak.max(peak);
    }
}

impl Node {
    fn rooms(&self, totals: &UsageTotals, now: Instant) -> UsageTotals {
        let rooms = totals
            .keys()
            .filter_map(|id| Some((id.clone(), self.table.reported_balance(id, now)? as i64)));
        rooms.collect()
    }

    /// Goes by what others of the told customers used.
    fn go_by(&mut self, rows: &[UsageRow], now: Instant) {
        let is_scarce = |row: &UsageRow| self.table.is_scarce(&row.customer, now);
        self.is_pressed |= rows.iter().any(is_scarce);
        let told = rows.iter().map(|row| &row.customer);
        let others = self.ledger.others_of(told.clone());
        let assumed = self.ledger.assumed_of(told);
        self.table.note_others(&others, &assumed, now);
    }

    fn take_rooms(
        &mut self,
        is_settled: bool,
        rooms: &UsageTotals,
        own: &UsageTotals,
        now: Instant,
    ) {
        match is_settled {
            true => self.table.follow_balances(rooms, own, now),
            false => self.table.cap_balances(rooms, now),
        }
    }

    fn new(born: Instant, life: u64, first_call: Instant) -> Self {
        Self {
            frozen_until: born,
            is_first: false,
            is_pressed: false,
            last_call: born,
            leases: BTreeMap::new(),
            ledger: UsageLedger::default(),
            life,
            next_call: first_call,
            recent: VecDeque::new(),
            rests: BTreeMap::new(),
            starts: None,
            table: QuotaTable::new(usual_rule(), false, born),
            told: BTreeMap::new(),
        }
    }
}

fn instance(index: usize) -> InstanceId {
    format!("front-{index}").into()
}

fn zone_name(index: usize) -> ZoneId {
    format!("zone-{index}").into()
}
