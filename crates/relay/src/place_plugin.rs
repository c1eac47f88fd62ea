//! The state dump and the metrics of scheduled decode places.

use {
    crate::{PlaceClient, SchedulerHost},
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_places,
        metrics: register_loads,
        name: "places",
    }
}

fn dump_places(map: &StateMap) -> Option<Value> {
    let client = map.get::<PlaceClient>()?;
    let host = map.get::<SchedulerHost>()?;
    let mut engines = Vec::new();
    for (scope, loads) in host.loads() {
        for (engine, load) in loads {
            engines.push(json!({
                "capacity": load.capacity,
                "cell": scope.cell,
                "engine": engine,
                "held": load.held,
                "oldest_report_ms": load.age.as_millis() as u64,
                "pace": load.pace.round(),
                "peak": load.peak,
                "promised": load.promised,
                "queued_prefill": load.queued_prefill,
                "service": scope.service,
                "streams": load.streams,
            }));
        }
    }
    let mut cells = Vec::new();
    for (scope, rows) in host.rows() {
        cells.push(json!({
            "cell": scope.cell,
            "decisions": rows.decisions,
            "ended": rows.scheduler.ended,
            "instances": rows.instances,
            "kept_calls": rows.kept_calls,
            "places": rows.scheduler.places,
            "queue": rows.scheduler.queue,
            "service": scope.service,
            "turns": rows.scheduler.turns,
        }));
    }
    Some(json!({
        "cells_here": cells,
        "held_here": client.held_count(),
        "is_shared": client.is_open(),
        "scheduled_here": engines,
    }))
}

fn register_loads(map: &StateMap, registry: &Registry) {
    let Some(host) = map.get::<SchedulerHost>() else {
        return;
    };
    if let Err(error) = host.gauges.register(registry) {
        tracing::warn!(%error, "the loads of engines are not exposed");
    }
}
