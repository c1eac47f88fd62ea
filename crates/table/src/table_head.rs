//! The head of a table, as announced in heartbeats.

use {
    kernel::{TableDigest, TableVersion},
    serde::{Deserialize, Serialize},
};

/// The version and the digest of a whole table.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableHead {
    /// The hash of rows, tombstones and stamps: [`StampedTable::digest`](crate::StampedTable::digest).
    pub digest: TableDigest,
    /// The version; 0 when there is no table.
    pub version: TableVersion,
}
