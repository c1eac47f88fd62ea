//! One regression bound.

use {
    crate::{bounds::measure_name::MeasureName, policy_run::PolicyName, report::PolicyReport},
    kernel::WorkId,
    serde::{Deserialize, Serialize},
};

/// A policy's measure is held against a number, or against the same measure of another policy times that number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureBound {
    /// The least figure; none is no such bound.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// The greatest figure; none is no such bound.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// The measure.
    pub measure: MeasureName,
    /// The policy whose figure both numbers are multiplied with; none is 1.
    #[serde(default)]
    pub of: Option<PolicyName>,
    /// The policy.
    pub policy: PolicyName,
    /// The row; none is all of them.
    #[serde(default)]
    pub row: Option<WorkId>,
}

/// How a bound came out.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundVerdict {
    /// Whether it holds.
    pub holds: bool,
    /// The figures, in one line.
    pub text: String,
}

impl MeasureBound {
    /// Holds the bound against reports; a figure that isn't there doesn't hold.
    pub fn check(&self, reports: &[PolicyReport]) -> BoundVerdict {
        let Some(figure) = self.figure(self.policy, reports) else {
            let text = format!("{}: there is no such figure", self.name());
            return BoundVerdict { holds: false, text };
        };
        let scale = match self.of {
            Some(other) => self.figure(other, reports),
            None => Some(1.0),
        };
        let Some(scale) = scale else {
            let text = format!("{}: nothing to compare with", self.name());
            return BoundVerdict { holds: false, text };
        };
        let mut holds = true;
        let mut text = format!("{} {figure:.4}", self.name());
        if let Some(least) = self.at_least {
            holds &= figure >= least * scale;
            text.push_str(&format!(" >= {:.4}", least * scale));
        }
        if let Some(most) = self.at_most {
            holds &= figure <= most * scale;
            text.push_str(&format!(" <= {:.4}", most * scale));
        }
        if let Some(other) = self.of {
            text.push_str(&format!(" (of {})", other.text()));
        }
        BoundVerdict { holds, text }
    }

    fn figure(&self, policy: PolicyName, reports: &[PolicyReport]) -> Option<f64> {
        let report = reports.iter().find(|report| report.policy == policy)?;
        let Some(work) = &self.row else {
            let waste = report.mean_waste();
            return self.measure.figure(&report.mean(), Some(&waste));
        };
        let row = report.rows.iter().find(|row| row.work == *work)?;
        self.measure.figure(&row.mean(), None)
    }

    fn name(&self) -> String {
        let policy = self.policy.text();
        let measure = self.measure.text();
        match &self.row {
            Some(work) => format!("{policy} {work} {measure}"),
            None => format!("{policy} {measure}"),
        }
    }
}
