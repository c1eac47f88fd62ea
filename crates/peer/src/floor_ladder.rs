//! The lowest table version of a whole zone, from neighbours alone.

use kernel::TableVersion;

/// How many steps the minimum takes; at least the greatest number of links between two instances of a zone.
pub const LADDER_STEPS: usize = 6;

/// Step `n` is the lowest version among the instances up to `n` links away, as of `n` heartbeats ago. So the last step
/// covers the zone, with no instance set aside to collect it.
pub type FloorLadder = [TableVersion; LADDER_STEPS + 1];

/// The version of an instance that takes no requests: it holds no floor down.
pub const NO_VERSION: TableVersion = TableVersion::MAX;

/// One more step from the ladders of the neighbours.
pub fn climb<'a>(
    own: TableVersion,
    last: &FloorLadder,
    neighbours: impl Iterator<Item = &'a FloorLadder>,
) -> FloorLadder {
    let mut ladder = [own; LADDER_STEPS + 1];
    for step in 0..LADDER_STEPS {
        ladder[step + 1] = own.min(last[step]);
    }
    for neighbour in neighbours {
        for step in 0..LADDER_STEPS {
            ladder[step + 1] = ladder[step + 1].min(neighbour[step]);
        }
    }
    ladder
}
