//! Plug-ins: components that register their state dump and metrics at link time.

use {crate::state_map::StateMap, prometheus::Registry, serde_json::Value};

/// One plug-in. Crates submit it with `kernel::inventory::submit!`.
pub struct PluginEntry {
    /// Returns the plug-in's section of the state dump; `None` when the map holds no state for it.
    pub dump: fn(&StateMap) -> Option<Value>,
    /// Registers the plug-in's metrics.
    pub metrics: fn(&StateMap, &Registry),
    /// The key of its section in the dump.
    pub name: &'static str,
}

inventory::collect!(PluginEntry);

impl PluginEntry {
    /// All plug-ins, sorted by name.
    pub fn all() -> Vec<&'static Self> {
        let mut entries: Vec<&'static Self> = inventory::iter::<Self>.into_iter().collect();
        entries.sort_by_key(|entry| entry.name);
        entries
    }

    /// The whole state dump, with one key per plug-in that has state.
    pub fn dump_all(map: &StateMap) -> Value {
        let mut dump = serde_json::Map::new();
        for entry in Self::all() {
            let Some(section) = (entry.dump)(map) else {
                continue;
            };
            dump.insert(entry.name.to_owned(), section);
        }
        Value::Object(dump)
    }

    /// Registers the metrics of every plug-in.
    pub fn register_metrics(map: &StateMap, registry: &Registry) {
        for entry in Self::all() {
            (entry.metrics)(map, registry);
        }
    }
}
