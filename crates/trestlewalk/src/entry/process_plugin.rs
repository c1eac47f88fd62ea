//! The plug-in of the process itself: its identity, its readiness, its limits.

use {
    crate::{admin::ReadyBoard, entry::EntryIdentity, settings::EntrySettings},
    kernel::{PluginEntry, StateMap},
    prometheus::{IntGauge, Opts, Registry},
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_process,
        metrics: register_process,
        name: "process",
    }
}

fn dump_process(map: &StateMap) -> Option<Value> {
    let identity = map.get::<EntryIdentity>()?;
    let board = map.get::<ReadyBoard>()?;
    let settings = map.get::<EntrySettings>()?;
    Some(json!({
        "identity": *identity,
        "limits": settings.limits,
        "not_ready": board.reasons(),
        "ready": board.is_ready(),
    }))
}

fn register_process(map: &StateMap, registry: &Registry) {
    let Some(identity) = map.get::<EntryIdentity>() else {
        return;
    };
    let options = Opts::new("trestlewalk_process_info", "The identity of the process.")
        .const_label("instance", &*identity.instance)
        .const_label("version", identity.version)
        .const_label("zone", &*identity.zone);
    let Ok(gauge) = IntGauge::with_opts(options) else {
        return;
    };
    gauge.set(1);
    if let Err(error) = registry.register(Box::new(gauge)) {
        tracing::debug!(%error, "the metric was registered before");
    }
}
