//! The settings of a lease.

use {
    crate::clock_drift::subtract_drift_margin,
    bon::Builder,
    std::{sync::Arc, time::Duration},
};

/// The key, holder and durations of a lease.
#[derive(Builder, Clone, Debug)]
pub struct LeaseSettings {
    /// This process: an instance and its incarnation. A restarted process has another name.
    #[builder(into)]
    pub holder: Arc<str>,
    /// The row of the lease, such as `leases/riga-a/glaze`. The row is never removed.
    #[builder(into)]
    pub key: Arc<str>,
    /// How long a lease lasts from its last write.
    #[builder(default = Duration::from_secs(10))]
    pub life: Duration,
    /// The maximum time from sending an order to its last effect.
    #[builder(default = Duration::from_secs(60))]
    pub longest_order: Duration,
    /// The time from one write to the next renewal.
    #[builder(default = Duration::from_secs(3))]
    pub renew_after: Duration,
}

impl LeaseSettings {
    /// How long a holder uses its lease, counted from before it sent the write.
    pub fn usable_duration(&self) -> Duration {
        subtract_drift_margin(self.life)
    }
}
