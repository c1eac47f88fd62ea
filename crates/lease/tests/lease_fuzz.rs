//! Random faults against leases and the order gate, with an oracle of a few lines.

#[path = "../../claim/tests/support/fuzz.rs"]
mod fuzz;
mod support;

use {
    proptest::{collection::vec, prelude::*},
    support::lease_world::{LeaseStep, LeaseWorld},
};

const LONGEST_RUN: usize = 120;

#[test]
fn no_two_orders_overlap_and_fences_only_grow() {
    fuzz::check(vec(LeaseStep::any(), 1..LONGEST_RUN), |steps| {
        let mut world = LeaseWorld::new();
        for step in steps {
            world.apply(step);
            prop_assert!(world.fault.is_none(), "{:?}", world.fault);
        }
        Ok(())
    });
}

#[test]
fn the_faults_leave_room_for_orders() {
    let orders = std::cell::Cell::new(0);
    fuzz::check(vec(LeaseStep::any(), LONGEST_RUN), |steps| {
        let mut world = LeaseWorld::new();
        steps.into_iter().for_each(|step| world.apply(step));
        orders.set(orders.get() + world.orders.len());
        Ok(())
    });
    assert!(orders.get() > 100, "{} orders", orders.get());
}
