//! A parsed table file.

use {
    crate::{file_base::FileBase, work_row::WorkRow},
    kernel::WorkId,
    std::collections::BTreeMap,
};

/// The content of a table file without faults.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableFile {
    /// The version that the file was exported from; `None` when the file has no version line.
    pub base: Option<FileBase>,
    /// The rows by their key.
    pub rows: BTreeMap<WorkId, WorkRow>,
}
