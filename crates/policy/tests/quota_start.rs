//! What instances that all start at once hand out of the quota of a customer that surges, before and after they know
//! each other's usage.
//!
//! Guards against a share for each instance that adds up to several times the limit in a large fleet.

mod quota_model;

use {
    kernel::CustomerId,
    policy::QuotaTable,
    quota_model::{Demand, QuotaFault, QuotaModel, ShareMode, default_rule, tokens},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const FLEETS: [usize; 3] = [9, 60, 300];
const RATE: f64 = 390_000.0;
/// Units per request: a short prompt, a usual one, and a large one.
const COSTS: [u64; 3] = [200, 14_000, 50_000];
const SEEDS: [u64; 3] = [1, 3, 5];
const TICK: Duration = Duration::from_millis(10);

/// The most that instances without any exchange grant in a window, as a fraction of what it allows.
fn peak_without_exchange(instances: usize, cost: u64, burst: f64) -> f64 {
    let start = Instant::now();
    let rule = default_rule();
    let limit = tokens(RATE, burst);
    let customer = CustomerId::from("c0");
    let mut tables = vec![QuotaTable::new(rule, false, start); instances];
    let (mut granted, mut sum, mut most) = (VecDeque::new(), 0, 0);
    for tick in 0..3_000 {
        let now = start + TICK * tick;
        while let Some((_, cost)) = granted.pop_front_if(|(at, _)| *at + rule.window < now) {
            sum -= cost;
        }
        for table in &mut tables {
            while table.take(&customer, &limit, Some(cost), now).is_ok() {
                granted.push_back((now, cost));
                sum += cost;
            }
        }
        most = most.max(sum);
    }
    most as f64 / rule.window_limit(&limit)
}

/// The cases without any exchange in which instances grant more than a window allows.
fn excess_without_exchange() -> Vec<String> {
    let mut excess = Vec::new();
    for instances in FLEETS {
        for cost in COSTS {
            for burst in [RATE, 4.0 * RATE] {
                let peak = peak_without_exchange(instances, cost, burst);
                let case = format!("{instances} instances, {cost} units, burst {burst}: {peak:.2}");
                println!("{case}");
                if peak > 1.0 {
                    excess.push(case);
                }
            }
        }
    }
    excess
}

/// All instances are killed while a customer demands `factor` of its rate; `silent` instances of each zone, which the
/// others ask first, do not answer for some seconds.
fn killed(instances: usize, factor: f64, silent: usize, seed: u64) -> QuotaModel {
    let per_zone = instances / 3;
    let mut model = QuotaModel::new(3, per_zone, ShareMode::Exchange, seed);
    let demand = Demand {
        cost: 14_000,
        from: 0,
        rate: RATE * factor,
        spread: instances,
    };
    model.repeat_refused();
    model.customer("c0", tokens(RATE, RATE), demand);
    model.run(Duration::from_secs(6));
    model.fault(QuotaFault::KillAll);
    for zone in 0..3 {
        for index in 0..silent {
            let node = zone * per_zone + index;
            model.fault(QuotaFault::Suspend(node, Duration::from_secs(5)));
        }
    }
    model.run(Duration::from_secs(12));
    model
}

/// The cases in which a customer that demands these multiples of its rate runs more than a window allows.
fn excess_after_kill(instances: usize, factors: &[f64]) -> Vec<String> {
    let mut excess = Vec::new();
    for silent in [0, 2] {
        for factor in factors {
            for seed in SEEDS {
                let summary = killed(instances, *factor, silent, seed).summary();
                let case = format!(
                    "{instances} instances, {silent} silent, factor {factor}, seed {seed}: {summary:?}"
                );
                println!("{case}");
                if summary.peak > 1.0 {
                    excess.push(case);
                }
            }
        }
    }
    excess
}

#[test]
fn a_customer_stays_within_its_limit_after_all_instances_were_killed() {
    let mut excess = excess_after_kill(9, &[0.55, 2.0, 4.0]);
    excess.extend(excess_after_kill(60, &[0.55, 2.0, 4.0]));
    excess.extend(excess_after_kill(300, &[0.55]));
    assert_eq!(excess, Vec::<String>::new());
}

// Guards against shares that add up to more than the limit before instances know each other's usage, and against room
// that all see right after their first exchange.
#[test]
fn a_surge_as_all_instances_start_stays_within_what_a_window_allows() {
    let mut excess = excess_without_exchange();
    excess.extend(excess_after_kill(300, &[2.0, 4.0]));
    assert_eq!(excess, Vec::<String>::new());
}
