//! Random orders of events, checked against the oracle.

use {
    crate::{
        flow_step::{any_plan, any_step},
        flow_world::FlowWorld,
    },
    kernel::ResultCode,
    proptest::{
        collection::vec,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::{cell::RefCell, collections::BTreeMap},
};

const CASES: u32 = 2_000;
const SEED: u64 = 7;
/// Result codes that the fuzz test has to reach to be meaningful.
const ENDS: [ResultCode; 9] = [
    ResultCode::Answered,
    ResultCode::CallerGone,
    ResultCode::Closing,
    ResultCode::CutByClose,
    ResultCode::PatienceEnded,
    ResultCode::PrefillWasted,
    ResultCode::StreamCut,
    ResultCode::UpstreamGarbled,
    ResultCode::UpstreamRefused,
];

#[test]
fn one_true_answer_and_nothing_left_at_engines() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let ends: RefCell<BTreeMap<ResultCode, u32>> = RefCell::default();
    let outcome = TestRunner::new(config).run(&(any_plan(), vec(any_step(), 1..80)), |case| {
        let (plan, steps) = case;
        let mut world = FlowWorld::new(plan);
        for step in steps {
            world.run(step);
        }
        world.end();
        *ends.borrow_mut().entry(world.final_codes[0]).or_default() += 1;
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
    let ends = ends.into_inner();
    println!("ends: {ends:?}");
    for code in ENDS {
        assert!(
            ends.contains_key(&code),
            "never ended with {code:?}: {ends:?}"
        );
    }
}
