//! Selects upstreams by cached prefixes, stale load reports and failures, and never one that takes no new work. Free of
//! I/O; times are passed in.
//!
//! [`EngineSelector`] selects an engine, [`ReplicaSelector`] a replica of a plain service, and [`LaggedLoad`] corrects
//! a load report by the work sent since it was taken.

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
