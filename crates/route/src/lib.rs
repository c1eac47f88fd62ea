//! Which replica: by prefix cache, by load reports that lag, by link, and never one that is leaving. No I/O, no clock.
//!
//! [`EngineSelector`] ranks engines, [`ReplicaSelector`] picks a replica of a plain service, and [`LaggedLoad`] corrects a
//! report by what was sent since.

pub mod decode_option;
pub mod engine_selector;
pub mod lagged_load;
pub mod leaving_bound;
pub mod leaving_mark;
pub mod leaving_table;
pub mod load_report;
mod pair_sampler;
pub mod prefill_option;
pub mod prefix_table;
pub mod replica_selector;
mod replica_state;
pub mod retry_budget;
pub mod upstream_info;

pub use {
    decode_option::DecodeOption,
    engine_selector::EngineSelector,
    lagged_load::LaggedLoad,
    leaving_bound::LeavingBound,
    leaving_mark::LeavingMark,
    leaving_table::LeavingTable,
    load_report::{LeavingCause, LoadReport},
    prefill_option::PrefillOption,
    prefix_table::PrefixTable,
    replica_selector::ReplicaSelector,
    retry_budget::RetryBudget,
    upstream_info::{UpstreamInfo, UpstreamRole},
};
