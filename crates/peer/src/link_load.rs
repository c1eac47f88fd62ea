//! What the links of an instance hold: each part takes memory.

use {
    crate::peer_endpoint::PeerEndpoint,
    kernel::{PluginEntry, StateMap},
    prometheus::{
        IntGauge, IntGaugeVec, Opts, Registry,
        core::{Collector, Desc},
        proto::MetricFamily,
    },
    serde::Serialize,
    serde_json::{Value, json},
};

/// The parts that the links hold at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LinkLoad {
    /// Connections that peers opened, with closed ones that are not let go yet.
    pub accepted_links: usize,
    /// Calls and larger messages of peers that are not over.
    pub accepted_streams: usize,
    /// Calls of this instance that are not over.
    pub open_calls: usize,
    /// Peers that this instance connected to, or tries to.
    pub opened_links: usize,
    /// Messages, calls and sessions that were received and not taken yet.
    pub queued_messages: usize,
    /// Sessions of both directions that have a place for what is not read yet.
    pub open_sessions: usize,
}

/// Counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenCount(IntGauge);

impl OpenCount {
    pub(crate) fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Reads the load whenever metrics are collected.
struct LinkCollector {
    endpoint: PeerEndpoint,
    parts: IntGaugeVec,
}

impl Collector for LinkCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.parts.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let load = self.endpoint.load();
        for (part, count) in [
            ("accepted_links", load.accepted_links),
            ("accepted_streams", load.accepted_streams),
            ("open_calls", load.open_calls),
            ("opened_links", load.opened_links),
            ("queued_messages", load.queued_messages),
            ("open_sessions", load.open_sessions),
        ] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.parts.with_label_values(&[part]).set(count);
        }
        self.parts.collect()
    }
}

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_load,
        metrics: register_load,
        name: "links",
    }
}

fn dump_load(map: &StateMap) -> Option<Value> {
    Some(json!(map.get::<PeerEndpoint>()?.load()))
}

fn register_load(map: &StateMap, registry: &Registry) {
    let Some(endpoint) = map.get::<PeerEndpoint>() else {
        return;
    };
    let options = Opts::new(
        "trestlewalk_relay_link_parts",
        "What the links to other instances hold, by part.",
    );
    let parts = IntGaugeVec::new(options, &["part"]);
    let collector = parts.map(|parts| LinkCollector {
        endpoint: PeerEndpoint::clone(&endpoint),
        parts,
    });
    let registered = collector.and_then(|collector| registry.register(Box::new(collector)));
    if let Err(error) = registered {
        tracing::warn!(%error, "what the links hold is not exposed");
    }
}
