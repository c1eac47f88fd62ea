//! Which orders to give: role moves, and loads within the weight store's rate.

use {
    engine::wire::route_role::EngineRole,
    lease::{EngineReport, RoleBalancer, RoleMove, RoleReport, RoleSettings, WeightBudget},
    std::time::{Duration, Instant},
};

const MINUTE: Duration = Duration::from_secs(60);

fn report(decode_wait: u64, prefill_wait: u64) -> RoleReport {
    let engine = |name: &str, role, streams| EngineReport {
        engine: name.into(),
        role,
        streams,
    };
    RoleReport {
        decode_wait: Duration::from_secs(decode_wait),
        engines: vec![
            engine("decode-1", EngineRole::Decode, 4),
            engine("decode-2", EngineRole::Decode, 2),
            engine("decode-3", EngineRole::Decode, 3),
            engine("prefill-1", EngineRole::Prefill, 0),
            engine("prefill-2", EngineRole::Prefill, 0),
        ],
        prefill_wait: Duration::from_secs(prefill_wait),
    }
}

fn balancer() -> RoleBalancer {
    let settings = RoleSettings::builder().enabled(true).patience(MINUTE);
    RoleBalancer::new(settings.cool_down(MINUTE * 5).build())
}

#[test]
fn nothing_moves_by_default() {
    let now = Instant::now();
    let mut balancer = RoleBalancer::new(RoleSettings::builder().build());
    assert_eq!(balancer.on_report(now, &report(0, 9)), None);
    assert_eq!(balancer.on_report(now + MINUTE * 9, &report(0, 9)), None);
}

#[test]
fn a_lasting_shortage_moves_the_idlest_engine_one_at_a_time() {
    let now = Instant::now();
    let mut balancer = balancer();
    assert_eq!(balancer.on_report(now, &report(0, 9)), None);
    let moved = RoleMove {
        engine: "decode-2".into(),
        role: EngineRole::Prefill,
    };
    let later = now + MINUTE;
    assert_eq!(balancer.on_report(later, &report(0, 9)), Some(moved));
    assert_eq!(balancer.on_report(later + MINUTE, &report(0, 9)), None);
    balancer.on_end(later + MINUTE, &"decode-2".into());
    assert_eq!(balancer.on_report(later + MINUTE * 2, &report(0, 9)), None);
    assert!(
        balancer
            .on_report(later + MINUTE * 6, &report(0, 9))
            .is_some()
    );
}

#[test]
fn a_break_in_the_shortage_starts_the_wait_afresh() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.on_report(now, &report(0, 9));
    balancer.on_report(now + MINUTE / 2, &report(0, 1));
    assert_eq!(balancer.on_report(now + MINUTE, &report(0, 9)), None);
    assert_eq!(balancer.on_report(now + MINUTE * 2, &report(9, 9)), None);
}

#[test]
fn the_last_engines_of_a_role_stay() {
    let now = Instant::now();
    let mut balancer = balancer();
    balancer.on_report(now, &report(9, 0));
    assert_eq!(balancer.on_report(now + MINUTE, &report(9, 0)), None);
}

#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let now = Instant::now();
    let mut budget = WeightBudget::new(now, 10.0, 100.0);
    assert_eq!(budget.spend(now, 60.0), Ok(()));
    assert_eq!(budget.spend(now, 60.0), Err(Duration::from_secs(2)));
    assert_eq!(budget.spend(now + Duration::from_secs(2), 60.0), Ok(()));
    let full = now + Duration::from_secs(12);
    assert_eq!(budget.spend(full, 400.0), Ok(()));
    assert_eq!(budget.spend(full, 1.0), Err(Duration::from_secs_f64(30.1)));
}
