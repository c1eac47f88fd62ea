//! The part of a plain row's limit that one entry instance may use. Does no I/O.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::collections::BTreeSet,
    table::WorkRow,
};

/// The entry instances that share limits, as seen by one of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareView {
    /// The own instance.
    pub instance: InstanceId,
    /// The live instances of the own availability zone, including the own one.
    pub members: BTreeSet<InstanceId>,
    /// The own availability zone.
    pub zone: ZoneId,
    /// The availability zones that have entry instances, including those that are unreachable.
    pub zones: BTreeSet<ZoneId>,
}

impl ShareView {
    /// How many requests of a row this instance may run at once; `None` if the row has no limit.
    ///
    /// The limit is split over the availability zones where the row may run, and each zone's part over its live
    /// instances, in whole numbers that add up to the limit. Rendezvous hashing decides which zones and instances get
    /// the remainder. Unreachable zones are counted too, so a zone that is cut off keeps to its part.
    pub fn limit(&self, row: &WorkRow) -> Option<u32> {
        let zone_part = zone_limit(row, &self.zones, &self.zone)?;
        let members: Vec<&InstanceId> = self.members.iter().collect();
        Some(part(&row.work, zone_part, &members, &self.instance))
    }
}

/// The part of a row's limit for one availability zone; `None` if the row has no limit. The parts are whole numbers
/// that add up to the limit over the `zones` where the row may run.
pub fn zone_limit(row: &WorkRow, zones: &BTreeSet<ZoneId>, zone: &ZoneId) -> Option<u32> {
    let allowed: Vec<&ZoneId> = zones.iter().filter(|zone| row.allows(zone)).collect();
    Some(part(&row.work, row.limit?, &allowed, zone))
}

/// The part of `own` when `limit` is split over `all`, or the whole limit when `own` is not among them.
fn part(key: &str, limit: u32, all: &[&InstanceId], own: &InstanceId) -> u32 {
    if !all.contains(&own) {
        return limit;
    }
    let count = u32::try_from(all.len()).unwrap_or(u32::MAX);
    let rank = |name: &InstanceId| (seeded_rng::rendezvous_score(key, name), name.clone());
    let own_rank = rank(own);
    let ahead = all.iter().filter(|other| rank(other) > own_rank).count();
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    limit / count + u32::from(ahead < limit % count)
}
