//! Fuzzes tickets, hand-overs and keyed claims with random faults against an oracle of at-most-once execution.

mod support;

use {
    proptest::prelude::*,
    support::{fuzz, once_simulation::OnceSimulation, once_step::OnceStep},
};

const MAX_STEPS: usize = 100;

#[test]
fn nothing_runs_twice_and_not_run_is_true() {
    fuzz::check(OnceStep::sequences(1..MAX_STEPS), |steps| {
        let mut simulation = OnceSimulation::new();
        for step in steps {
            simulation.apply(step);
            let fault = simulation.oracle.fault();
            prop_assert!(fault.is_none(), "{fault:?}");
        }
        Ok(())
    });
}

#[test]
fn the_faults_leave_room_for_answers() {
    let sum = std::cell::Cell::new([0; 3]);
    fuzz::check(OnceStep::sequences(MAX_STEPS..MAX_STEPS + 1), |steps| {
        let mut simulation = OnceSimulation::new();
        steps.into_iter().for_each(|step| simulation.apply(step));
        let [runs, denied, replayed] = sum.get();
        let oracle = &simulation.oracle;
        sum.set([
            runs + oracle.runs.len(),
            denied + oracle.denied.len(),
            replayed + oracle.replayed,
        ]);
        Ok(())
    });
    println!("runs, refusals, answers: {:?}", sum.get());
    assert!(sum.get().iter().all(|count| *count > 100), "{sum:?}");
}
