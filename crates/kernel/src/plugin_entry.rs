//! Plug-ins: parts that register themselves with the kernel for control work.

use {crate::state_map::StateMap, prometheus::Registry, serde_json::Value};

/// One plug-in. Crates submit it with `kernel::inventory::submit!`.
pub struct PluginEntry {
    /// Gives the plug-in's part of the state dump, when its state is in the map.
    pub dump: fn(&StateMap) -> Option<Value>,
    /// Registers the plug-in's metrics.
    pub metrics: fn(&StateMap, &Registry),
    /// The name of the plug-in: its key in the dump.
    pub name: &'static str,
}

inventory::collect!(PluginEntry);

impl PluginEntry {
    /// All plug-ins, by name.
    pub fn all() -> Vec<&'static Self> {
        let mut entries: Vec<&'static Self> = inventory::iter::<Self>.into_iter().collect();
        entries.sort_by_key(|entry| entry.name);
        entries
    }

    /// The whole state dump: one key a plug-in.
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
