//! As of when the operators' declaration in force was known to be the newest.

use {kernel::TableVersion, std::time::Instant};

/// A version, and the last moment at which the store had no later one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct VersionMark {
    as_of: Instant,
    version: TableVersion,
}

/// The newest version that is known, and the one before it: a declaration comes into force a moment after it is known of.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableAge {
    before: Option<VersionMark>,
    newest: Option<VersionMark>,
}

impl TableAge {
    /// The last moment at which a version was known to be the newest; none when that is not known.
    pub fn as_of(&self, version: TableVersion) -> Option<Instant> {
        let marks = [self.newest, self.before].into_iter().flatten();
        let mut marks = marks.filter(|mark| mark.version == version);
        marks.next().map(|mark| mark.as_of)
    }

    /// The newest version with its moment.
    pub fn newest(&self) -> Option<(TableVersion, Instant)> {
        self.newest.map(|mark| (mark.version, mark.as_of))
    }

    /// At a moment the store had no later version than this.
    pub fn note(&mut self, version: TableVersion, as_of: Instant) {
        let mark = VersionMark { as_of, version };
        match &mut self.newest {
            Some(newest) if newest.version > version => {}
            Some(newest) if newest.version == version => newest.as_of = newest.as_of.max(as_of),
            newest => {
                self.before = newest.replace(mark);
            }
        }
    }
}
