//! When engines change their stage: long prompts overload the prefill engines, long answers the decode engines.

use {
    policy::{StageChange, StageGoal, StagePlanner, StagePressure, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);
const UNQUEUED: Duration = Duration::from_millis(150);

fn goal() -> StageGoal {
    StageGoal::builder()
        .patience(2 * SECOND)
        .pause(20 * SECOND)
        .prefill_share(0.25)
        .pressed_patience(10 * SECOND)
        .spare_floor(2)
        .build()
}

/// Engines spread over three availability zones.
fn engines(decode: usize, prefill: usize) -> Vec<Arc<UpstreamRecord>> {
    let stages = [
        (UpstreamStage::Decode, decode),
        (UpstreamStage::Prefill, prefill),
    ];
    let mut list = Vec::new();
    for (stage, count) in stages {
        for index in 0..count {
            list.push(Arc::new(UpstreamRecord {
                address: ([127, 0, 0, 1], 1000).into(),
                cold_for: Duration::ZERO,
                id: format!("{stage:?}-{index}").into(),
                leaving: false,
                name: format!("{stage:?}-{index}").into(),
                report_number: None,
                service: "s".into(),
                slots: 64,
                software: "v1".into(),
                stage,
                zone: format!("zone-{}", index % 3).into(),
            }));
        }
    }
    list
}

/// Records one second of load: of ten prefills `waited` percent were delayed, and of ten reservations `refused` percent
/// were refused.
fn note(pressure: &mut StagePressure, waited: u32, refused: u32, now: Instant) {
    for step in 0..10 {
        let took = match step * 10 < waited {
            true => 3 * UNQUEUED,
            false => UNQUEUED,
        };
        pressure.note_prefill(UNQUEUED, took, now);
        pressure.note_slot_search(step * 10 < refused, now);
    }
}

/// The changes planned under a constant load for the given seconds, each with its second.
fn changes(
    planner: &mut StagePlanner,
    list: &[Arc<UpstreamRecord>],
    (waited, refused): (u32, u32),
    (from, seconds): (Instant, u32),
) -> Vec<(u32, StageChange)> {
    let mut pressure = StagePressure::new();
    let mut changes = Vec::new();
    for second in 0..seconds {
        let now = from + second * SECOND;
        note(&mut pressure, waited, refused, now);
        if let Some(planned) = planner.decide(&"s".into(), list, &pressure, now) {
            changes.push((second, planned));
            planner.start_cooldown(now);
        }
    }
    changes
}

#[test]
fn long_prompts_that_press_the_readers_for_long_bring_them_an_engine() {
    let mut planner = StagePlanner::new(goal(), Duration::from_millis(500));
    let list = engines(6, 3);
    let planned = changes(&mut planner, &list, (90, 0), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 11, "after the patience and the stagger");
    assert_eq!(planned[0].1.stage, UpstreamStage::Prefill);
    assert_eq!(planned[0].1.engines.len(), 1);
}

#[test]
fn long_answers_that_fill_the_decode_engines_bring_them_an_idle_reader() {
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(9, 3);
    let planned = changes(&mut planner, &list, (40, 70), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].1.stage, UpstreamStage::Decode);
    let ids: Vec<&str> = planned[0].1.engines.iter().map(|one| &*one.id).collect();
    assert_eq!(ids, ["Prefill-2"]);
}

#[test]
fn a_surplus_has_to_last_before_an_engine_moves() {
    let start = Instant::now();
    let no_load = StagePressure::new();
    let mut planner = StagePlanner::new(goal(), Duration::from_millis(500));
    let list = engines(8, 4);
    let mut decide =
        |seconds| planner.decide(&"s".into(), &list, &no_load, start + seconds * SECOND);
    assert_eq!(decide(0), None);
    assert_eq!(decide(2), None);
    let planned = decide(3).unwrap();
    assert_eq!(planned.stage, UpstreamStage::Decode);
    let ids: Vec<&str> = planned.engines.iter().map(|engine| &*engine.id).collect();
    assert_eq!(ids, ["Prefill-3"], "from the availability zone with two");
}

#[test]
fn a_surplus_that_passes_starts_the_wait_anew() {
    let start = Instant::now();
    let no_load = StagePressure::new();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let looks = [(8, 4), (9, 3), (8, 4), (8, 4)];
    for (second, (decode, prefill)) in (0..).zip(looks) {
        let list = engines(decode, prefill);
        let now = start + second * SECOND;
        assert_eq!(planner.decide(&"s".into(), &list, &no_load, now), None);
    }
    let last = start + 4 * SECOND;
    assert!(
        planner
            .decide(&"s".into(), &engines(8, 4), &no_load, last)
            .is_some()
    );
}

#[test]
fn a_surplus_that_requests_need_stays() {
    let list = engines(8, 4);
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let planned = changes(&mut planner, &list, (60, 0), (Instant::now(), 60));
    assert_eq!(planned, []);
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let planned = changes(&mut planner, &list, (30, 0), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
}

#[test]
fn a_surplus_is_left_to_instances_that_requests_reach() {
    let start = Instant::now();
    let list = engines(8, 4);
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let busy = changes(&mut planner, &list, (60, 0), (start, 10));
    assert_eq!(busy, []);
    let no_load = StagePressure::new();
    for second in 10..60 {
        let now = start + second * SECOND;
        assert_eq!(planner.decide(&"s".into(), &list, &no_load, now), None);
    }
}

#[test]
fn no_engine_moves_while_both_stages_are_pressed_or_none_is() {
    let list = engines(6, 3);
    for load in [(90, 70), (40, 5), (70, 70), (60, 70)] {
        let mut planner = StagePlanner::new(goal(), Duration::ZERO);
        let planned = changes(&mut planner, &list, load, (Instant::now(), 60));
        assert_eq!(planned, [], "{load:?}");
    }
}

#[test]
fn a_burst_of_a_few_seconds_moves_no_engine() {
    let start = Instant::now();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let mut pressure = StagePressure::new();
    for second in 0..60 {
        let now = start + second * SECOND;
        let load = match second % 12 {
            0..5 => 100,
            _ => 30,
        };
        note(&mut pressure, load, 0, now);
        let planned = planner.decide(&"s".into(), &list, &pressure, now);
        assert_eq!(planned, None, "second {second}");
    }
}

#[test]
fn an_instance_that_sees_few_requests_moves_no_engine() {
    let start = Instant::now();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let mut pressure = StagePressure::new();
    for second in 0..60 {
        let now = start + second * 2 * SECOND;
        pressure.note_prefill(UNQUEUED, 3 * UNQUEUED, now);
        pressure.note_slot_search(false, now);
        assert_eq!(planner.decide(&"s".into(), &list, &pressure, now), None);
    }
}

#[test]
fn after_a_change_the_plan_rests() {
    let start = Instant::now();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    planner.start_cooldown(start);
    let list = engines(6, 3);
    let planned = changes(&mut planner, &list, (90, 0), (start, 40));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 30, "the pause, and the patience after it");
}

#[test]
fn the_last_engines_of_a_stage_are_replaced_and_never_taken() {
    let start = Instant::now();
    for (list, load) in [(engines(2, 3), (90, 0)), (engines(6, 2), (20, 90))] {
        let mut planner = StagePlanner::new(goal(), Duration::ZERO);
        let planned = changes(&mut planner, &list, load, (start, 60));
        assert_eq!(planned, [], "{load:?}");
    }
    let no_load = StagePressure::new();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(8, 1);
    assert_eq!(planner.decide(&"s".into(), &list, &no_load, start), None);
    let later = start + 2 * SECOND;
    let planned = planner.decide(&"s".into(), &list, &no_load, later).unwrap();
    assert_eq!(
        (planned.stage, planned.engines.len()),
        (UpstreamStage::Prefill, 1)
    );
}

#[test]
fn a_pressure_that_passes_starts_the_wait_anew() {
    let start = Instant::now();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let before = changes(&mut planner, &list, (90, 0), (start, 8));
    assert_eq!(before, []);
    let pause = changes(&mut planner, &list, (40, 0), (start + 8 * SECOND, 2));
    assert_eq!(pause, []);
    let again = changes(&mut planner, &list, (90, 0), (start + 10 * SECOND, 20));
    assert_eq!(again.len(), 1, "{again:?}");
    assert!(again[0].0 >= 10, "the patience, anew");
}

#[test]
fn of_the_few_engines_that_a_loss_leaves_one_reads() {
    let start = Instant::now();
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let planned = changes(&mut planner, &engines(2, 2), (20, 90), (start, 10));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 2, "after the patience");
    assert_eq!(planned[0].1.stage, UpstreamStage::Decode);
    let mut planner = StagePlanner::new(goal(), Duration::ZERO);
    let planned = changes(&mut planner, &engines(3, 1), (20, 90), (start, 60));
    assert_eq!(planned, [], "the last prefill engine stays");
}

/// One instance orders a change, with a connection to each engine, so a change must not grow with the service.
#[test]
fn a_change_of_ten_times_as_many_engines_has_no_more_orders() {
    let start = Instant::now();
    let mut sizes = Vec::new();
    for size in [1_000, 10_000] {
        let list = engines(size * 65 / 100, size * 35 / 100);
        let mut planner = StagePlanner::new(goal(), Duration::ZERO);
        let planned = changes(&mut planner, &list, (0, 0), (start, 60));
        let change = &planned.first().expect("a surplus is corrected").1;
        assert_eq!(change.stage, UpstreamStage::Decode);
        sizes.push(change.engines.len());
    }
    assert_eq!(sizes, [64, 64]);
}
