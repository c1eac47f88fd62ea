//! The ticket section of the state dump and of the metrics.

use {
    crate::ticket_registry::TicketRegistry,
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
    let tickets = map.get::<TicketRegistry>()?;
    let (counts, is_open) = tickets.counts();
    Some(json!({
        "happenings": tickets.metrics.counts(),
        "kept_bytes": counts.kept_bytes,
        "life": tickets.life,
        "lives": counts.lives,
        "open": is_open,
        "outstanding": counts.outstanding,
        "records": counts.records,
        "successors": tickets.successors(),
    }))
}

fn register_tickets(map: &StateMap, registry: &Registry) {
    let Some(tickets) = map.get::<TicketRegistry>() else {
        return;
    };
    tickets.metrics.register(registry);
}
