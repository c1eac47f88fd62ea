//! `bench policy`: one scenario, some policies, one seed or more.

use {
    crate::{
        bench_error::{BenchError, ReportWriteSnafu},
        parallel_map::parallel_map,
        policy_run::{PolicyName, run_policy},
        report::{PolicyReport, report_text},
        scenario::scenario_file::ScenarioFile,
        world::plan_requests,
    },
    clap::Args,
    snafu::ResultExt,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Compares admission policies in one scenario.
#[derive(Args, Debug)]
pub struct PolicyCommand {
    /// Prints JSON.
    #[arg(long)]
    json: bool,
    /// The policies, separated by commas.
    #[arg(long, value_delimiter = ',', value_enum, default_values_t = PolicyName::ALL)]
    policies: Vec<PolicyName>,
    /// The scenario's file.
    #[arg(long)]
    scenario: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
}

impl PolicyCommand {
    /// Runs the policies and prints what came of them.
    ///
    /// # Errors
    /// The scenario can't be read or has faults.
    pub fn run(self) -> Result<ExitCode, BenchError> {
        let file = Arc::new(ScenarioFile::load(&self.scenario)?);
        let reports = compare(&file, &self.policies, self.seed, self.seeds);
        if self.json {
            let text = serde_json::to_string_pretty(&reports).context(ReportWriteSnafu)?;
            println!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        print!("{}", report_text(&file, &reports));
        Ok(ExitCode::SUCCESS)
    }
}

/// Runs each policy with each seed.
pub fn compare(
    file: &Arc<ScenarioFile>,
    policies: &[PolicyName],
    seed: u64,
    seeds: u64,
) -> Vec<PolicyReport> {
    let mut jobs = Vec::new();
    for seed in seed..seed + seeds {
        let plans = Arc::new(plan_requests(file, seed));
        for policy in policies {
            jobs.push((*policy, seed, plans.clone()));
        }
    }
    let tallies = parallel_map(&jobs, |(policy, seed, plans)| {
        run_policy(*policy, file, plans, *seed)
    });
    let mut reports = Vec::new();
    for policy in policies {
        reports.push(PolicyReport::new(*policy));
    }
    for (index, tally) in tallies.iter().enumerate() {
        let (_, seed, _) = &jobs[index];
        reports[index % policies.len()].add(*seed, tally);
    }
    reports
}
