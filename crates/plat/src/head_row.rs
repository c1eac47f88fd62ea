//! The head row of the stored table.

use {
    crate::edit_record::EditId,
    kernel::{TableDigest, TableVersion},
    serde::{Deserialize, Serialize},
    table::TableHead,
};

/// The value of the head row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The digest of rows, removals and stamps.
    pub digest: TableDigest,
    /// The edit that created the version.
    pub edit: EditId,
    /// The current version of the table.
    pub version: TableVersion,
}

impl HeadRow {
    /// The digest and version, as instances exchange them.
    pub fn head(&self) -> TableHead {
        TableHead {
            digest: self.digest,
            version: self.version,
        }
    }
}
