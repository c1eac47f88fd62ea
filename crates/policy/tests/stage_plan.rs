//! When engines are ordered to change their stage: long prompts press the engines that read, long answers those that
//! generate.

use {
    policy::{StageChange, StageGoal, StagePlanner, StagePressure, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);
const ALONE: Duration = Duration::from_millis(150);

fn goal() -> StageGoal {
    StageGoal::builder()
        .patience(2 * SECOND)
        .pause(20 * SECOND)
        .prefill_share(0.25)
        .pressed_patience(10 * SECOND)
        .spare_floor(2)
        .build()
}

/// Engines over three availability zones.
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
                id: format!("{stage:?}-{index}").into(),
                leaving: false,
                name: format!("{stage:?}-{index}").into(),
                service: "s".into(),
                slots: 64,
                stage,
                zone: format!("zone-{}", index % 3).into(),
            }));
        }
    }
    list
}

/// What an instance saw in the last seconds, percent: of ten readings a second how many waited, and of ten reservations
/// how many were refused.
fn note(pressure: &mut StagePressure, waited: u32, refused: u32, now: Instant) {
    for step in 0..10 {
        let took = match step * 10 < waited {
            true => 3 * ALONE,
            false => ALONE,
        };
        pressure.note_prefill(ALONE, took, now);
        pressure.note_slot_search(step * 10 < refused, now);
    }
}

/// The moves of a plan that sees the same load for so many seconds, each with its second.
fn moves(
    plan: &mut StagePlanner,
    list: &[Arc<UpstreamRecord>],
    (waited, refused): (u32, u32),
    (from, seconds): (Instant, u32),
) -> Vec<(u32, StageChange)> {
    let mut pressure = StagePressure::new();
    let mut moves = Vec::new();
    for second in 0..seconds {
        let now = from + second * SECOND;
        note(&mut pressure, waited, refused, now);
        if let Some(planned) = plan.decide(&"s".into(), list, &pressure, now) {
            moves.push((second, planned));
            plan.start_cooldown(now);
        }
    }
    moves
}

#[test]
fn long_prompts_that_press_the_readers_for_long_bring_them_an_engine() {
    let mut plan = StagePlanner::new(goal(), Duration::from_millis(500));
    let list = engines(6, 3);
    let planned = moves(&mut plan, &list, (90, 0), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 11, "after the patience and the stagger");
    assert_eq!(planned[0].1.stage, UpstreamStage::Prefill);
    assert_eq!(planned[0].1.engines.len(), 1);
}

#[test]
fn long_answers_that_fill_the_decode_engines_bring_them_an_idle_reader() {
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(9, 3);
    let planned = moves(&mut plan, &list, (40, 70), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].1.stage, UpstreamStage::Decode);
    let ids: Vec<&str> = planned[0].1.engines.iter().map(|one| &*one.id).collect();
    assert_eq!(ids, ["Prefill-2"]);
}

#[test]
fn a_surplus_has_to_last_before_an_engine_moves() {
    let start = Instant::now();
    let nothing = StagePressure::new();
    let mut plan = StagePlanner::new(goal(), Duration::from_millis(500));
    let list = engines(8, 4);
    let mut decide = |seconds| plan.decide(&"s".into(), &list, &nothing, start + seconds * SECOND);
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
    let nothing = StagePressure::new();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let looks = [(8, 4), (9, 3), (8, 4), (8, 4)];
    for (second, (decode, prefill)) in (0..).zip(looks) {
        let list = engines(decode, prefill);
        let now = start + second * SECOND;
        assert_eq!(plan.decide(&"s".into(), &list, &nothing, now), None);
    }
    let last = start + 4 * SECOND;
    assert!(
        plan.decide(&"s".into(), &engines(8, 4), &nothing, last)
            .is_some()
    );
}

#[test]
fn a_surplus_that_requests_need_stays() {
    let list = engines(8, 4);
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let planned = moves(&mut plan, &list, (60, 0), (Instant::now(), 60));
    assert_eq!(planned, []);
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let planned = moves(&mut plan, &list, (30, 0), (Instant::now(), 20));
    assert_eq!(planned.len(), 1, "{planned:?}");
}

#[test]
fn a_surplus_is_left_to_instances_that_requests_reach() {
    let start = Instant::now();
    let list = engines(8, 4);
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let busy = moves(&mut plan, &list, (60, 0), (start, 10));
    assert_eq!(busy, []);
    let nothing = StagePressure::new();
    for second in 10..60 {
        let now = start + second * SECOND;
        assert_eq!(plan.decide(&"s".into(), &list, &nothing, now), None);
    }
}

#[test]
fn no_engine_moves_while_both_stages_are_pressed_or_none_is() {
    let list = engines(6, 3);
    for load in [(90, 70), (40, 5), (70, 70), (60, 70)] {
        let mut plan = StagePlanner::new(goal(), Duration::ZERO);
        let planned = moves(&mut plan, &list, load, (Instant::now(), 60));
        assert_eq!(planned, [], "{load:?}");
    }
}

#[test]
fn a_burst_of_a_few_seconds_moves_no_engine() {
    let start = Instant::now();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let mut pressure = StagePressure::new();
    for second in 0..60 {
        let now = start + second * SECOND;
        let load = match second % 12 {
            0..5 => 100,
            _ => 30,
        };
        note(&mut pressure, load, 0, now);
        let planned = plan.decide(&"s".into(), &list, &pressure, now);
        assert_eq!(planned, None, "second {second}");
    }
}

#[test]
fn an_instance_that_sees_few_requests_moves_no_engine() {
    let start = Instant::now();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let mut pressure = StagePressure::new();
    for second in 0..60 {
        let now = start + second * 2 * SECOND;
        pressure.note_prefill(ALONE, 3 * ALONE, now);
        pressure.note_slot_search(false, now);
        assert_eq!(plan.decide(&"s".into(), &list, &pressure, now), None);
    }
}

#[test]
fn after_a_change_the_plan_rests() {
    let start = Instant::now();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    plan.start_cooldown(start);
    let list = engines(6, 3);
    let planned = moves(&mut plan, &list, (90, 0), (start, 40));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 30, "the pause, and the patience after it");
}

#[test]
fn the_last_engines_of_a_stage_are_replaced_and_never_taken() {
    let start = Instant::now();
    for (list, load) in [(engines(2, 3), (90, 0)), (engines(6, 2), (20, 90))] {
        let mut plan = StagePlanner::new(goal(), Duration::ZERO);
        let planned = moves(&mut plan, &list, load, (start, 60));
        assert_eq!(planned, [], "{load:?}");
    }
    let nothing = StagePressure::new();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(8, 1);
    assert_eq!(plan.decide(&"s".into(), &list, &nothing, start), None);
    let later = start + 2 * SECOND;
    let planned = plan.decide(&"s".into(), &list, &nothing, later).unwrap();
    assert_eq!(
        (planned.stage, planned.engines.len()),
        (UpstreamStage::Prefill, 1)
    );
}

#[test]
fn a_pressure_that_passes_starts_the_wait_anew() {
    let start = Instant::now();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let list = engines(6, 3);
    let before = moves(&mut plan, &list, (90, 0), (start, 8));
    assert_eq!(before, []);
    let pause = moves(&mut plan, &list, (40, 0), (start + 8 * SECOND, 2));
    assert_eq!(pause, []);
    let again = moves(&mut plan, &list, (90, 0), (start + 10 * SECOND, 20));
    assert_eq!(again.len(), 1, "{again:?}");
    assert!(again[0].0 >= 10, "the patience, anew");
}

#[test]
fn of_the_few_engines_that_a_loss_leaves_one_reads() {
    let start = Instant::now();
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let planned = moves(&mut plan, &engines(2, 2), (20, 90), (start, 10));
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(planned[0].0, 2, "after the patience");
    assert_eq!(planned[0].1.stage, UpstreamStage::Decode);
    let mut plan = StagePlanner::new(goal(), Duration::ZERO);
    let planned = moves(&mut plan, &engines(3, 1), (20, 90), (start, 60));
    assert_eq!(planned, [], "the last reader stays");
}
