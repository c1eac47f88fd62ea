//! The state dump of the rate limits that upstreams state, and of this instance's share in each.

use {
    crate::RateNews,
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_rates,
        metrics: register_none,
        name: "rate_limits",
    }
}

fn dump_rates(map: &StateMap) -> Option<Value> {
    let news = map.get::<RateNews>()?;
    Some(json!({ "upstreams": news.rows() }))
}

/// The gauge is registered with the other metrics of the request path.
fn register_none(_map: &StateMap, _registry: &Registry) {}
