//! What an instance knows of the software version at which a stream began.

use {
    kernel::SoftwareVersion,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The answer of an instance about one stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareReport {
    /// The version at which the stream began; `None` if this is not known.
    pub began: Option<SoftwareVersion>,
    /// Whether no version that was listed lately can be missing in `versions`.
    pub is_complete: bool,
    /// The versions of the service that are listed, or were lately.
    pub versions: Vec<SoftwareVersion>,
}

impl SoftwareReport {
    /// The version at which a stream began, by what this instance and others report; `None` while it is not known.
    ///
    /// Without a note of the stream it is known if there was a single version lately, and the list of one of them is
    /// complete: all may have just started. An instance that none of the others answers can't tell: it may be cut off, and
    /// its list out of date. One that has no others, `is_alone`, goes by its own list if that is complete.
    pub fn resolve(self, is_alone: bool, others: &[Self]) -> Option<SoftwareVersion> {
        let mut noted = others.iter().filter_map(|report| report.began.as_ref());
        if let Some(began) = self.began.as_ref().or_else(|| noted.next()) {
            return Some(began.clone());
        }
        let reports = std::iter::once(&self).chain(others);
        let is_complete = reports.clone().any(|report| report.is_complete);
        let versions: BTreeSet<_> = reports.flat_map(|report| &report.versions).collect();
        let is_confirmed = is_complete && (is_alone || !others.is_empty());
        match versions.len() {
            1 if is_confirmed => versions.first().copied().cloned(),
            _ => None,
        }
    }
}
