//! What a keeper hears.

use {
    crate::{table_head::TableHead, table_patch::TablePatch, table_source::TableSource},
    kernel::{InstanceId, TableVersion},
    std::time::Instant,
};

/// One event. Times inside events are by the clock of whoever drives the keeper.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// A peer's heartbeat or a poll of the platform told a head.
    Head {
        /// When the question was sent; for a heartbeat, when it came.
        asked: Instant,
        /// The head.
        head: TableHead,
        /// Whose it is.
        source: TableSource,
    },
    /// A peer is gone.
    PeerRemoved(InstanceId),
    /// The platform answered somebody at this time: this instance, or a peer whose heartbeat says so.
    PlatformContact {
        /// When, by this instance's clock.
        at: Instant,
    },
    /// A pull failed.
    PullFailed {
        /// From where.
        source: TableSource,
    },
    /// The answer to a pull, or a patch that nobody asked for.
    Pulled {
        /// What came.
        patch: TablePatch,
        /// From where.
        source: TableSource,
    },
    /// The write-back to the platform was done, and made this version; or it found nothing to do.
    Restored {
        /// The platform's version after it.
        version: TableVersion,
    },
    /// Time passed.
    Tick,
}
