//! When the operators' declaration in force was last known to be the latest version.

use {kernel::TableVersion, std::time::Instant};

/// A version, and the last time at which the store was known to have no later one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct VersionMark {
    as_of: Instant,
    version: TableVersion,
}

/// The newest known version and the one before it, which stays in force until the newest has been applied.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableAge {
    previous: Option<VersionMark>,
    newest: Option<VersionMark>,
}

impl TableAge {
    /// The last time at which a version was known to be the newest; `None` when unknown.
    pub fn as_of(&self, version: TableVersion) -> Option<Instant> {
        let marks = [self.newest, self.previous].into_iter().flatten();
        let mut marks = marks.filter(|mark| mark.version == version);
        marks.next().map(|mark| mark.as_of)
    }

    /// The newest known version, and when it was last known to be the newest.
    pub fn newest(&self) -> Option<(TableVersion, Instant)> {
        self.newest.map(|mark| (mark.version, mark.as_of))
    }

    /// Records that the store had no later version than `version` at `as_of`.
    pub fn note(&mut self, version: TableVersion, as_of: Instant) {
        let mark = VersionMark { as_of, version };
        match &mut self.newest {
            Some(newest) if newest.version > version => {}
            Some(newest) if newest.version == version => newest.as_of = newest.as_of.max(as_of),
            newest => {
                self.previous = newest.replace(mark);
            }
        }
    }
}
