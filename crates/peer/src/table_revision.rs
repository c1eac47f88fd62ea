//! Identifies the table that an instance has in force.

use {
    kernel::{TableDigest, TableVersion},
    serde::{Deserialize, Serialize},
};

/// The version and the digest of a table.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRevision {
    /// The hash of the whole content.
    pub digest: TableDigest,
    /// The version; 0 when there is no table yet.
    pub version: TableVersion,
}
