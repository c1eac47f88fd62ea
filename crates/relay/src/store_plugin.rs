//! The state dump and the metric of the calls to the store.

use {
    crate::StoreCalls,
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_store,
        metrics: register_store,
        name: "store",
    }
}

fn dump_store(map: &StateMap) -> Option<Value> {
    let calls = map.get::<StoreCalls>()?;
    Some(json!({ "calls": calls.rows() }))
}

fn register_store(map: &StateMap, registry: &Registry) {
    let Some(calls) = map.get::<StoreCalls>() else {
        return;
    };
    if let Err(error) = registry.register(Box::new(calls.metric().clone())) {
        tracing::debug!(%error, "the store metrics are already registered");
    }
}
