//! Runs a property with a fixed seed; `PROPTEST_CASES` sets the number of cases, `FUZZ_SEED` another seed.

use proptest::{
    strategy::Strategy,
    test_runner::{
        Config, FileFailurePersistence, RngAlgorithm, TestCaseResult, TestError, TestRng,
        TestRunner,
    },
};

const DEFAULT_SEED: u64 = 20;

/// Checks the property over sequences of steps; panics with the seed and the smallest failing sequence.
pub(crate) fn check<S: Strategy>(steps: S, property: impl Fn(S::Value) -> TestCaseResult) {
    let config = Config {
        failure_persistence: Some(Box::new(FileFailurePersistence::Off)),
        ..Config::default()
    };
    let seed = std::env::var("FUZZ_SEED").map_or(DEFAULT_SEED, |text| text.parse().unwrap());
    let bytes = [seed.to_le_bytes(); 4].concat();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    match runner.run(&steps, property) {
        Ok(()) => {}
        Err(TestError::Fail(reason, steps)) => panic!("seed {seed}: {reason}\nsteps: {steps:#?}"),
        Err(TestError::Abort(reason)) => panic!("seed {seed}: {reason}"),
    }
}
