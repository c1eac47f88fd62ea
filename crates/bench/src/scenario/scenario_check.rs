//! The checks of a scenario; each fault names its field.

use crate::scenario::{
    engine_sizes::EngineSizes, fault_event::FaultEvent, length_spread::LengthSpread,
    scenario_file::ScenarioFile, work_mix::WorkMix,
};

/// Every fault of a scenario, in the order of its fields.
pub(crate) fn faults(file: &ScenarioFile) -> Vec<String> {
    let mut faults = Vec::new();
    check_load(file, &mut faults);
    check_delays(file, &mut faults);
    check_engines(&file.engines, &mut faults);
    check_events(file, &mut faults);
    check_link(file, &mut faults);
    check_outsiders(file, &mut faults);
    check_rows(file, &mut faults);
    faults
}

fn check_load(file: &ScenarioFile, faults: &mut Vec<String>) {
    need(file.entries > 0, "entries", "must be over 0", faults);
    need(over_zero(file.load), "load", "must be over 0", faults);
    let lasts = !file.duration.is_zero();
    need(lasts, "duration", "must be over 0", faults);
    for (index, burst) in file.bursts.iter().enumerate() {
        let name = format!("bursts[{index}].times");
        need(over_zero(burst.times), &name, "must be over 0", faults);
    }
    let mut last = None;
    for (index, point) in file.day.iter().enumerate() {
        let name = format!("day[{index}]");
        let rate = point.rate.is_finite() && (0.0..=1.0).contains(&point.rate);
        need(rate, &name, "`rate` must be from 0 to 1", faults);
        let rises = last.is_none_or(|last| point.at > last);
        need(rises, &name, "`at` must rise", faults);
        last = Some(point.at);
    }
}

fn check_outsiders(file: &ScenarioFile, faults: &mut Vec<String>) {
    let Some(load) = &file.outsiders else {
        return;
    };
    let name = "outsiders.per_second";
    need(over_zero(load.per_second), name, "must be over 0", faults);
}

fn check_delays(file: &ScenarioFile, faults: &mut Vec<String>) {
    let delays = &file.delays;
    let name = "delays.cache_gaps";
    need(
        is_share(delays.cache_gaps),
        name,
        "must be from 0 to 1",
        faults,
    );
    let name = "delays.report_every";
    need(
        !delays.report_every.is_zero(),
        name,
        "must be over 0",
        faults,
    );
}

fn check_engines(sizes: &EngineSizes, faults: &mut Vec<String>) {
    let counts = [
        ("engines.block_tokens", sizes.block_tokens),
        ("engines.decode", sizes.decode),
        ("engines.decode_places", sizes.decode_places),
        ("engines.prefill", sizes.prefill),
    ];
    for (name, count) in counts {
        need(count > 0, name, "must be over 0", faults);
    }
    let name = "engines.decode_base";
    need(!sizes.decode_base.is_zero(), name, "must be over 0", faults);
    let name = "engines.prefill_rate";
    need(
        over_zero(sizes.prefill_rate),
        name,
        "must be over 0",
        faults,
    );
}

fn check_events(file: &ScenarioFile, faults: &mut Vec<String>) {
    for (index, event) in file.faults.iter().enumerate() {
        let name = format!("faults[{index}]");
        match event {
            FaultEvent::AllocatorDies { .. } => {}
            FaultEvent::EngineDies { engine, .. } | FaultEvent::EngineLeaves { engine, .. } => {
                let known = engine_exists(&file.engines, engine);
                need(known, &name, "`engine` names no engine", faults);
            }
            FaultEvent::EntryDies { entry, .. } => {
                need(
                    *entry < file.entries,
                    &name,
                    "`entry` names no entry instance",
                    faults,
                );
            }
        }
    }
}

fn check_link(file: &ScenarioFile, faults: &mut Vec<String>) {
    let link = &file.link;
    let name = "link.bytes_per_second";
    need(
        over_zero(link.bytes_per_second),
        name,
        "must be over 0",
        faults,
    );
    let name = "link.kv_bytes_per_token";
    need(
        over_zero(link.kv_bytes_per_token),
        name,
        "must be over 0",
        faults,
    );
    need(
        !link.eviction.is_zero(),
        "link.eviction",
        "must be over 0",
        faults,
    );
}

fn check_rows(file: &ScenarioFile, faults: &mut Vec<String>) {
    need(!file.rows.is_empty(), "rows", "must have a row", faults);
    for (index, mix) in file.rows.iter().enumerate() {
        let twice = file.rows[..index]
            .iter()
            .any(|other| other.work == mix.work);
        need(
            !twice,
            &format!("rows[{index}].work"),
            "stands twice",
            faults,
        );
        check_row(index, mix, faults);
    }
}

fn check_row(index: usize, mix: &WorkMix, faults: &mut Vec<String>) {
    let shares = [
        ("cancels", mix.cancels),
        ("shared", mix.shared),
        ("waste", mix.waste),
    ];
    for (field, share) in shares {
        let name = format!("rows[{index}].{field}");
        need(is_share(share), &name, "must be from 0 to 1", faults);
    }
    for (field, number) in [("share", mix.share), ("weight", mix.weight)] {
        let name = format!("rows[{index}].{field}");
        need(over_zero(number), &name, "must be over 0", faults);
    }
    let name = format!("rows[{index}].rank");
    need(mix.rank <= 9, &name, "must be from 0 to 9", faults);
    for (field, spread) in [("output", &mix.output), ("prompt", &mix.prompt)] {
        check_spread(&format!("rows[{index}].{field}"), spread, faults);
    }
}

fn check_spread(name: &str, spread: &LengthSpread, faults: &mut Vec<String>) {
    let Some(fault) = spread.fault() else {
        return;
    };
    need(false, name, fault, faults);
}

fn engine_exists(sizes: &EngineSizes, engine: &str) -> bool {
    for (kind, count) in [("decode", sizes.decode), ("prefill", sizes.prefill)] {
        let Some(number) = engine
            .strip_prefix(kind)
            .and_then(|rest| rest.strip_prefix('-'))
        else {
            continue;
        };
        return number.parse().is_ok_and(|number: u32| number < count);
    }
    false
}

fn is_share(number: f64) -> bool {
    (0.0..=1.0).contains(&number)
}

fn need(holds: bool, field: &str, fault: &str, faults: &mut Vec<String>) {
    if !holds {
        faults.push(format!("field `{field}`: {fault}"));
    }
}

fn over_zero(number: f64) -> bool {
    number.is_finite() && number > 0.0
}
