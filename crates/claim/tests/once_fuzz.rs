//! Random faults against tickets, hand-overs and keyed claims, with an oracle of a few lines.

mod support;

use {
    proptest::prelude::*,
    support::{fuzz, once_step::OnceStep, once_world::OnceWorld},
};

const LONGEST_RUN: usize = 100;

#[test]
fn nothing_runs_twice_and_not_run_is_true() {
    fuzz::check(OnceStep::sequences(1..LONGEST_RUN), |steps| {
        let mut world = OnceWorld::new();
        for step in steps {
            world.apply(step);
            let fault = world.oracle.fault();
            prop_assert!(fault.is_none(), "{fault:?}");
        }
        Ok(())
    });
}

#[test]
fn the_faults_leave_room_for_answers() {
    let sum = std::cell::Cell::new([0; 3]);
    fuzz::check(OnceStep::sequences(LONGEST_RUN..LONGEST_RUN + 1), |steps| {
        let mut world = OnceWorld::new();
        steps.into_iter().for_each(|step| world.apply(step));
        let [runs, denied, replayed] = sum.get();
        let tally = &world.oracle;
        sum.set([
            runs + tally.runs.len(),
            denied + tally.denied.len(),
            replayed + tally.replayed,
        ]);
        Ok(())
    });
    println!("runs, refusals, answers: {:?}", sum.get());
    assert!(sum.get().iter().all(|count| *count > 100), "{sum:?}");
}
