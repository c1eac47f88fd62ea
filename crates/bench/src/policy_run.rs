//! One run of one policy.

use {
    crate::{
        policies::{
            BenchPolicy, ClairvoyantPlan, ClairvoyantPolicy, NaivePolicy, ReservePolicy,
            clairvoyant_view,
        },
        scenario::scenario_file::ScenarioFile,
        world::{RequestPlan, RunTally, VirtualWorld},
    },
    admit::CellAllocator,
    clap::ValueEnum,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The policies by name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum PolicyName {
    /// Reads at once, then tries any decode engine.
    Naive,
    /// Holds a decode place from the start of reading.
    Reserve,
    /// The allocator that entry instances run.
    Ours,
    /// Knows everything: the upper bound.
    Clairvoyant,
}

impl PolicyName {
    /// Every policy, the floors first.
    pub const ALL: [Self; 4] = [Self::Naive, Self::Reserve, Self::Ours, Self::Clairvoyant];

    /// The name as the command line has it.
    pub fn text(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Reserve => "reserve",
            Self::Ours => "ours",
            Self::Clairvoyant => "clairvoyant",
        }
    }
}

/// Runs one policy through a scenario.
pub fn run_policy(
    policy: PolicyName,
    file: &Arc<ScenarioFile>,
    plans: &Arc<Vec<RequestPlan>>,
    seed: u64,
) -> RunTally {
    match policy {
        PolicyName::Naive => run_one(file, plans, seed, NaivePolicy::default),
        PolicyName::Reserve => run_one(file, plans, seed, ReservePolicy::default),
        PolicyName::Ours => run_one(file, plans, seed, || ours(file, seed)),
        PolicyName::Clairvoyant => run_best(file, plans, seed),
    }
}

/// The allocator as an entry instance of the scenario would build it.
fn ours(file: &ScenarioFile, seed: u64) -> CellAllocator {
    let lookahead = file.delays.allocator + file.delays.engine;
    CellAllocator::builder()
        .lookahead(lookahead)
        .seed(seed)
        .build()
}

fn run_one<P: BenchPolicy>(
    file: &Arc<ScenarioFile>,
    plans: &Arc<Vec<RequestPlan>>,
    seed: u64,
    make: impl FnMut() -> P,
) -> RunTally {
    VirtualWorld::new(file.clone(), plans.clone(), seed, make).run()
}

/// The clairvoyant policy with the setting that gives the best goodput.
fn run_best(file: &Arc<ScenarioFile>, plans: &Arc<Vec<RequestPlan>>, seed: u64) -> RunTally {
    let mut best: Option<RunTally> = None;
    // Where no row's target fails in a full batch, the guard changes nothing.
    let guards: &[bool] = match clairvoyant_view::guarded_cap(&file.engines, &file.rows)
        < file.engines.decode_places
    {
        true => &[false, true],
        false => &[false],
    };
    for plan in ClairvoyantPlan::all(guards) {
        let tally = run_one(file, plans, seed, || ClairvoyantPolicy::new(plan));
        let good = tally.total().good;
        if best.as_ref().is_none_or(|best| good > best.total().good) {
            best = Some(tally);
        }
    }
    best.unwrap_or_else(|| run_one(file, plans, seed, NaivePolicy::default))
}
