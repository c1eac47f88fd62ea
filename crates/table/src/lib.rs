//! The operators' table: rows, columns, checks, merges and versions. Pure: no I/O, no clock.

pub mod rank;
pub mod work_row;
pub mod work_table;

pub use {rank::Rank, work_row::WorkRow, work_table::WorkTable};
