//! Counters per customer.

use {
    crate::relay_counts::counters,
    kernel::{LockRank, RankedLock, ResultCode},
    prometheus::{IntCounterVec, Registry},
    std::{collections::BTreeSet, sync::Arc},
};

/// Maximum number of customers with counters of their own, at a few hundred bytes each; all others share one label.
const MAX_CUSTOMERS: usize = 256;
/// The label of all further customers.
const OTHERS: &str = "(others)";
/// The label of requests whose customer is not known.
const UNKNOWN: &str = "(unknown)";

/// Requests and quota use by customer. Clones share the counters.
#[derive(Clone, Debug)]
pub struct CustomerCounts {
    labelled: Arc<RankedLock<BTreeSet<Arc<str>>>>,
    /// Requests by customer and result code.
    requests: IntCounterVec,
    /// Quota used by requests that may have run, by customer.
    uses: IntCounterVec,
}

impl CustomerCounts {
    /// Counters at zero.
    pub fn new() -> Self {
        let counts = Self {
            labelled: Arc::new(RankedLock::new(LockRank::Samples, BTreeSet::new())),
            requests: counters(
                "trestlewalk_relay_customer_requests_total",
                "Requests by customer and result code.",
                &["customer", "code"],
            ),
            uses: counters(
                "trestlewalk_relay_customer_use_total",
                "What requests took out of the quotas of customers, in their units.",
                &["customer"],
            ),
        };
        // Exposed from the start, even if no request is refused and no quota used.
        let code = ResultCode::KeyUnknown.number().to_string();
        counts.requests.with_label_values(&[UNKNOWN, &code]);
        counts.uses.with_label_values(&[OTHERS]);
        counts
    }

    /// Counts a request.
    pub fn note(&self, customer: Option<&Arc<str>>, code: ResultCode) {
        let label = customer.map_or(Arc::from(UNKNOWN), |customer| self.label(customer));
        let code = code.number().to_string();
        self.requests.with_label_values(&[&*label, &code]).inc();
    }

    /// Counts the quota that a request used, in the units of the customer's limit.
    pub fn note_use(&self, customer: &Arc<str>, amount: u64) {
        let label = self.label(customer);
        self.uses.with_label_values(&[&*label]).inc_by(amount);
    }

    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry already has one of them.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.uses.clone()))
    }

    fn label(&self, customer: &Arc<str>) -> Arc<str> {
        let mut labelled = self.labelled.lock();
        if labelled.len() < MAX_CUSTOMERS {
            labelled.insert(customer.clone());
        }
        match labelled.contains(customer) {
            true => customer.clone(),
            false => Arc::from(OTHERS),
        }
    }
}

impl Default for CustomerCounts {
    fn default() -> Self {
        Self::new()
    }
}
