//! Steps of the stateful fuzz test.

use proptest::prelude::*;

/// One step. Indexes select among the existing requests, messages or engines.
#[derive(Clone, Debug)]
pub(crate) enum FuzzStep {
    Announce(usize, usize),
    Cancel(usize),
    Crash,
    Deliver(usize),
    Duplicate(usize),
    Engine(usize, usize),
    Lose(usize),
    Progress(usize, usize),
    Advance(u64),
    Report(usize, u32),
    Submit(usize),
    Table(u32),
}

pub(crate) fn any_step() -> impl Strategy<Value = FuzzStep> {
    let index = 0..64_usize;
    prop_oneof![
        1 => (index.clone(), 0..8_usize).prop_map(|(at, phase)| FuzzStep::Announce(at, phase)),
        2 => index.clone().prop_map(FuzzStep::Cancel),
        1 => Just(FuzzStep::Crash),
        30 => index.clone().prop_map(FuzzStep::Deliver),
        3 => index.clone().prop_map(FuzzStep::Duplicate),
        1 => (index.clone(), 0..4_usize).prop_map(|(at, kind)| FuzzStep::Engine(at, kind)),
        2 => index.clone().prop_map(FuzzStep::Lose),
        30 => (index.clone(), 0..16_usize).prop_map(|(at, kind)| FuzzStep::Progress(at, kind)),
        12 => (0..80_u64).prop_map(FuzzStep::Advance),
        3 => (index.clone(), 0..6_u32).prop_map(|(at, used)| FuzzStep::Report(at, used)),
        18 => (0..3_usize).prop_map(FuzzStep::Submit),
        1 => (0..4_u32).prop_map(FuzzStep::Table),
    ]
}
