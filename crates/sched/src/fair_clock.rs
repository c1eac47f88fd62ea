//! Fair queueing between the customers of one rank.

use {
    crate::CustomerShare,
    kernel::CustomerId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The maximum number of customers that a clock keeps.
pub const MAX_CUSTOMERS: usize = 4096;
/// How long an idle customer is kept.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Virtual time between the customers of one rank, by start-time fair queueing. Unit: tokens of places; all customers
/// have the same weight.
///
/// The pass value of a customer grows with the tokens of its places. The customer with the lowest value goes next. One
/// that was idle starts at the present virtual time, the pass value at which the last place was given, so that idle
/// time earns no credit.
#[derive(Clone, Debug, Default)]
pub struct FairClock {
    customers: BTreeMap<Option<CustomerId>, CustomerPass>,
    now: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct CustomerPass {
    /// When the customer was first seen idle; `None` while it waits.
    idle_since: Option<Instant>,
    pass: u64,
    served: u64,
    waiting: usize,
}

impl FairClock {
    /// A clock that knows no customers.
    pub fn new() -> Self {
        Self::default()
    }

    /// The pass value at which the next place of a customer starts.
    pub fn start(&self, customer: &Option<CustomerId>) -> u64 {
        match self.customers.get(customer) {
            Some(row) if row.waiting > 0 => row.pass,
            Some(row) => row.pass.max(self.now),
            None => self.now,
        }
    }

    /// A request of the customer begins to wait.
    pub fn join(&mut self, customer: &Option<CustomerId>) {
        let row = self.row(customer);
        row.idle_since = None;
        row.waiting += 1;
    }

    /// A request of the customer no longer waits, with or without a place.
    pub fn leave(&mut self, customer: &Option<CustomerId>) {
        let Some(row) = self.customers.get_mut(customer) else {
            return;
        };
        row.waiting = row.waiting.saturating_sub(1);
    }

    /// Charges a customer for a place.
    pub fn charge(&mut self, customer: &Option<CustomerId>, tokens: u64) {
        let row = self.row(customer);
        let start = row.pass;
        row.idle_since = None;
        row.pass = start.saturating_add(tokens);
        row.served = row.served.saturating_add(tokens);
        self.now = self.now.max(start);
    }

    /// Forgets customers that have been idle for a minute. Places are no longer held that long after they were given, so
    /// what such a customer had beyond its share takes nothing from others.
    pub fn expire(&mut self, now: Instant) {
        self.customers.retain(|_, row| {
            if row.waiting > 0 {
                return true;
            }
            let since = *row.idle_since.get_or_insert(now);
            now.saturating_duration_since(since) < IDLE_TIME
        });
    }

    /// Adds the use of each customer to `shares`, without the shares. Returns the tokens of all customers, the
    /// undeclared ones included.
    pub fn add_to(&self, shares: &mut BTreeMap<CustomerId, CustomerShare>) -> u64 {
        let mut all = 0_u64;
        for (customer, row) in &self.customers {
            all = all.saturating_add(row.served);
            let Some(customer) = customer else {
                continue;
            };
            let share = shares.entry(customer.clone()).or_default();
            share.served = share.served.saturating_add(row.served);
            share.waiting += row.waiting;
        }
        all
    }

    /// The number of known customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether no customer is known.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// The row of a customer, moved to the present virtual time if it was idle.
    fn row(&mut self, customer: &Option<CustomerId>) -> &mut CustomerPass {
        if !self.customers.contains_key(customer) && self.customers.len() >= MAX_CUSTOMERS {
            self.forget_one();
        }
        let row = self.customers.entry(customer.clone()).or_default();
        if row.waiting == 0 {
            row.pass = row.pass.max(self.now);
        }
        row
    }

    /// Makes room by forgetting the idle customer with the lowest pass value, which loses the least by it.
    fn forget_one(&mut self) {
        let idle = self.customers.iter().filter(|(_, row)| row.waiting == 0);
        let Some((customer, _)) = idle.min_by_key(|(_, row)| row.pass) else {
            return;
        };
        let customer = customer.clone();
        self.customers.remove(&customer);
    }
}
