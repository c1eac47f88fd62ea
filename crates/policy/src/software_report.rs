//! What an instance knows of the software version at which a stream began.

use {
    crate::SoftwareAnswers,
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
    /// Without a note of the stream it is known if there was a single version lately. `stored` are the versions that the
    /// store keeps, which has them before they are used. Without them, all that were asked have to agree, and the list of one
    /// of them has to be complete: instances may be cut off together with old lists, or have all just started. An instance
    /// that has no others, with `None`, goes by its own list if that is complete.
    pub fn resolve(
        self,
        others: Option<&SoftwareAnswers>,
        stored: Option<&[SoftwareVersion]>,
    ) -> Option<SoftwareVersion> {
        let reports = others.map_or(&[][..], |others| &others.reports);
        let mut noted = reports.iter().filter_map(|report| report.began.as_ref());
        if let Some(began) = self.began.as_ref().or_else(|| noted.next()) {
            return Some(began.clone());
        }
        let is_agreed = others.is_none_or(SoftwareAnswers::is_full);
        let reports = std::iter::once(&self).chain(reports);
        let is_complete = reports.clone().any(|report| report.is_complete);
        let listed = reports.flat_map(|report| &report.versions);
        let versions: BTreeSet<_> = listed.chain(stored.into_iter().flatten()).collect();
        let is_confirmed = stored.is_some() || is_agreed && is_complete;
        match versions.len() {
            1 if is_confirmed => versions.first().copied().cloned(),
            _ => None,
        }
    }
}
