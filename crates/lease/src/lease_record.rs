//! The stored record of a lease.

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
    /// The fencing token. It grows with each holder and is never reset.
    pub fence: FencingToken,
    /// The current holder; `None` after a release.
    pub holder: Option<Arc<str>>,
    /// How long the lease lasts from its last write.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub life: Duration,
    /// The maximum time that an order of this holder may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_order: Duration,
    /// Numbers the writes of one holder, so that a write whose reply was lost is recognised.
    pub write: u64,
}

impl LeaseRecord {
    /// Parses a row's value; `None` if it is malformed.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serialises the record as a row's value.
    pub fn to_value(&self) -> Arc<str> {
        let text = serde_json::to_string(self).unwrap_or_default();
        Arc::from(text)
    }

    /// How long other processes wait by their own clocks, from when they first saw the row in this version.
    pub fn takeover_wait(&self) -> Duration {
        add_drift_margin(self.life)
    }

    /// How long after [`Self::takeover_wait`] an order of this holder may still be in progress.
    pub fn order_wait(&self) -> Duration {
        add_drift_margin(self.longest_order)
    }
}
