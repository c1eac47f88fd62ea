//! Fuzzes leases and the order gate with random faults against an oracle.

#[path = "../../claim/tests/support/fuzz.rs"]
mod fuzz;
mod support;

use {
    proptest::{collection::vec, prelude::*},
    support::lease_simulation::{LeaseSimulation, LeaseStep},
};

const MAX_STEPS: usize = 120;

#[test]
fn no_two_orders_overlap_and_fences_only_grow() {
    fuzz::check(vec(LeaseStep::any(), 1..MAX_STEPS), |steps| {
        let mut simulation = LeaseSimulation::new();
        for step in steps {
            simulation.apply(step);
            prop_assert!(simulation.fault.is_none(), "{:?}", simulation.fault);
        }
        Ok(())
    });
}

#[test]
fn the_faults_leave_room_for_orders() {
    let orders = std::cell::Cell::new(0);
    fuzz::check(vec(LeaseStep::any(), MAX_STEPS), |steps| {
        let mut simulation = LeaseSimulation::new();
        steps.into_iter().for_each(|step| simulation.apply(step));
        orders.set(orders.get() + simulation.orders.len());
        Ok(())
    });
    assert!(orders.get() > 100, "{} orders", orders.get());
}
