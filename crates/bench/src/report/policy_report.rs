//! What one policy did, over all seeds.

use {
    crate::{
        policy_run::PolicyName,
        report::{
            report_figures::{ReportFigures, WasteFigures},
            row_report::RowReport,
        },
        world::RunTally,
    },
    serde::{Serialize, Serializer},
};

/// The measures of one policy, a run each.
#[derive(Clone, Debug)]
pub struct PolicyReport {
    /// Calls of the allocator, in all runs.
    pub decisions: u64,
    /// The policy.
    pub policy: PolicyName,
    /// The rows, in the scenario's order.
    pub rows: Vec<RowReport>,
    /// A run each.
    pub runs: Vec<ReportFigures>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// A run each.
    pub waste: Vec<WasteFigures>,
}

/// The object that JSON has for a policy.
#[derive(Serialize)]
struct PolicyObject<'a> {
    policy: PolicyName,
    seeds: &'a [u64],
    #[serde(flatten)]
    figures: ReportFigures,
    goodput_share_spread: f64,
    wasted_prefill_share: f64,
    wasted_prefill_share_spread: f64,
    wasted_by_cause: WasteFigures,
    rows: &'a [RowReport],
}

impl PolicyReport {
    /// A report without runs.
    pub fn new(policy: PolicyName) -> Self {
        Self {
            decisions: 0,
            policy,
            rows: Vec::new(),
            runs: Vec::new(),
            seeds: Vec::new(),
            waste: Vec::new(),
        }
    }

    /// Adds a run.
    pub fn add(&mut self, seed: u64, tally: &RunTally) {
        let figures = ReportFigures::of(&tally.total(), tally.duration);
        self.decisions += tally.decisions;
        self.runs.push(figures);
        self.seeds.push(seed);
        self.waste.push(WasteFigures::of(tally));
        if self.rows.is_empty() {
            for row in &tally.rows {
                self.rows.push(RowReport {
                    runs: Vec::new(),
                    work: row.work.clone(),
                });
            }
        }
        for (report, row) in self.rows.iter_mut().zip(&tally.rows) {
            report.runs.push(ReportFigures::of(row, tally.duration));
        }
    }

    /// The standard deviation of the goodput share between runs.
    pub fn goodput_spread(&self) -> f64 {
        spread(self.runs.iter().map(|run| run.goodput_share))
    }

    /// The means over all runs.
    pub fn mean(&self) -> ReportFigures {
        ReportFigures::mean(&self.runs)
    }

    /// The mean wasted shares.
    pub fn mean_waste(&self) -> WasteFigures {
        WasteFigures::mean(&self.waste)
    }

    /// The standard deviation of the wasted share between runs.
    pub fn waste_spread(&self) -> f64 {
        spread(self.waste.iter().map(WasteFigures::total))
    }
}

impl Serialize for PolicyReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let waste = self.mean_waste();
        let object = PolicyObject {
            figures: self.mean(),
            goodput_share_spread: self.goodput_spread(),
            policy: self.policy,
            rows: &self.rows,
            seeds: &self.seeds,
            wasted_by_cause: waste,
            wasted_prefill_share: waste.total(),
            wasted_prefill_share_spread: self.waste_spread(),
        };
        object.serialize(serializer)
    }
}

fn spread(shares: impl Iterator<Item = f64>) -> f64 {
    let shares: Vec<f64> = shares.collect();
    let count = shares.len().max(1) as f64;
    let mean = shares.iter().sum::<f64>() / count;
    let squares: f64 = shares.iter().map(|share| (share - mean).powi(2)).sum();
    (squares / count).sqrt()
}
