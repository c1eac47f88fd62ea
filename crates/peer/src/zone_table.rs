//! The other availability zones, as last reported to this instance.

use {
    crate::zone_summary::ZoneSummary,
    kernel::{TableVersion, ZoneId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// One other zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneView {
    /// Whether it is unreachable: its last report is too old.
    pub is_unreachable: bool,
    /// The lowest table version in force there, as last reported.
    pub floor: TableVersion,
    /// When it last reported, by this instance's clock.
    pub heard: Instant,
}

/// Keeps the newest summary of each other zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTable {
    cursor: usize,
    zones: BTreeMap<ZoneId, ZoneView>,
}

impl ZoneTable {
    /// All other zones, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = (&ZoneId, &ZoneView)> {
        self.zones.iter()
    }

    /// Marks zones that were silent for longer than the limit as unreachable and returns the newly marked ones.
    pub fn mark_unreachable(&mut self, now: Instant, limit: Duration) -> Vec<ZoneId> {
        let mut unreachable = Vec::new();
        for (zone, view) in &mut self.zones {
            if view.is_unreachable || now.saturating_duration_since(view.heard) <= limit {
                continue;
            }
            view.is_unreachable = true;
            unreachable.push(zone.clone());
        }
        unreachable
    }

    /// The next `count` zones to gossip, in rotation.
    pub fn next(&mut self, now: Instant, count: usize) -> Vec<ZoneSummary> {
        let total = self.zones.len();
        let mut summaries = Vec::new();
        for step in 0..count.min(total) {
            let Some((zone, view)) = self.zones.iter().nth((self.cursor + step) % total) else {
                continue;
            };
            summaries.push(ZoneSummary {
                age: now.saturating_duration_since(view.heard),
                floor: view.floor,
                zone: zone.clone(),
            });
        }
        self.cursor = self.cursor.wrapping_add(count) % total.max(1);
        summaries
    }

    /// Stores a summary when it is newer than the known one; returns `true` when an unreachable zone is reachable again.
    pub fn put(&mut self, now: Instant, summary: ZoneSummary, limit: Duration) -> bool {
        let heard = now.checked_sub(summary.age).unwrap_or(now);
        let known = self.zones.get(&summary.zone);
        if known.is_some_and(|known| known.heard >= heard) {
            return false;
        }
        let was_unreachable = known.is_some_and(|known| known.is_unreachable);
        let is_unreachable = was_unreachable && summary.age > limit;
        let floor = summary.floor;
        self.zones.insert(
            summary.zone,
            ZoneView {
                floor,
                heard,
                is_unreachable,
            },
        );
        was_unreachable && !is_unreachable
    }

    /// Resets all silence timers to `now`, after a pause of this instance itself.
    pub fn shift(&mut self, now: Instant) {
        for view in self.zones.values_mut() {
            view.heard = now;
        }
    }
}
