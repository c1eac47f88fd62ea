//! One curve: a policy's measures over a setting.

use crate::{policy_run::PolicyName, report::PolicyReport};

/// One point of a curve.
#[derive(Clone, Debug)]
pub struct SweepPoint {
    /// The measures there.
    pub report: PolicyReport,
    /// The setting's value.
    pub setting: f64,
}

/// A policy's measures over a setting, in the order of its values.
#[derive(Clone, Debug)]
pub struct SweepCurve {
    /// The points.
    pub points: Vec<SweepPoint>,
    /// The policy.
    pub policy: PolicyName,
}

impl SweepCurve {
    /// A curve without points.
    pub fn new(policy: PolicyName) -> Self {
        Self {
            points: Vec::new(),
            policy,
        }
    }

    /// The curve as pairs.
    pub fn pairs(&self, pair: impl Fn(&SweepPoint) -> (f64, f64)) -> Vec<(f64, f64)> {
        self.points.iter().map(pair).collect()
    }
}
