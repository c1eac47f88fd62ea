//! The quotas of customers, as all requests of a process share them.

use {
    crate::{CustomerInfo, RelayCounts, RouteTable},
    kernel::{CustomerId, LockRank, RankedLock, steady_clock},
    policy::{QuotaRefusal, QuotaRow, QuotaRule, QuotaTable},
    std::sync::Arc,
    tokio::sync::Notify,
};

/// The buckets of this process. Clones share them.
#[derive(Clone, Debug)]
pub struct QuotaBuckets {
    /// Rung when a bucket is low: then other instances are to know soon.
    pub low_bucket: Arc<Notify>,
    /// The buckets.
    pub table: Arc<RankedLock<QuotaTable>>,
}

/// What a request took out of its customer's quota. It is given back when this is dropped, unless the request may have run.
#[derive(Debug)]
pub struct QuotaCharge {
    amount: u64,
    counts: RelayCounts,
    customer: CustomerId,
    buckets: QuotaBuckets,
    state: RankedLock<ChargeState>,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChargeState {
    /// A call that may run it is under way, and nobody else may have run it.
    Called,
    /// It did not run.
    NotRun,
    /// It may have run.
    Ran,
}

impl QuotaCharge {
    /// A call that may run the request goes out.
    pub fn begin_call(&self) {
        let mut state = self.state.lock();
        if *state == ChargeState::NotRun {
            *state = ChargeState::Called;
        }
    }

    /// A call ended; whether it may have run the request.
    pub fn end_call(&self, may_have_run: bool) {
        let mut state = self.state.lock();
        if *state == ChargeState::Called {
            *state = match may_have_run {
                true => ChargeState::Ran,
                false => ChargeState::NotRun,
            };
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        // A call whose end nobody waits for any more may have run it.
        if *self.state.lock() != ChargeState::NotRun {
            self.counts.customers.note_use(&self.customer, self.amount);
            return;
        }
        let mut table = self.buckets.table.lock();
        table.give_back(&self.customer, self.amount);
    }
}

impl QuotaBuckets {
    /// Buckets of a life that begins now; `is_alone` when there are no other instances.
    pub fn new(rule: QuotaRule, is_alone: bool) -> Self {
        let table = QuotaTable::new(rule, is_alone, steady_clock::now());
        Self {
            low_bucket: Arc::new(Notify::new()),
            table: Arc::new(RankedLock::new(LockRank::Services, table)),
        }
    }

    /// All buckets.
    pub fn rows(&self) -> Vec<QuotaRow> {
        self.table.lock().rows(steady_clock::now())
    }

    /// The customers are those of a table.
    pub fn set_customers(&self, table: &RouteTable) {
        let customers = table.customers.iter().flat_map(|table| table.customers());
        let limits = customers.filter_map(|info| Some((&info.id, info.limit?)));
        self.table.lock().set_limits(limits, steady_clock::now());
    }

    /// Takes a request out of the quota of its customer; nothing for one without a limit.
    ///
    /// # Errors
    ///
    /// There is no room for it.
    pub fn take(
        &self,
        customer: &CustomerInfo,
        tokens: Option<u64>,
        counts: &RelayCounts,
    ) -> Result<Option<QuotaCharge>, QuotaRefusal> {
        let Some(limit) = &customer.limit else {
            return Ok(None);
        };
        let now = steady_clock::now();
        let mut table = self.table.lock();
        let taken = table.take(&customer.id, limit, tokens, now);
        let is_low = table.is_scarce(&customer.id, now);
        drop(table);
        if is_low {
            self.low_bucket.notify_one();
        }
        let amount = taken?;
        Ok(Some(QuotaCharge {
            amount,
            counts: counts.clone(),
            customer: customer.id.clone(),
            buckets: self.clone(),
            state: RankedLock::new(LockRank::Samples, ChargeState::NotRun),
        }))
    }
}
