//! What part of a plain row's limit one entry instance may use. Pure.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::collections::BTreeSet,
    table::WorkRow,
};

/// The entry instances that share limits, as one of them sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareView {
    /// This instance.
    pub instance: InstanceId,
    /// The live instances of the own availability zone, this one among them.
    pub members: BTreeSet<InstanceId>,
    /// The own availability zone.
    pub zone: ZoneId,
    /// The availability zones that have entry instances, whether they are heard or not.
    pub zones: BTreeSet<ZoneId>,
}

impl ShareView {
    /// How many requests of a row this instance may run at once; `None` without a limit.
    ///
    /// The limit is split over the availability zones where the row may run, and the zone's part over its live
    /// instances, in whole numbers that add up to the limit. Which zones and instances get the odd ones is settled by
    /// rendezvous hashing. A zone that is cut off keeps to its part, since the zones are not those that are heard.
    pub fn limit(&self, row: &WorkRow) -> Option<u32> {
        let zone_part = zone_limit(row, &self.zones, &self.zone)?;
        let members: Vec<&InstanceId> = self.members.iter().collect();
        Some(part(&row.work, zone_part, &members, &self.instance))
    }
}

/// One availability zone's part of a row's limit; `None` without a limit. The parts are whole numbers and add up to the
/// limit over the `zones` where the row may run.
pub fn zone_limit(row: &WorkRow, zones: &BTreeSet<ZoneId>, zone: &ZoneId) -> Option<u32> {
    let allowed: Vec<&ZoneId> = zones.iter().filter(|zone| row.allows(zone)).collect();
    Some(part(&row.work, row.limit?, &allowed, zone))
}

/// The part of `own` when `limit` is split over `all`. Alone when it is not among them.
fn part(key: &str, limit: u32, all: &[&InstanceId], own: &InstanceId) -> u32 {
    if !all.contains(&own) {
        return limit;
    }
    let count = u32::try_from(all.len()).unwrap_or(u32::MAX);
    let rank = |name: &InstanceId| (seeded_rng::rendezvous_score(key, name), name.clone());
    let own_rank = rank(own);
    let before = all.iter().filter(|other| rank(other) > own_rank).count();
    let before = u32::try_from(before).unwrap_or(u32::MAX);
    limit / count + u32::from(before < limit % count)
}
