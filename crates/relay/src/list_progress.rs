//! What a watch of the list of upstreams remembers of its readings. Free of I/O; times are passed in.

use {
    crate::{RECOVERY_NOTICE, UpstreamSnapshot},
    policy::StoreVersion,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// The progress of a watch.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListProgress {
    /// When the last failed reading began.
    failed_at: Option<Instant>,
    failing_since: Option<Instant>,
    /// The unreadable rows of the last reading.
    faults: BTreeSet<String>,
    is_passed_over: bool,
    /// When the store was last read for a list that was taken; `None` before the first one.
    read_at: Option<Instant>,
    version: StoreVersion,
}

/// How a reading follows the ones before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ListStep {
    /// How long ago the store was read for the list that this one replaces; `None` for the first one.
    pub(crate) age: Option<Duration>,
    /// Whether the store came back from an older copy since the last list.
    pub(crate) is_restored: bool,
    /// The time between the readings of the last list and of this one; `None` for the first one.
    pub(crate) gap: Option<Duration>,
}

impl ListProgress {
    /// Records a reading that can be used; returns whether the ones before it failed.
    pub(crate) fn end_failures(&mut self) -> bool {
        self.failing_since.take().is_some()
    }

    /// Records the unreadable rows of a reading; returns those that the one before it did not have.
    pub(crate) fn note_faults<'a>(&mut self, faults: &'a [String]) -> Vec<&'a String> {
        let before = std::mem::replace(&mut self.faults, faults.iter().cloned().collect());
        let new = faults.iter().filter(|fault| !before.contains(*fault));
        new.collect()
    }

    /// Records a failed reading that began at `began`; returns whether it is the first in a row.
    pub(crate) fn note_failure(&mut self, began: Instant, now: Instant) -> bool {
        let is_first = self.failing_since.is_none();
        self.failed_at = Some(began);
        self.failing_since.get_or_insert(now);
        is_first
    }

    /// The latest time at which an outage before a reading can have ended: when the store was read, or the time within
    /// which an attempt follows the last failed one, whichever is sooner.
    pub(crate) fn outage_end(&self, reading: &UpstreamSnapshot, now: Instant) -> Instant {
        let read_at = reading.as_of.unwrap_or(now);
        let failed_at = self.failed_at.max(reading.failed_at);
        failed_at.map_or(read_at, |failed_at| {
            read_at.min(failed_at + RECOVERY_NOTICE)
        })
    }

    /// Takes a list; `None` if it is older than the last one.
    pub(crate) fn advance(&mut self, reading: &UpstreamSnapshot, now: Instant) -> Option<ListStep> {
        if reading.version < self.version {
            if !self.is_passed_over {
                tracing::warn!(
                    version = reading.version.number,
                    last_version = self.version.number,
                    passed_on = reading.passed_on,
                    "lists of upstreams older than the last one are passed over"
                );
            }
            self.is_passed_over = true;
            return None;
        }
        let read_at = reading.as_of.unwrap_or(now);
        let before = self.read_at;
        let step = ListStep {
            age: before.map(|before| now.saturating_duration_since(before)),
            gap: before.map(|before| read_at.saturating_duration_since(before)),
            is_restored: before.is_some() && reading.version.era > self.version.era,
        };
        if step.is_restored {
            tracing::warn!(
                era = reading.version.era,
                before = self.version.era,
                "the list of upstreams comes from a restored store"
            );
        }
        self.is_passed_over = false;
        self.read_at = before.max(Some(read_at));
        self.version = reading.version;
        Some(step)
    }
}
