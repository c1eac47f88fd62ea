//! The callers' side: completions, chat, plain services and tickets over HTTP.
//!
//! [`TicketDispatcher`] is first: it sends a request with a ticket or a key to where that may run. [`ApiServer`] has the
//! handlers behind it, and [`AdmissionGate`] counts the requests that are open.

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
