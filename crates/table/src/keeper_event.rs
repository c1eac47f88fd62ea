//! The inputs of a table keeper.

use {
    crate::{table_head::TableHead, table_patch::TablePatch, table_source::TableSource},
    kernel::{InstanceId, TableVersion},
    std::time::Instant,
};

/// One input. Times in events are by the clock of the keeper's driver.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    /// A peer's heartbeat or a poll of the platform reported a table head.
    Head {
        /// When the poll was sent; for a heartbeat, when it arrived.
        asked: Instant,
        /// The reported head.
        head: TableHead,
        /// The holder that reported it.
        source: TableSource,
    },
    /// A peer is no longer a member.
    PeerRemoved(InstanceId),
    /// The platform answered this instance, or a peer whose heartbeat reported it.
    PlatformContact {
        /// When it answered, by this instance's clock.
        at: Instant,
    },
    /// A pull failed.
    PullFailed {
        /// The holder pulled from.
        source: TableSource,
    },
    /// A patch arrived, as the answer to a pull or unsolicited.
    Pulled {
        /// The patch.
        patch: TablePatch,
        /// The holder that sent it.
        source: TableSource,
    },
    /// A write-back to the platform ended: it created this version, or nothing was missing.
    Restored {
        /// The platform's version after it.
        version: TableVersion,
    },
    /// Time has passed; a pull may have timed out.
    Tick,
}
