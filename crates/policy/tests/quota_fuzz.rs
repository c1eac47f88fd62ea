//! Quotas under random crashes, partitions, suspensions and changes of limits and demand never exceed the tolerated
//! usage.

mod quota_model;

use {
    proptest::{prelude::*, test_runner::RngSeed},
    quota_model::{Demand, QuotaFault, QuotaModel, ShareMode, tokens},
    std::time::Duration,
};

const ZONES: usize = 3;
const PER_ZONE: usize = 8;
const CUSTOMERS: usize = 4;
/// How long the simulation continues after the last event.
const SETTLING_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
enum Event {
    /// A customer, the factor of its normal rate that it sends, the number of instances it uses and the first of them.
    Demand(usize, f64, usize, usize),
    Fault(QuotaFault),
    Limit(usize, f64),
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..ZONES * PER_ZONE;
    let zone = 0..ZONES;
    let span = || (1..70_u64).prop_map(|tenths| Duration::from_millis(100 * tenths));
    prop_oneof![
        3 => (0..CUSTOMERS, 0.0..5.0, 1..ZONES * PER_ZONE, node.clone())
            .prop_map(|(customer, factor, spread, from)| Event::Demand(customer, factor, spread, from)),
        1 => (0..CUSTOMERS, 0.3..2.0).prop_map(|(customer, factor)| Event::Limit(customer, factor)),
        1 => (zone.clone(), span()).prop_map(|(zone, span)| Event::Fault(QuotaFault::PartitionZone(zone, span))),
        1 => (node.clone(), span()).prop_map(|(node, span)| Event::Fault(QuotaFault::Suspend(node, span))),
        1 => node.prop_map(|node| Event::Fault(QuotaFault::Kill(node))),
        1 => zone.prop_map(|zone| Event::Fault(QuotaFault::KillAggregator(zone))),
        1 => Just(Event::Fault(QuotaFault::KillAll)),
    ]
}

fn rate_of(customer: usize) -> f64 {
    [181_000.0, 90_000.0, 36_000.0, 36_000.0][customer]
}

fn name_of(customer: usize) -> String {
    format!("c{customer}")
}

fn model(seed: u64) -> QuotaModel {
    let mut model = QuotaModel::new(ZONES, PER_ZONE, ShareMode::Exchange, seed);
    for customer in 0..CUSTOMERS {
        let rate = rate_of(customer);
        let demand = Demand {
            cost: 5_300,
            from: customer * 5,
            rate: rate * 0.55,
            spread: 12,
        };
        model.customer(&name_of(customer), tokens(rate, rate), demand);
    }
    model.run(Duration::from_secs(4));
    model
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(48),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(std::env::var("PROPTEST_RNG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(33)),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_customer_uses_more_than_may_run_in_a_window(
        seed in 0..1_000_u64,
        events in prop::collection::vec((event(), 100..4_000_u64), 1..14),
    ) {
        let mut model = model(seed);
        for (event, pause) in events {
            match event {
                Event::Demand(customer, factor, spread, from) => model.demand(&name_of(customer), |demand| {
                    *demand = Demand { from, rate: rate_of(customer) * factor, spread, ..demand.clone() };
                }),
                Event::Fault(fault) => model.fault(fault),
                Event::Limit(customer, factor) => {
                    let rate = rate_of(customer) * factor;
                    model.limit(&name_of(customer), tokens(rate, rate));
                }
            }
            model.run(Duration::from_millis(pause));
        }
        model.run(SETTLING_TIME);
        let summary = model.summary();
        prop_assert!(summary.peak <= 1.0, "{summary:?}");
    }
}
