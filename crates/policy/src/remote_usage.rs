//! The usage rates of other instances and zones, and estimates while they are silent.

use {
    crate::{UsageRate, UsageTotals},
    kernel::CustomerId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A zone without a report for this long counts as partitioned, and is assumed to use its whole share of the rate.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum time for which usage is extrapolated after a change of aggregator.
const MAX_GAP: Duration = Duration::from_millis(1_500);
/// The part of a rate that partitioned zones share equally, independent of their previous usage.
const EQUAL_PART: f64 = 0.25;

/// The usage rates learned from one aggregator.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteUsage {
    pub(crate) last_report: Option<Instant>,
    pub(crate) rates: BTreeMap<CustomerId, UsageRate>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneUsage {
    /// The estimated usage since the last report that is not in `counted`.
    pub(crate) assumed: BTreeMap<CustomerId, f64>,
    pub(crate) assumed_until: Option<Instant>,
    /// The estimated usage counted while it was partitioned.
    pub(crate) counted: UsageTotals,
    /// Whether its aggregator did not answer the last call.
    pub(crate) is_silent: bool,
    /// Its share of the total usage at the last report.
    pub(crate) shares: BTreeMap<CustomerId, f64>,
    pub(crate) source: RemoteUsage,
}

impl RemoteUsage {
    /// The average usage rate of a customer, units per second.
    pub(crate) fn rate(&self, customer: &CustomerId) -> f64 {
        let rate = self.rates.get(customer);
        rate.copied().unwrap_or_default().get()
    }

    /// Updates the rates and returns the usage since the last report. `None` stands for the first report of a new
    /// aggregator: the usage is extrapolated then.
    pub(crate) fn update(&mut self, differences: Option<UsageTotals>, now: Instant) -> UsageTotals {
        let last_report = self.last_report.replace(now);
        let span = last_report.map(|last_report| now.saturating_duration_since(last_report));
        let Some(differences) = differences else {
            let span = span.unwrap_or_default().min(MAX_GAP).as_secs_f64();
            let rates = self.rates.iter();
            let extrapolated =
                rates.map(|(customer, rate)| (customer.clone(), (rate.get() * span) as i64));
            return extrapolated.collect();
        };
        if let Some(span) = span {
            for customer in differences.keys() {
                self.rates.entry(customer.clone()).or_default();
            }
            for (customer, rate) in &mut self.rates {
                rate.note(differences.get(customer).copied().unwrap_or_default(), span);
            }
        }
        differences
    }
}

impl ZoneUsage {
    /// Whether the zone counts as partitioned.
    pub(crate) fn is_partitioned(&self, now: Instant) -> bool {
        let last_report = self.source.last_report;
        self.is_silent
            || last_report.is_none_or(|last_report| now >= last_report + PARTITION_TIMEOUT)
    }

    /// The share of a customer's rate that the zone has while it is partitioned: mostly its share of the usage, and a
    /// part for callers that reconnect to it from other zones. The shares of all zones add up to one.
    pub(crate) fn partition_share(&self, customer: &CustomerId, zones: usize) -> f64 {
        let equal = 1.0 / zones as f64;
        match self.shares.get(customer) {
            Some(share) => (1.0 - EQUAL_PART) * share + EQUAL_PART * equal,
            None => equal,
        }
    }

    /// The time since the last report that has not been extrapolated yet, seconds; `None` if there is none.
    pub(crate) fn unreported_span(&mut self, now: Instant) -> Option<f64> {
        let last_report = self.source.last_report?;
        let from = self.assumed_until.unwrap_or(last_report);
        if now <= from {
            return None;
        }
        self.assumed_until = Some(now);
        Some((now - from).as_secs_f64())
    }
}
