//! The state dump of the software versions of upstreams, and of the streams whose version is kept.

use {
    crate::SoftwareNotes,
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_software,
        metrics: register_none,
        name: "software",
    }
}

fn dump_software(map: &StateMap) -> Option<Value> {
    let notes = map.get::<SoftwareNotes>()?;
    Some(json!({ "streams": notes.count(), "versions": notes.versions() }))
}

/// The counters are registered with the other metrics of the request path.
fn register_none(_map: &StateMap, _registry: &Registry) {}
