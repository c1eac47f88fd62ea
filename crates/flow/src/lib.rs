//! The path of one request from the HTTP handler to its last byte: state machines without I/O, and the tasks that drive
//! them.
//!
//! [`FlowCore`] decides the next step and the final answer, and [`RequestDriver`] makes the calls. [`CellHub`] connects
//! requests to the allocator of their cell, local or remote; [`AllocatorTracker`] follows which instance that is.

pub mod abandoned_streams;
pub mod allocator_tracker;
pub mod answer_event;
pub mod cell_driver;
pub mod cell_frame;
pub mod cell_hub;
pub mod cell_notice;
pub mod cell_session;
pub mod cell_table;
pub mod current_table;
pub mod engine_watch;
pub mod flow_action;
pub mod flow_core;
pub mod flow_event;
pub mod flow_failure;
pub mod flow_metrics;
pub mod flow_plugin;
pub mod grant_router;
pub mod limit_gate;
pub mod limit_share;
pub mod load_poller;
pub mod model_request;
pub mod open_keys;
pub mod plain_caller;
pub mod plain_limiter;
pub mod plain_tries;
pub mod prefix_hashes;
pub mod request_driver;
pub mod request_table;
pub mod run_deadline;
pub mod stream_canceller;
pub mod stream_name;
pub mod stream_sweeper;
pub mod upstream_registry;

mod unlisted_addresses;

pub use {
    allocator_tracker::{AllocatorTracker, MemberView},
    answer_event::AnswerEvent,
    cell_driver::{CellDriver, GrantSink},
    cell_frame::{CellFrame, CellSubmit, GrantFrame, HeldPhase},
    cell_hub::{CellHub, CellRoute},
    cell_notice::{CellGrant, CellNotice},
    cell_session::{CELL_TAG, SessionHost},
    cell_table::{CellTable, PolicyFactory},
    current_table::CurrentTable,
    engine_watch::EngineWatch,
    flow_action::FlowAction,
    flow_core::FlowCore,
    flow_event::FlowEvent,
    flow_failure::FlowFailure,
    flow_metrics::FlowMetrics,
    grant_router::GrantRouter,
    limit_gate::LimitGate,
    limit_share::ShareView,
    load_poller::LoadPoller,
    model_request::ModelRequest,
    plain_caller::PlainCaller,
    plain_limiter::PlainLimiter,
    request_driver::{FlowShared, RequestDriver},
    request_table::RequestTable,
    run_deadline::RunDeadline,
    stream_canceller::StreamCanceller,
    stream_name::StreamName,
    stream_sweeper::{LifeView, StreamSweeper},
    upstream_registry::{UpstreamEntry, UpstreamRegistry},
};
