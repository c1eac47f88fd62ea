//! The split of plain rows' limits, and the gate that enforces them.

use {
    flow::{
        LimitGate, ShareView,
        limit_gate::{GateDecision, WaiterId},
    },
    kernel::WorkId,
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
    table::WorkRow,
};

fn row(limit: u32, zones: &[&str]) -> WorkRow {
    WorkRow {
        between_tokens: None,
        first_token: None,
        limit: Some(limit),
        model: None,
        patience: Duration::from_secs(1),
        rank: 1,
        repeat: false,
        retries: 0,
        service: "carta".into(),
        waste: 0.0,
        weight: 1.0,
        work: "confirm".into(),
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

/// The views of all instances of a system with `zones` zones and `members` instances in each.
fn views(zones: usize, members: usize) -> Vec<ShareView> {
    let names: BTreeSet<_> = (0..zones)
        .map(|zone| format!("zone-{zone}").into())
        .collect();
    let mut views = Vec::new();
    for zone in &names {
        let near: BTreeSet<_> = (0..members)
            .map(|member| format!("{zone}-{member}").into())
            .collect();
        for instance in &near {
            views.push(ShareView {
                instance: std::sync::Arc::clone(instance),
                members: near.clone(),
                zone: std::sync::Arc::clone(zone),
                zones: names.clone(),
            });
        }
    }
    views
}

#[test]
fn the_parts_of_all_instances_add_up_to_the_limit() {
    for zones in 1..4 {
        for members in 1..6 {
            let views = views(zones, members);
            for limit in 0..60 {
                let row = row(limit, &[]);
                let parts = views.iter().map(|view| view.limit(&row).unwrap());
                assert_eq!(parts.sum::<u32>(), limit, "{zones} zones of {members}");
            }
        }
    }
}

#[test]
fn a_row_of_one_zone_has_its_whole_limit_there() {
    let row = row(7, &["zone-1"]);
    let near = views(3, 2)
        .into_iter()
        .filter(|view| &*view.zone == "zone-1");
    assert_eq!(near.map(|view| view.limit(&row).unwrap()).sum::<u32>(), 7);
}

#[test]
fn an_instance_that_is_gone_leaves_its_part_to_its_own_zone() {
    let row = row(11, &[]);
    let mut views = views(2, 3);
    let zone_part = |views: &[ShareView]| -> u32 {
        let near = views.iter().filter(|view| &*view.zone == "zone-0");
        near.map(|view| view.limit(&row).unwrap()).sum()
    };
    let before = zone_part(&views);
    let gone = views.remove(0).instance;
    for view in &mut views {
        view.members.remove(&gone);
    }
    assert_eq!(zone_part(&views), before);
}

#[derive(Clone, Debug)]
enum GateStep {
    Enter(bool),
    GiveUp(usize),
    Leave,
    Limit(u32),
}

fn any_step() -> impl Strategy<Value = GateStep> {
    prop_oneof![
        4 => any::<bool>().prop_map(GateStep::Enter),
        1 => (0..8_usize).prop_map(GateStep::GiveUp),
        3 => Just(GateStep::Leave),
        1 => (0..5_u32).prop_map(GateStep::Limit),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn nobody_runs_above_the_limit_and_turns_come_in_order(steps in vec(any_step(), 1..100)) {
        let work: WorkId = "confirm".into();
        let mut gate = LimitGate::default();
        let mut limit = 2;
        let mut running = 0;
        let mut queue: VecDeque<WaiterId> = VecDeque::new();
        for step in steps {
            let admitted = match step {
                GateStep::Enter(waits) => {
                    let is_free = running < limit && queue.is_empty();
                    match gate.enter(&work, limit, waits) {
                        GateDecision::Admitted => {
                            prop_assert!(is_free);
                            running += 1;
                        }
                        GateDecision::Queued(waiter) => {
                            prop_assert!(waits && !is_free && limit > 0);
                            queue.push_back(waiter);
                        }
                        GateDecision::Refused { retry_after } => {
                            prop_assert!(!is_free && (!waits || limit == 0));
                            prop_assert!(retry_after >= Duration::from_secs(1));
                        }
                    }
                    Vec::new()
                }
                GateStep::GiveUp(at) => {
                    if let Some(waiter) = queue.remove(at) {
                        gate.give_up(&work, waiter);
                    }
                    Vec::new()
                }
                GateStep::Leave if running == 0 => Vec::new(),
                GateStep::Leave => {
                    running -= 1;
                    gate.leave(&work, Duration::from_millis(5))
                }
                GateStep::Limit(next) => {
                    limit = next;
                    gate.set_limit(&work, next)
                }
            };
            for waiter in admitted {
                prop_assert_eq!(queue.pop_front(), Some(waiter));
                running += 1;
                prop_assert!(running <= limit);
            }
            prop_assert_eq!(gate.counts(&work), (running, queue.len()));
            prop_assert!(queue.is_empty() || running >= limit, "a request waits below the limit");
        }
    }
}
