//! Metrics of the membership.

use prometheus::{IntCounter, IntGauge, Registry};

/// The membership's counters and gauges, shared by clones.
#[derive(Clone, Debug)]
pub struct MemberMetrics {
    /// Heartbeats that reported this instance's table version with a different digest.
    pub digest_differs: IntCounter,
    /// Members that are alive and reachable.
    pub heard: IntGauge,
    /// Members that were declared dead.
    pub dead_members: IntCounter,
    /// Instances that this one exchanges heartbeats with.
    pub neighbours: IntGauge,
    /// Failed table pulls.
    pub pulls_failed: IntCounter,
    /// Attempted table pulls.
    pub pulls: IntCounter,
    /// New incarnations of this instance after its peers declared it dead.
    pub renewals: IntCounter,
    /// The table version in force.
    pub table_version: IntGauge,
    /// Availability zones that are unreachable.
    pub unreachable_zones: IntGauge,
}

impl MemberMetrics {
    /// Creates all metrics at zero.
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

    /// Registers the metrics; one that is already registered stays as it is.
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
