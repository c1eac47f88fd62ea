//! Admission control for one cell, i.e. the engines of one model in an availability zone. Decides the order of the
//! queue, early refusals, when a prompt may be prefilled, and which KV cache is transferred next.
//!
//! [`CellAllocator`] takes [`AdmitEvent`]s and returns [`AdmitAction`]s. It does no I/O, reads no clock, and seeds its
//! randomness, so that an entry instance and the benchmark run the same code.

pub mod admit_action;
pub mod admit_event;
pub mod admit_policy;
pub mod admit_request;
pub mod cell_allocator;
pub mod cell_counts;
mod cell_estimates;
mod cell_grants;
mod cell_indexes;
pub mod cell_key;
mod cell_order;
pub mod cell_plan;
mod cell_refusals;
mod cell_requests;
mod cell_tuning;
mod cell_upstreams;
pub mod completion_forecast;
mod decode_engine;
mod decode_stream;
mod ended_keys;
mod engine_pool;
mod held_request;
pub mod length_sketch;
pub mod link_info;
mod link_schedule;
pub mod normal_quantile;
mod pool_key;
mod prefill_candidate;
mod prefill_decision;
mod prefill_engine;
mod queue_ahead;
mod queue_position;
mod rate_meter;
pub mod request_key;
mod request_phase;
mod row_limit;
mod row_state;
mod urgent_demand;

pub use {
    admit_action::AdmitAction,
    admit_event::{AdmitEvent, AnnouncedPhase},
    admit_policy::AdmitPolicy,
    admit_request::AdmitRequest,
    cell_allocator::CellAllocator,
    cell_counts::CellCounts,
    cell_key::CellKey,
    cell_plan::CellPlan,
    completion_forecast::{CompletionForecast, HORIZONS},
    length_sketch::LengthSketch,
    link_info::LinkInfo,
    normal_quantile::normal_quantile,
    request_key::RequestKey,
};
