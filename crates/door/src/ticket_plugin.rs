//! The tickets' part of the state dump and of the metrics.

use {
    crate::ticket_desk::TicketDesk,
    kernel::{PluginEntry, StateMap},
    prometheus::Registry,
    serde_json::{Value, json},
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_tickets,
        metrics: register_tickets,
        name: "tickets",
    }
}

fn dump_tickets(map: &StateMap) -> Option<Value> {
    let desk = map.get::<TicketDesk>()?;
    let (counts, is_open) = desk.counts();
    Some(json!({
        "happenings": desk.metrics.counts(),
        "kept_bytes": counts.kept_bytes,
        "life": desk.life,
        "lives": counts.lives,
        "open": is_open,
        "outstanding": counts.outstanding,
        "records": counts.records,
        "successors": desk.successors(),
    }))
}

fn register_tickets(map: &StateMap, registry: &Registry) {
    let Some(desk) = map.get::<TicketDesk>() else {
        return;
    };
    desk.metrics.register(registry);
}
