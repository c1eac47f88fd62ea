//! Admission to one cell: who goes first, who waits, who is refused at once, when reading may start, whose turn the
//! link is. Pure: no I/O, no clock, no global randomness; the entry instance and the bench drive the same code.

pub mod admit_action;
pub mod admit_event;
pub mod admit_policy;
pub mod admit_request;
pub mod cell_allocator;
mod cell_holds;
mod cell_requests;
mod cell_schedule;
mod cell_upstreams;
mod decode_engine;
mod held_request;
pub mod link_info;
mod prefill_engine;
mod queue_place;
pub mod request_key;
mod request_phase;
mod row_state;

pub use {
    admit_action::AdmitAction,
    admit_event::{AdmitEvent, HoldPhase},
    admit_policy::AdmitPolicy,
    admit_request::AdmitRequest,
    cell_allocator::CellAllocator,
    link_info::LinkInfo,
    request_key::RequestKey,
};
