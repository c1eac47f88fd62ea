//! What other availability zones can take over.

use {
    crate::ZoneSpare,
    kernel::ZoneId,
    std::time::{Duration, Instant},
};

/// Figures that are older are not used.
const MAX_AGE: Duration = Duration::from_millis(1_000);
/// The share of the room of another zone that this one uses: other zones may do the same.
const USED_SHARE: f64 = 0.5;

/// The room of other zones, less what was sent there since.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpareZones {
    zones: Vec<(ZoneId, u64, Instant)>,
}

impl SpareZones {
    pub(crate) fn set(&mut self, zones: Vec<ZoneSpare>, now: Instant) {
        let aged = |zone: ZoneSpare| {
            let at = now.checked_sub(zone.age).unwrap_or(now);
            let tokens = (zone.tokens as f64 * USED_SHARE) as u64;
            (zone.zone, tokens, at)
        };
        self.zones = zones.into_iter().map(aged).collect();
    }

    /// The zone with the most room, if it suffices for `tokens`, which are taken from it.
    pub(crate) fn take(&mut self, tokens: u64, now: Instant) -> Option<ZoneId> {
        let zones = self.zones.iter_mut();
        let recent = zones.filter(|(_, _, at)| now.saturating_duration_since(*at) < MAX_AGE);
        let (zone, left, _) = recent.max_by_key(|(_, left, _)| *left)?;
        *left = left.checked_sub(tokens)?;
        Some(zone.clone())
    }
}
