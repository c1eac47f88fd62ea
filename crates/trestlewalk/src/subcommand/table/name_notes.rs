//! Notes on names that no instance in the platform's list has; they are most likely typing errors.

use {
    kernel::ZoneId,
    plat::{InstanceKind, InstanceRecord},
    std::collections::BTreeSet,
    table::{RowChange, WorkRow},
};

/// One line for each name in a changed row that no listed instance has. The list lags, so such a name is not a fault;
/// an empty list gives no notes.
pub fn name_notes(changes: &[RowChange], instances: &[InstanceRecord]) -> Vec<String> {
    if instances.is_empty() {
        return Vec::new();
    }
    let mut notes = Vec::new();
    for change in changes {
        let Some(row) = &change.after else {
            continue;
        };
        notes.extend(upstream_note(row, instances));
        notes.extend(zone_notes(row, instances));
    }
    notes
}

fn upstream_note(row: &WorkRow, instances: &[InstanceRecord]) -> Option<String> {
    let upstreams = instances.iter().filter(|it| it.kind != InstanceKind::Entry);
    let mut serving = upstreams.filter(|it| it.service.as_ref() == Some(&row.service));
    let Some(model) = &row.model else {
        let found = serving.next().is_some();
        return (!found).then(|| note(row, "service", &row.service));
    };
    let mut found = false;
    for upstream in serving {
        found = true;
        if upstream.model.as_ref() == Some(model) {
            return None;
        }
    }
    Some(match found {
        true => note(row, "model", model),
        false => note(row, "service", &row.service),
    })
}

fn zone_notes(row: &WorkRow, instances: &[InstanceRecord]) -> Vec<String> {
    let zones: BTreeSet<&ZoneId> = instances.iter().map(|instance| &instance.zone).collect();
    let unknown = row.zones.iter().filter(|zone| !zones.contains(zone));
    unknown
        .map(|zone| note(row, "availability zone", zone))
        .collect()
}

fn note(row: &WorkRow, kind: &str, name: &str) -> String {
    format!(
        "note: {}: no instance in the platform's list has {kind} `{name}`\n",
        row.work
    )
}
