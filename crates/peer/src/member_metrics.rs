//! Counters of the membership.

use prometheus::{IntCounter, IntGauge, Registry};

/// The counters. Clones share them.
#[derive(Clone, Debug)]
pub struct MemberMetrics {
    /// Table versions that came with two contents.
    pub digest_differs: IntCounter,
    /// Members that are heard.
    pub heard: IntGauge,
    /// Members that were declared gone.
    pub dead_members: IntCounter,
    /// Instances that this one exchanges heartbeats with.
    pub neighbours: IntGauge,
    /// Pulls of the table that failed.
    pub pulls_failed: IntCounter,
    /// Pulls of the table.
    pub pulls: IntCounter,
    /// New lives that this instance took because the others held it for gone.
    pub renewals: IntCounter,
    /// The table version in force.
    pub table_version: IntGauge,
    /// Availability zones from which nothing is heard.
    pub unreachable_zones: IntGauge,
}

impl MemberMetrics {
    /// New counters at zero.
    pub fn new() -> Self {
        Self {
            digest_differs: counter(
                "member_digest_differs_total",
                "Table versions that came with two contents.",
            ),
            heard: gauge("member_heard", "Members that are heard."),
            dead_members: counter("member_gone_total", "Members declared gone."),
            neighbours: gauge("member_neighbours", "Instances that exchange heartbeats."),
            pulls_failed: counter(
                "member_pulls_failed_total",
                "Pulls of the table that failed.",
            ),
            pulls: counter("member_pulls_total", "Pulls of the table."),
            renewals: counter("member_renewals_total", "New lives of this instance."),
            table_version: gauge("member_table_version", "The table version in force."),
            unreachable_zones: gauge("member_zones_cut", "Availability zones that are not heard."),
        }
    }

    /// Registers the counters; one that is registered already stays as it is.
    pub fn register(&self, registry: &Registry) {
        let _ = registry.register(Box::new(self.digest_differs.clone()));
        let _ = registry.register(Box::new(self.heard.clone()));
        let _ = registry.register(Box::new(self.dead_members.clone()));
        let _ = registry.register(Box::new(self.neighbours.clone()));
        let _ = registry.register(Box::new(self.pulls_failed.clone()));
        let _ = registry.register(Box::new(self.pulls.clone()));
        let _ = registry.register(Box::new(self.renewals.clone()));
        let _ = registry.register(Box::new(self.table_version.clone()));
        let _ = registry.register(Box::new(self.unreachable_zones.clone()));
    }
}

impl Default for MemberMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the counter's name is a constant and valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the gauge's name is a constant and valid")
}
