use {
    crate::support::{NAMES, short},
    bench::{
        policy_run::{PolicyName, run_policy},
        world::{RunTally, plan_requests},
    },
    std::sync::Arc,
};

const SECONDS: u64 = 25;

fn each_run(mut check: impl FnMut(&str, PolicyName, &RunTally)) {
    for name in NAMES {
        // Long enough for every fault of the scenario.
        let seconds = if name == "deaths" { 110 } else { SECONDS };
        let file = short(name, seconds);
        let plans = Arc::new(plan_requests(&file, 3));
        for policy in PolicyName::ALL {
            let tally = run_policy(policy, &file, &plans, 3);
            check(name, policy, &tally);
        }
    }
}

#[test]
fn every_request_ends_once() {
    each_run(|name, policy, tally| {
        let total = tally.total();
        let ended = total.answered + total.broken + total.cancelled + total.lost + total.refused;
        assert_eq!(ended, total.offered, "{name} {policy:?}");
        assert!(total.good <= total.answered, "{name} {policy:?}");
    });
}

#[test]
fn every_token_read_is_delivered_or_wasted() {
    each_run(|name, policy, tally| {
        let ledger = &tally.ledger;
        let accounted = ledger.delivered + ledger.wasted();
        assert_eq!(ledger.read, accounted, "{name} {policy:?}");
        assert!(ledger.read > 0, "{name} {policy:?}");
    });
}

#[test]
fn the_allocator_loses_no_request() {
    each_run(|name, policy, tally| {
        if policy == PolicyName::Ours {
            assert_eq!(tally.total().lost, 0, "{name}");
        }
    });
}
