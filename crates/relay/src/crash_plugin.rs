//! The state dump of the requests in quarantine.

use {
    crate::CrashWatch,
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_quarantine,
        metrics: register_none,
        name: "quarantine",
    }
}

fn dump_quarantine(map: &StateMap) -> Option<Value> {
    let watch = map.get::<CrashWatch>()?;
    let mut requests = Vec::new();
    for row in watch.rows() {
        requests.push(json!({
            "fingerprint": row.suspect.to_string(),
            "left_s": row.remaining.as_secs(),
            "upstreams": row.upstreams,
        }));
    }
    Some(json!({ "requests": requests }))
}

/// The gauge is registered with the other metrics of the request path.
fn register_none(_map: &StateMap, _registry: &Registry) {}
