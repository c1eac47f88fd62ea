//! The plug-in that dumps the identity, the readiness and the settings of the process.

use {
    crate::{admin::ReadinessState, entry::EntryIdentity, settings::EntrySettings},
    kernel::{PluginEntry, StateMap},
    prometheus::{IntGauge, Opts, Registry},
    serde_json::{Value, json},
};

/// Fields of the settings that a dump leaves out, because they hold secrets.
const HIDDEN_FIELDS: [&str; 2] = ["keys", "secret"];

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_process,
        metrics: register_process,
        name: "process",
    }
}

fn dump_process(map: &StateMap) -> Option<Value> {
    let identity = map.get::<EntryIdentity>()?;
    let readiness = map.get::<ReadinessState>()?;
    let settings = map.get::<EntrySettings>()?;
    Some(json!({
        "identity": *identity,
        "not_ready": readiness.reasons(),
        "ready": readiness.is_ready(),
        "settings": visible_settings(&settings),
    }))
}

/// The settings in force, without the hidden fields.
fn visible_settings(settings: &EntrySettings) -> Value {
    let mut value = json!(settings);
    if let Some(fields) = value.as_object_mut() {
        fields.retain(|field, _| !HIDDEN_FIELDS.contains(&field.as_str()));
    }
    value
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
        tracing::debug!(%error, "the metric is already registered");
    }
}
