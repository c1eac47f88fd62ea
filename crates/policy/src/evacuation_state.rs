//! The evacuated availability zones in force, also after the store came back from an older copy. Free of I/O; times are
//! passed in.

use {
    crate::{EvacuationChange, EvacuationSet, list_history::RESTORED_SPAN},
    kernel::ZoneId,
    std::{collections::BTreeSet, time::Instant},
};

/// The newest set, and what a restored store lacks of the one before.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuationState {
    /// Zones that a restored store does not show, and until when they stay evacuated.
    kept: Option<(BTreeSet<ZoneId>, Instant)>,
    newest: EvacuationSet,
}

impl EvacuationState {
    /// Whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &ZoneId) -> bool {
        let kept = self.kept.as_ref();
        self.newest.zones.contains(zone) || kept.is_some_and(|(kept, _)| kept.contains(zone))
    }

    /// Applies a set, unless a newer one is known; returns what changes. Zones that a restored store lacks stay evacuated
    /// until operators can have declared them again.
    pub(crate) fn apply(&mut self, next: &EvacuationSet, now: Instant) -> EvacuationChange {
        let mut change = self.newest.change_to(next);
        if next.version <= self.newest.version {
            return change;
        }
        if next.version.era > self.newest.version.era && !change.ended.is_empty() {
            let kept = std::mem::take(&mut change.ended).into_iter().collect();
            self.kept = Some((kept, now + RESTORED_SPAN));
        }
        self.newest = next.clone();
        change
    }

    /// Ends the evacuation of zones that were not declared again after a restore; returns these zones.
    pub(crate) fn end_kept(&mut self, now: Instant) -> Vec<ZoneId> {
        let kept = self.kept.take_if(|(_, until)| now >= *until);
        let (zones, _) = kept.unwrap_or_else(|| (BTreeSet::new(), now));
        zones.difference(&self.newest.zones).cloned().collect()
    }
}
