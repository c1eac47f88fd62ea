//! The state dump of the customers: limits, use, what is left in each bucket, and the age of the table.

use {
    crate::{QuotaBuckets, RouteFreshness},
    kernel::{PluginEntry, StateMap, steady_clock},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_customers,
        metrics: register_none,
        name: "customers",
    }
}

fn dump_customers(map: &StateMap) -> Option<Value> {
    let quotas = map.get::<QuotaBuckets>()?;
    let freshness = map.get::<RouteFreshness>()?;
    let mut quota_rows = Vec::new();
    for row in quotas.rows() {
        quota_rows.push(json!({
            "burst": row.limit.burst,
            "customer": row.customer,
            "rate": row.limit.rate,
            "room": row.balance.round(),
            "used_here": row.own_usage,
        }));
    }
    let newest = freshness.newest();
    Some(json!({
        "newest_ms_ago": newest.map(|(_, as_of)| steady_clock::elapsed(as_of).as_millis() as u64),
        "quotas": quota_rows,
        "version": newest.map(|(version, _)| version),
    }))
}

/// The counters are registered with the other metrics of the request path.
fn register_none(_map: &StateMap, _registry: &Registry) {}
