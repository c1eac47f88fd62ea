//! The software versions at which resumed streams found no place. Free of I/O; times are passed in.

use {
    kernel::{ServiceId, SoftwareVersion},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long after the stated time callers are expected back.
const RETURN_MARGIN: Duration = Duration::from_secs(1);

/// Until when the callers of resumed streams are expected back, by version.
#[derive(Clone, Debug, Default)]
pub struct WantedVersions {
    until: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Instant>>,
}

impl WantedVersions {
    /// Records that a resumed stream found no place at a version, and that its caller is told to come back after `pause`.
    pub fn note(
        &mut self,
        service: &ServiceId,
        software: &SoftwareVersion,
        pause: Duration,
        now: Instant,
    ) {
        for versions in self.until.values_mut() {
            versions.retain(|_, until| now < *until);
        }
        self.until.retain(|_, versions| !versions.is_empty());
        let versions = self.until.entry(service.clone()).or_default();
        let until = versions.entry(software.clone()).or_insert(now);
        *until = (*until).max(now + pause + RETURN_MARGIN);
    }

    /// The versions of a service whose callers are expected back.
    pub fn versions(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.until.get(service).into_iter().flatten();
        versions.filter_map(move |(version, until)| (now < *until).then_some(version))
    }
}
