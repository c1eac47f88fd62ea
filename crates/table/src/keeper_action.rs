//! What a keeper decides.

use {
    crate::{stamped_table::StampedTable, table_head::TableHead, table_source::TableSource},
    kernel::{ResultCode, TableVersion},
    std::sync::Arc,
};

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperAction {
    /// Log and count an alarm; it stands until [`KeeperAction::AlarmCleared`].
    Alarm {
        /// `DigestDiffers`, `VersionFell` or `PeerRefused`.
        code: ResultCode,
        /// The head at fault.
        head: TableHead,
        /// Whose it is.
        source: TableSource,
    },
    /// The cause of an alarm is gone.
    AlarmCleared {
        /// The alarm.
        code: ResultCode,
        /// Whose it was.
        source: TableSource,
    },
    /// This table is in force from now on.
    InForce(Arc<StampedTable>),
    /// Ask for the rows changed after `since`; answer with `Pulled` or `PullFailed`.
    Pull {
        /// 0 asks for all rows.
        since: TableVersion,
        /// Whom to ask.
        source: TableSource,
    },
    /// The platform lacks accepted edits that this instance holds: write them back; answer with `Restored`.
    Restore(Arc<StampedTable>),
}
