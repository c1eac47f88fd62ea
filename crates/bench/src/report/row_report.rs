//! What one policy did for one row, over all seeds.

use {
    crate::report::report_figures::ReportFigures,
    kernel::WorkId,
    serde::{Serialize, Serializer},
};

/// The measures of one row, a run each.
#[derive(Clone, Debug)]
pub struct RowReport {
    /// A run each.
    pub runs: Vec<ReportFigures>,
    /// The row.
    pub work: WorkId,
}

impl RowReport {
    /// The means over all runs.
    pub fn mean(&self) -> ReportFigures {
        ReportFigures::mean(&self.runs)
    }
}

#[derive(Serialize)]
struct RowObject<'a> {
    work: &'a str,
    #[serde(flatten)]
    figures: ReportFigures,
}

impl Serialize for RowReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let object = RowObject {
            work: &self.work,
            figures: self.mean(),
        };
        object.serialize(serializer)
    }
}
