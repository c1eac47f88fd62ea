//! The requests that wait for a place, and the order in which they get one.

use {
    crate::{CustomerShare, FairClock, PlaceKey, WaitingRequest, queue_slot::QueueSlot},
    admit::{QueueAhead, QueuePosition},
    kernel::{CustomerId, InstanceId},
    std::{
        cmp::Ordering,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    table::Rank,
};

/// The maximum number of waiting requests. A push beyond it changes nothing.
pub const MAX_WAITING: usize = 4096;
/// How long a request waits after its instance last asked. Instances ask several times in it.
const ASK_TIME: Duration = Duration::from_millis(400);
/// The share of its useful time after which a request may get a place ahead of its rank.
const AGED_SHARE: f64 = 0.5;
/// The part of the tokens of better ranks that is saved up for requests that waited long: 1 in this number.
const AGED_PART: i64 = 20;
/// The maximum credit saved up for requests that waited long, tokens.
const AGED_CREDIT_LIMIT: i64 = 16_384;
/// The maximum number of ranks whose pass values are kept while nothing of them waits.
const MAX_IDLE_RANKS: usize = 16;
/// How often idle customers are looked for.
const IDLE_CHECK_TIME: Duration = Duration::from_secs(1);

/// The waiting requests of one cell.
///
/// Places are given by rank; within a rank to requests that can still be on time before those that can't; then fairly
/// between customers; within a customer by [`QueuePosition`]. The order counts the tokens of each customer's earlier
/// requests, so that several places may be given by one order.
#[derive(Clone, Debug, Default)]
pub struct PlaceQueue {
    /// Tokens that may be given to requests which waited long; negative after such a place.
    aged_credit: i64,
    clocks: BTreeMap<Rank, FairClock>,
    idle_checked: Option<Instant>,
    keys: BTreeMap<PlaceKey, QueueSlot>,
    serial: u64,
    waiting: BTreeMap<QueueSlot, WaitingRequest>,
}

/// A waiting request with its position in the order of places.
#[derive(Clone, Copy, Debug)]
struct OrderEntry<'a> {
    /// The rank, whether it is late, and the virtual time at which its place starts, from the highest bits to the lowest.
    /// One number is faster to compare than three.
    order: u128,
    slot: &'a QueueSlot,
    waiting: &'a WaitingRequest,
}

impl<'a> OrderEntry<'a> {
    fn new(slot: &'a QueueSlot, waiting: &'a WaitingRequest, is_late: bool, start: u64) -> Self {
        let class = u128::from(slot.rank) << 1 | u128::from(is_late);
        Self {
            order: class << u64::BITS | u128::from(start),
            slot,
            waiting,
        }
    }

    /// Requests of different customers with the same start are ordered as those of one customer.
    fn compare(&self, other: &Self) -> Ordering {
        let order = self.order.cmp(&other.order);
        order.then_with(|| self.slot.position.cmp(&other.slot.position))
    }
}

impl PlaceQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request. One that waits already keeps its position and counts as asked again.
    pub fn push(&mut self, waiting: WaitingRequest, now: Instant) {
        if self.touch(&waiting.request.key, now) || self.len() >= MAX_WAITING {
            return;
        }
        let slot = self.next_slot(&waiting);
        self.serial += 1;
        let clock = self.clocks.entry(slot.rank).or_default();
        clock.join(&slot.customer);
        self.keys.insert(waiting.request.key.clone(), slot.clone());
        self.waiting.insert(slot, waiting);
    }

    /// The waiting request.
    pub fn get(&self, key: &PlaceKey) -> Option<&WaitingRequest> {
        self.waiting.get(self.keys.get(key)?)
    }

    /// The instance asked again. False if the request doesn't wait.
    pub fn touch(&mut self, key: &PlaceKey, now: Instant) -> bool {
        let Some(slot) = self.keys.get(key) else {
            return false;
        };
        let Some(waiting) = self.waiting.get_mut(slot) else {
            return false;
        };
        waiting.asked_at = waiting.asked_at.max(now);
        true
    }

    /// Removes a request that got a place, or whose caller left.
    pub fn remove(&mut self, key: &PlaceKey) -> Option<WaitingRequest> {
        let slot = self.keys.remove(key)?;
        if let Some(clock) = self.clocks.get_mut(&slot.rank) {
            clock.leave(&slot.customer);
        }
        self.waiting.remove(&slot)
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The keys in the order in which places are given.
    pub fn order(&self, now: Instant) -> Vec<PlaceKey> {
        let mut keys = Vec::with_capacity(self.len());
        for entry in self.ordered(now, None) {
            keys.push(entry.waiting.request.key.clone());
        }
        keys
    }

    /// The requests that go before a request which would be pushed now, or which waits already.
    pub fn ahead_of(&self, waiting: &WaitingRequest, now: Instant) -> QueueAhead {
        let key = &waiting.request.key;
        let slot = self.next_slot(waiting);
        let added = (!self.keys.contains_key(key)).then_some((&slot, waiting));
        let mut ahead = QueueAhead::default();
        for entry in self.ordered(now, added) {
            if entry.waiting.request.key == *key {
                break;
            }
            ahead.requests += 1.0;
            ahead.tokens += entry.waiting.tokens() as f64;
        }
        ahead
    }

    /// Charges a customer for a place of this rank. A place that was given while a better rank waits is paid from the
    /// credit for requests that waited long.
    pub fn charge(&mut self, customer: Option<&CustomerId>, rank: Rank, tokens: u64) {
        let clock = self.clocks.entry(rank).or_default();
        clock.charge(&customer.cloned(), tokens);
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
        let credit = match self.best_rank().is_some_and(|best| best < rank) {
            true => self.aged_credit.saturating_sub(tokens),
            false => self.aged_credit.saturating_add(tokens / AGED_PART),
        };
        self.aged_credit = credit.min(AGED_CREDIT_LIMIT);
        self.drop_idle_ranks();
    }

    /// Removes the requests that no instance asked for during 400 ms, and those whose useful time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitingRequest> {
        self.expire_customers(now);
        self.remove_where(|waiting| {
            let silence = now.saturating_duration_since(waiting.asked_at);
            silence > ASK_TIME || waiting.useful_until <= now
        })
    }

    /// For operators: what each known customer waits for and got.
    pub fn customers(&self) -> BTreeMap<CustomerId, CustomerShare> {
        let mut shares = BTreeMap::new();
        let mut all = 0_u64;
        for clock in self.clocks.values() {
            all = all.saturating_add(clock.add_to(&mut shares));
        }
        for share in shares.values_mut() {
            share.share = share.served as f64 / all.max(1) as f64;
        }
        shares
    }

    /// Removes the requests of an instance that is gone.
    pub fn drop_instance(&mut self, instance: &InstanceId) {
        self.remove_where(|waiting| waiting.instance == *instance);
    }

    fn next_slot(&self, waiting: &WaitingRequest) -> QueueSlot {
        QueueSlot {
            rank: waiting.request.rank,
            customer: waiting.request.customer.clone(),
            position: QueuePosition {
                is_late: false,
                is_fresh: !waiting.has_turn,
                deadline: waiting.on_time_until,
                serial: self.serial,
            },
        }
    }

    /// All requests in the order of places, as if `added` had been pushed.
    fn ordered<'a>(
        &'a self,
        now: Instant,
        added: Option<(&'a QueueSlot, &'a WaitingRequest)>,
    ) -> Vec<OrderEntry<'a>> {
        let mut entries = Vec::with_capacity(self.len() + 1);
        let Some(added) = added else {
            self.add_entries(self.waiting.iter(), now, &mut entries);
            return self.sorted(entries, now);
        };
        let (slot, _) = added;
        let before = self.waiting.range(..slot);
        let after = self.waiting.range(slot..);
        let all = before.chain([added]).chain(after);
        self.add_entries(all, now, &mut entries);
        self.sorted(entries, now)
    }

    /// Sorts by order, and puts a request that waited long first if the credit allows it.
    fn sorted<'a>(&self, mut entries: Vec<OrderEntry<'a>>, now: Instant) -> Vec<OrderEntry<'a>> {
        entries.sort_unstable_by(OrderEntry::compare);
        if let Some(index) = self.aged_index(&entries, now) {
            entries[..=index].rotate_right(1);
        }
        entries
    }

    /// The first request of a rank that has to wait for a better one, if it waited long.
    fn aged_index(&self, entries: &[OrderEntry<'_>], now: Instant) -> Option<usize> {
        let best = entries.first()?.slot.rank;
        if self.aged_credit <= 0 {
            return None;
        }
        for (index, entry) in entries.iter().enumerate() {
            if entry.slot.rank != best && has_waited_long(entry.waiting, now) {
                return Some(index);
            }
        }
        None
    }

    /// Works out the virtual time at which each request gets its place. `all` is sorted by slot.
    fn add_entries<'a>(
        &self,
        all: impl Iterator<Item = (&'a QueueSlot, &'a WaitingRequest)>,
        now: Instant,
        entries: &mut Vec<OrderEntry<'a>>,
    ) {
        let mut late = Vec::new();
        let mut group: Option<&'a QueueSlot> = None;
        let mut start = 0;
        for (slot, waiting) in all {
            let is_same = group.is_some_and(|group| is_same_group(group, slot));
            if !is_same {
                add_late(&mut late, start, entries);
                group = Some(slot);
                start = self.group_start(slot);
            }
            if slot.position.deadline < now {
                late.push((slot, waiting));
                continue;
            }
            entries.push(OrderEntry::new(slot, waiting, false, start));
            start = start.saturating_add(waiting.tokens());
        }
        add_late(&mut late, start, entries);
    }

    fn group_start(&self, slot: &QueueSlot) -> u64 {
        match self.clocks.get(&slot.rank) {
            Some(clock) => clock.start(&slot.customer),
            None => 0,
        }
    }

    fn best_rank(&self) -> Option<Rank> {
        let (slot, _) = self.waiting.first_key_value()?;
        Some(slot.rank)
    }

    fn remove_where(
        &mut self,
        is_removed: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut keys = Vec::new();
        for waiting in self.waiting.values() {
            if is_removed(waiting) {
                keys.push(waiting.request.key.clone());
            }
        }
        let mut removed = Vec::with_capacity(keys.len());
        for key in keys {
            removed.extend(self.remove(&key));
        }
        removed
    }

    fn expire_customers(&mut self, now: Instant) {
        let checked = *self.idle_checked.get_or_insert(now);
        if now.saturating_duration_since(checked) < IDLE_CHECK_TIME {
            return;
        }
        self.idle_checked = Some(now);
        for clock in self.clocks.values_mut() {
            clock.expire(now);
        }
        self.clocks.retain(|_, clock| !clock.is_empty());
    }

    /// Bounds the number of ranks; tables have a handful.
    fn drop_idle_ranks(&mut self) {
        if self.clocks.len() <= MAX_IDLE_RANKS {
            return;
        }
        let waiting = &self.waiting;
        self.clocks
            .retain(|rank, _| waiting.keys().any(|slot| slot.rank == *rank));
    }
}

fn is_same_group(one: &QueueSlot, other: &QueueSlot) -> bool {
    one.rank == other.rank && one.customer == other.customer
}

/// Whether a request may get a place ahead of its rank.
fn has_waited_long(waiting: &WaitingRequest, now: Instant) -> bool {
    let useful = waiting
        .useful_until
        .saturating_duration_since(waiting.arrived);
    let waited = now.saturating_duration_since(waiting.arrived);
    waited >= useful.mul_f64(AGED_SHARE)
}

/// Moves the late requests of a customer behind its others, whose tokens end at `start`.
fn add_late<'a>(
    late: &mut Vec<(&'a QueueSlot, &'a WaitingRequest)>,
    mut start: u64,
    entries: &mut Vec<OrderEntry<'a>>,
) {
    for (slot, waiting) in late.drain(..) {
        entries.push(OrderEntry::new(slot, waiting, true, start));
        start = start.saturating_add(waiting.tokens());
    }
}
