//! What shapes a lease.

use {
    crate::clock_drift::subtract_drift_margin,
    bon::Builder,
    std::{sync::Arc, time::Duration},
};

/// A lease's name, its holder's name and its times.
#[derive(Builder, Clone, Debug)]
pub struct LeaseSettings {
    /// The name of this process's life: an instance and its incarnation. A restarted process has another.
    #[builder(into)]
    pub holder: Arc<str>,
    /// The row of the lease, such as `leases/riga-a/glaze`. The row is never removed.
    #[builder(into)]
    pub key: Arc<str>,
    /// How long a lease lasts from its last write.
    #[builder(default = Duration::from_secs(10))]
    pub life: Duration,
    /// The longest that an order may take from its sending to its last effect.
    #[builder(default = Duration::from_secs(60))]
    pub longest_order: Duration,
    /// How long after a write the next one is sent.
    #[builder(default = Duration::from_secs(3))]
    pub renew_after: Duration,
}

impl LeaseSettings {
    /// How long a holder counts on its lease from before it sent the write.
    pub fn usable_duration(&self) -> Duration {
        subtract_drift_margin(self.life)
    }
}
