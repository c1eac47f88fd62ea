//! The other availability zones as this instance hears of them.

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
    /// Whether nothing was heard of it for too long.
    pub cut: bool,
    /// The lowest table version in force there, when it was heard.
    pub floor: TableVersion,
    /// When it spoke.
    pub heard: Instant,
}

/// Keeps the freshest brief of each other zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTable {
    cursor: usize,
    zones: BTreeMap<ZoneId, ZoneView>,
}

impl ZoneTable {
    /// The other zones.
    pub fn all(&self) -> impl Iterator<Item = (&ZoneId, &ZoneView)> {
        self.zones.iter()
    }

    /// Marks the zones that were silent for longer than the limit and gives those that were not marked before.
    pub fn cut(&mut self, now: Instant, limit: Duration) -> Vec<ZoneId> {
        let mut cut = Vec::new();
        for (zone, view) in &mut self.zones {
            if view.cut || now.saturating_duration_since(view.heard) <= limit {
                continue;
            }
            view.cut = true;
            cut.push(zone.clone());
        }
        cut
    }

    /// The next few zones to pass on; all come in turn.
    pub fn next(&mut self, now: Instant, count: usize) -> Vec<ZoneSummary> {
        let total = self.zones.len();
        let mut briefs = Vec::new();
        for step in 0..count.min(total) {
            let Some((zone, view)) = self.zones.iter().nth((self.cursor + step) % total) else {
                continue;
            };
            briefs.push(ZoneSummary {
                age: now.saturating_duration_since(view.heard),
                floor: view.floor,
                zone: zone.clone(),
            });
        }
        self.cursor = self.cursor.wrapping_add(count) % total.max(1);
        briefs
    }

    /// Takes a brief when it is fresher than what is known; `true` when the zone was cut off and is back.
    pub fn put(&mut self, now: Instant, brief: ZoneSummary, limit: Duration) -> bool {
        let heard = now.checked_sub(brief.age).unwrap_or(now);
        let known = self.zones.get(&brief.zone);
        if known.is_some_and(|known| known.heard >= heard) {
            return false;
        }
        let was_cut = known.is_some_and(|known| known.cut);
        let cut = was_cut && brief.age > limit;
        let floor = brief.floor;
        self.zones
            .insert(brief.zone, ZoneView { cut, floor, heard });
        was_cut && !cut
    }

    /// Moves all times on, after this instance itself stood still.
    pub fn shift(&mut self, now: Instant) {
        for view in self.zones.values_mut() {
            view.heard = now;
        }
    }
}
