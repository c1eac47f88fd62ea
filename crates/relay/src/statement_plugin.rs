//! The state dump of what upstreams stated about themselves: those that leave, and those that asked for a pause.

use {
    crate::SharedUpstreams,
    kernel::{PluginEntry, StateMap, steady_clock},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_statements,
        metrics: register_none,
        name: "statements",
    }
}

fn dump_statements(map: &StateMap) -> Option<Value> {
    let upstreams = map.get::<SharedUpstreams>()?;
    let now = steady_clock::now();
    let upstreams = upstreams.lock();
    let leaving: Vec<_> = upstreams.departures.ids().collect();
    let mut backoffs = Vec::new();
    for (upstream, left) in upstreams.backoffs.rows(now) {
        backoffs.push(json!({ "left_ms": left.as_millis() as u64, "upstream": upstream }));
    }
    Some(json!({ "backoffs": backoffs, "leaving": leaving }))
}

/// The counters are registered with the other metrics of the request path.
fn register_none(_map: &StateMap, _registry: &Registry) {}
