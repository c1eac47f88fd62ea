//! The quotas of customers, shared by all requests of a process.

use {
    crate::{CustomerInfo, RelayCounts, RouteTable},
    kernel::{CustomerId, LockRank, RankedLock, steady_clock},
    policy::{QuotaRefusal, QuotaRow, QuotaRule, QuotaTable},
    std::sync::Arc,
    tokio::sync::Notify,
};

/// The token buckets of this process. Clones share them.
#[derive(Clone, Debug)]
pub struct QuotaBuckets {
    /// Notified when a bucket runs low, so that other instances learn of the use soon.
    pub low_bucket: Arc<Notify>,
    /// The buckets by customer.
    pub table: Arc<RankedLock<QuotaTable>>,
}

/// What a request took from its customer's quota. Given back on drop, unless the request may have run.
#[derive(Debug)]
pub struct QuotaCharge {
    amount: u64,
    counts: RelayCounts,
    customer: CustomerId,
    buckets: QuotaBuckets,
    state: RankedLock<ChargeState>,
}

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChargeState {
    /// The first call that may run it is in progress.
    Called,
    /// It did not run.
    NotRun,
    /// It may have run.
    Ran,
}

impl QuotaCharge {
    /// Records the start of a call that may run the request.
    pub fn begin_call(&self) {
        let mut state = self.state.lock();
        if *state == ChargeState::NotRun {
            *state = ChargeState::Called;
        }
    }

    /// Records the end of a call.
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
        // A call that was abandoned before its outcome was known may have run the request.
        if *self.state.lock() != ChargeState::NotRun {
            self.counts.customers.note_use(&self.customer, self.amount);
            return;
        }
        let mut table = self.buckets.table.lock();
        table.give_back(&self.customer, self.amount);
    }
}

impl QuotaBuckets {
    /// The buckets of a process that starts now; `is_alone` when there are no other instances.
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

    /// Replaces the customers and their limits.
    pub fn set_customers(&self, table: &RouteTable) {
        let customers = table.customers.iter().flat_map(|table| table.customers());
        let limits = customers.filter_map(|info| Some((&info.id, info.limit?)));
        self.table.lock().set_limits(limits, steady_clock::now());
    }

    /// Charges a request to the quota of its customer; `None` for a customer without a limit.
    ///
    /// # Errors
    ///
    /// The bucket has too few units left.
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
