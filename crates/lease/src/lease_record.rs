//! What the platform keeps of a lease.

use {
    crate::clock_drift::add_drift_margin,
    kernel::FencingToken,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{sync::Arc, time::Duration},
};

/// The value of a lease's row.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The fencing number: it grows with each holder, and is never reset.
    pub fence: FencingToken,
    /// Who holds it; none after a release.
    pub holder: Option<Arc<str>>,
    /// How long it lasts from its last write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub life: Duration,
    /// The longest that an order of this holder may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_order: Duration,
    /// Tells the writes of one holder apart, so that one whose reply was lost is recognised.
    pub write: u64,
}

impl LeaseRecord {
    /// The record from a row's value; none if it can't be read.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// The record as a row's value.
    pub fn to_value(&self) -> Arc<str> {
        let text = serde_json::to_string(self).unwrap_or_default();
        Arc::from(text)
    }

    /// How long others wait, by their own clocks, from when they first saw the row unchanged.
    pub fn takeover_wait(&self) -> Duration {
        add_drift_margin(self.life)
    }

    /// How long after that an order of this holder may still be at work.
    pub fn order_wait(&self) -> Duration {
        add_drift_margin(self.longest_order)
    }
}
