//! Admission to one cell: who goes first, who waits, who is refused at once, when reading may start, whose turn the
//! link is. Pure: no I/O, no clock, no global randomness; the entry instance and the bench drive the same code.

pub mod admit_action;
pub mod admit_event;
pub mod admit_policy;
pub mod admit_request;
pub mod link_info;
pub mod request_key;

pub use {
    admit_action::AdmitAction,
    admit_event::{AdmitEvent, HoldPhase},
    admit_policy::AdmitPolicy,
    admit_request::AdmitRequest,
    link_info::LinkInfo,
    request_key::RequestKey,
};
