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

#[test]
fn instances_that_know_no_usage_grant_no_more_than_a_window_allows() {
    for instances in FLEETS {
        for cost in COSTS {
            for burst in [RATE, 4.0 * RATE] {
                let peak = peak_without_exchange(instances, cost, burst);
                println!("{instances} instances, {cost} units, burst {burst}: {peak:.2}");
                assert!(peak <= 1.0, "{instances} instances, {cost} units: {peak}");
            }
        }
    }
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

/// Asserts the bound for a customer that demands these multiples of its rate.
fn assert_bounded(instances: usize, factors: &[f64]) {
    for silent in [0, 2] {
        for factor in factors {
            for seed in SEEDS {
                let summary = killed(instances, *factor, silent, seed).summary();
                let case = format!(
                    "{instances} instances, {silent} silent, factor {factor}, seed {seed}: {summary:?}"
                );
                println!("{case}");
                assert!(summary.peak <= 1.0, "{case}");
            }
        }
    }
}

#[test]
fn a_customer_stays_within_its_limit_after_all_instances_were_killed() {
    assert_bounded(9, &[0.55, 2.0, 4.0]);
    assert_bounded(60, &[0.55, 2.0, 4.0]);
    assert_bounded(300, &[0.55]);
}

// Guards against instances that have just exchanged their usage, each of which sees room that the others see too.
#[test]
fn a_surge_through_three_hundred_instances_after_all_were_killed_stays_within_the_limit() {
    assert_bounded(300, &[2.0, 4.0]);
}
