//! Which replica: by prefix cache, by load reports that lag, by link, and never one that is leaving. No I/O, no clock.
//!
//! [`ReplicaChoice`] ranks engines, [`PlainChoice`] picks a replica of a plain service, and [`LaggedLoad`] corrects a
//! report by what was sent since.

pub mod decode_option;
pub mod lagged_load;
pub mod leaving_bound;
pub mod leaving_mark;
pub mod leaving_table;
pub mod load_report;
mod pair_draws;
pub mod plain_choice;
mod plain_state;
pub mod prefill_option;
pub mod prefix_table;
pub mod replica_choice;
pub mod retry_budget;
pub mod upstream_info;

pub use {
    decode_option::DecodeOption,
    lagged_load::LaggedLoad,
    leaving_bound::LeavingBound,
    leaving_mark::LeavingMark,
    leaving_table::LeavingTable,
    load_report::{LeavingCause, LoadReport},
    plain_choice::PlainChoice,
    prefill_option::PrefillOption,
    prefix_table::PrefixTable,
    replica_choice::ReplicaChoice,
    retry_budget::RetryBudget,
    upstream_info::{UpstreamInfo, UpstreamRole},
};
