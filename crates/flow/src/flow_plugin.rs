//! The request path's section of the state dump, and its metrics.

use {
    crate::{
        cell_hub::CellHub, flow_metrics::FlowMetrics, plain_limiter::PlainLimiter,
        upstream_registry::UpstreamRegistry,
    },
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Map, Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_flow,
        metrics: register_flow,
        name: "flow",
    }
}

fn dump_flow(map: &StateMap) -> Option<Value> {
    let hub = map.get::<CellHub>()?;
    let registry = map.get::<UpstreamRegistry>()?;
    let limiter = map.get::<PlainLimiter>()?;
    let mut upstreams = Map::new();
    for (name, entry) in registry.snapshot().iter() {
        let leaving = entry.drain_cause().map(|cause| format!("{cause:?}"));
        let value = json!({ "address": entry.address, "leaving": leaving });
        upstreams.insert(name.to_string(), value);
    }
    Some(json!({
        "allocators": hub.allocators(),
        "limit_members": limiter.shares().members.len(),
        "requests": hub.requests().phase_counts(),
        "upstreams": upstreams,
    }))
}

fn register_flow(map: &StateMap, registry: &Registry) {
    let Some(metrics) = map.get::<FlowMetrics>() else {
        return;
    };
    if let Err(error) = metrics.register(registry) {
        tracing::debug!(%error, "the metrics are already registered");
    }
}
