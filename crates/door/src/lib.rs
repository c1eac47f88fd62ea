//! The HTTP interface for callers: completions, chat, plain services and tickets.
//!
//! [`TicketDispatcher`] comes first and routes a request with a ticket or an idempotency key to the instance where it
//! may run. [`ApiServer`] provides the handlers behind it, and [`AdmissionGate`] limits the number of open requests.

pub mod admission_gate;
pub mod answer_body;
pub mod api_context;
pub mod api_limits;
pub mod api_server;
pub mod caller_api;
pub mod chat_handler;
pub mod completion_handler;
pub mod error_answer;
pub mod model_answer;
pub mod service_handler;
pub mod ticket_answer;
mod ticket_body;
mod ticket_close;
pub mod ticket_dispatcher;
mod ticket_forward;
pub mod ticket_frame;
mod ticket_host;
mod ticket_key;
pub mod ticket_metrics;
mod ticket_mint;
mod ticket_peers;
mod ticket_plugin;
pub mod ticket_registry;
pub mod ticket_request;
mod ticket_run;
mod ticket_service;
pub mod work_header;

pub use {
    admission_gate::{AdmissionGate, GatePass},
    answer_body::AnswerStyle,
    api_context::{ApiContext, ApiDefaults},
    api_limits::ApiLimits,
    api_server::ApiServer,
    error_answer::ErrorAnswer,
    ticket_dispatcher::TicketDispatcher,
    ticket_frame::TICKET_TAG,
    ticket_metrics::TicketMetrics,
    ticket_registry::TicketRegistry,
};
