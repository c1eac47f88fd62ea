//! The operators' table: rows, columns, validation, merges and versions. It does no I/O and reads no clock.
//!
//! [`read_csv`] parses and validates a file. [`merge_rows`] merges an operator's file into the current table.
//! [`StampedTable`] holds the version of each row, and [`TableKeeper`] decides which table is in force.

pub mod cell_parse;
pub mod cell_text;
pub mod csv_read;
pub mod csv_write;
pub mod fault_code;
pub mod file_base;
pub mod keeper_action;
pub mod keeper_event;
pub mod rank;
pub mod row_cells;
pub mod row_change;
pub mod stamped_row;
pub mod stamped_table;
pub mod table_diff;
pub mod table_error;
pub mod table_fault;
pub mod table_file;
pub mod table_head;
pub mod table_keeper;
pub mod table_merge;
pub mod table_patch;
pub mod table_source;
pub mod work_column;
pub mod work_row;
pub mod work_table;

pub use {
    cell_text::{cell_text, duration_text},
    csv_read::read_csv,
    csv_write::write_csv,
    fault_code::FaultCode,
    file_base::FileBase,
    keeper_action::KeeperAction,
    keeper_event::KeeperEvent,
    rank::Rank,
    row_change::{CellChange, RowChange, changed_cells},
    stamped_row::StampedRow,
    stamped_table::StampedTable,
    table_diff::diff_rows,
    table_error::TableError,
    table_fault::TableFault,
    table_file::TableFile,
    table_head::TableHead,
    table_keeper::TableKeeper,
    table_merge::{RowConflict, TableMerge, merge_rows},
    table_patch::TablePatch,
    table_source::TableSource,
    work_column::WorkColumn,
    work_row::WorkRow,
    work_table::WorkTable,
};
