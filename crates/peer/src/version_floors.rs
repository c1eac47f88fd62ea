//! The lowest table version of a whole zone, from neighbours alone.

use kernel::TableVersion;

/// How many steps the minimum takes; at least the greatest number of links between two instances of a zone.
pub const FLOOR_STEPS: usize = 6;

/// Step `n` is the lowest version among the instances up to `n` links away, as of `n` heartbeats ago. So the last step
/// covers the zone, with no instance set aside to collect it.
pub type VersionFloors = [TableVersion; FLOOR_STEPS + 1];

/// The version of an instance that takes no requests: it holds no floor down.
pub const NO_FLOOR: TableVersion = TableVersion::MAX;

/// One more step from the ladders of the neighbours.
pub fn advance<'a>(
    own: TableVersion,
    last: &VersionFloors,
    neighbours: impl Iterator<Item = &'a VersionFloors>,
) -> VersionFloors {
    let mut ladder = [own; FLOOR_STEPS + 1];
    for step in 0..FLOOR_STEPS {
        ladder[step + 1] = own.min(last[step]);
    }
    for neighbour in neighbours {
        for step in 0..FLOOR_STEPS {
            ladder[step + 1] = ladder[step + 1].min(neighbour[step]);
        }
    }
    ladder
}
