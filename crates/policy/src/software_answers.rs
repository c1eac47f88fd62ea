//! What other instances report of the software version at which a stream began.

use crate::SoftwareReport;

/// The answers of the instances that were asked about one stream.
#[derive(Clone, Debug, Default)]
pub struct SoftwareAnswers {
    /// How many instances were asked.
    pub asked: usize,
    /// The answers that came in time.
    pub reports: Vec<SoftwareReport>,
}

impl SoftwareAnswers {
    /// Whether one of the instances has a note of the stream.
    pub fn has_note(&self) -> bool {
        self.reports.iter().any(|report| report.began.is_some())
    }

    /// Whether there are other instances, and all of them answered.
    pub fn is_full(&self) -> bool {
        self.asked > 0 && self.reports.len() >= self.asked
    }
}
