//! Computes the lowest table version of a zone from heartbeats between neighbours, without a coordinator.

use kernel::TableVersion;

/// How many heartbeat rounds the minimum takes to cover a zone; at least the diameter of the zone's neighbour graph.
pub const FLOOR_STEPS: usize = 6;

/// Entry `n` is the lowest version among the instances up to `n` hops away, as of `n` heartbeats ago. The last entry
/// therefore covers the whole zone without a dedicated collector.
pub type VersionFloors = [TableVersion; FLOOR_STEPS + 1];

/// The version that an instance without traffic contributes: the maximum, so that it does not lower the floor.
pub const NO_FLOOR: TableVersion = TableVersion::MAX;

/// Computes the next floors from the own version, the previous floors and those of the neighbours.
pub fn advance<'a>(
    own: TableVersion,
    last: &VersionFloors,
    neighbours: impl Iterator<Item = &'a VersionFloors>,
) -> VersionFloors {
    let mut floors = [own; FLOOR_STEPS + 1];
    for step in 0..FLOOR_STEPS {
        floors[step + 1] = own.min(last[step]);
    }
    for neighbour in neighbours {
        for step in 0..FLOOR_STEPS {
            floors[step + 1] = floors[step + 1].min(neighbour[step]);
        }
    }
    floors
}
