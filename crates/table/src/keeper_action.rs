//! The actions that a table keeper requests.

use {
    crate::{stamped_table::StampedTable, table_head::TableHead, table_source::TableSource},
    kernel::{ResultCode, TableVersion},
    std::sync::Arc,
};

/// One action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperAction {
    /// Raise an alarm; it is active until [`KeeperAction::AlarmCleared`].
    Alarm {
        /// `DigestDiffers`, `VersionFell` or `PeerRefused`.
        code: ResultCode,
        /// The table head that caused the alarm.
        head: TableHead,
        /// The holder of that head.
        source: TableSource,
    },
    /// The cause of an alarm has ended.
    AlarmCleared {
        /// The code of the alarm.
        code: ResultCode,
        /// The holder that the alarm was about.
        source: TableSource,
    },
    /// Put this table in force.
    InForce(Arc<StampedTable>),
    /// Request the rows changed after `since`; answer with `Pulled` or `PullFailed`.
    Pull {
        /// 0 requests all rows.
        since: TableVersion,
        /// The holder to pull from.
        source: TableSource,
    },
    /// Write accepted edits that the platform has lost back to it; answer with `Restored`.
    Restore(Arc<StampedTable>),
}
