//! When engines are ordered to change their stage.

use {
    policy::{StageGoal, StagePlan, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn goal() -> StageGoal {
    StageGoal::builder()
        .patience(2 * SECOND)
        .pause(20 * SECOND)
        .prefill_share(0.25)
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
                service: "s".into(),
                slots: 64,
                stage,
                zone: format!("zone-{}", index % 3).into(),
            }));
        }
    }
    list
}

#[test]
fn a_surplus_has_to_last_before_an_engine_moves() {
    let start = Instant::now();
    let mut plan = StagePlan::new(goal(), Duration::from_millis(500));
    let list = engines(8, 4);
    assert_eq!(plan.decide(&"s".into(), &list, start), None);
    assert_eq!(plan.decide(&"s".into(), &list, start + 2 * SECOND), None);
    let planned = plan.decide(&"s".into(), &list, start + 3 * SECOND).unwrap();
    assert_eq!(planned.stage, UpstreamStage::Decode);
    let ids: Vec<&str> = planned.engines.iter().map(|engine| &*engine.id).collect();
    assert_eq!(ids, ["Prefill-3"], "from the availability zone with two");
}

#[test]
fn a_surplus_that_passes_starts_the_wait_anew() {
    let start = Instant::now();
    let mut plan = StagePlan::new(goal(), Duration::ZERO);
    assert_eq!(plan.decide(&"s".into(), &engines(8, 4), start), None);
    assert_eq!(
        plan.decide(&"s".into(), &engines(9, 3), start + SECOND),
        None
    );
    assert_eq!(
        plan.decide(&"s".into(), &engines(8, 4), start + 2 * SECOND),
        None
    );
    assert_eq!(
        plan.decide(&"s".into(), &engines(8, 4), start + 3 * SECOND),
        None
    );
    assert!(
        plan.decide(&"s".into(), &engines(8, 4), start + 4 * SECOND)
            .is_some()
    );
}

#[test]
fn after_a_change_the_plan_rests() {
    let start = Instant::now();
    let mut plan = StagePlan::new(goal(), Duration::ZERO);
    plan.rest(start);
    let list = engines(8, 4);
    for second in 0..20 {
        assert_eq!(
            plan.decide(&"s".into(), &list, start + second * SECOND),
            None
        );
    }
    assert_eq!(plan.decide(&"s".into(), &list, start + 20 * SECOND), None);
    assert!(
        plan.decide(&"s".into(), &list, start + 22 * SECOND)
            .is_some()
    );
}

#[test]
fn the_last_prefill_engines_are_replaced_and_never_taken() {
    let start = Instant::now();
    let mut plan = StagePlan::new(goal(), Duration::ZERO);
    assert_eq!(plan.decide(&"s".into(), &engines(2, 2), start), None);
    assert_eq!(
        plan.decide(&"s".into(), &engines(2, 2), start + 9 * SECOND),
        None
    );
    assert_eq!(
        plan.decide(&"s".into(), &engines(8, 1), start + 10 * SECOND),
        None
    );
    let planned = plan
        .decide(&"s".into(), &engines(8, 1), start + 12 * SECOND)
        .unwrap();
    assert_eq!(
        (planned.stage, planned.engines.len()),
        (UpstreamStage::Prefill, 1)
    );
}
