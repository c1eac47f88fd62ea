//! The callers' side: completions, chat, plain services and tickets over HTTP.
//!
//! [`TicketDoor`] is first: it sends a request with a ticket or a key to where that may run. [`DoorServer`] has the
//! handlers behind it, and [`AdmissionGate`] counts the requests that are open.

pub mod admission_gate;
pub mod answer_body;
pub mod caller_api;
pub mod chat_handler;
pub mod completion_handler;
pub mod door_limits;
pub mod door_server;
pub mod door_shared;
pub mod error_answer;
pub mod model_answer;
pub mod service_handler;
pub mod ticket_answer;
mod ticket_body;
mod ticket_close;
pub mod ticket_desk;
pub mod ticket_door;
mod ticket_forward;
pub mod ticket_frame;
mod ticket_host;
mod ticket_key;
pub mod ticket_metrics;
mod ticket_mint;
mod ticket_peers;
mod ticket_plugin;
pub mod ticket_request;
mod ticket_run;
mod ticket_service;
pub mod work_header;

pub use {
    admission_gate::{AdmissionGate, GatePass},
    answer_body::AnswerStyle,
    door_limits::DoorLimits,
    door_server::DoorServer,
    door_shared::{DoorDefaults, DoorShared},
    error_answer::ErrorAnswer,
    ticket_desk::TicketDesk,
    ticket_door::TicketDoor,
    ticket_frame::TICKET_TAG,
    ticket_metrics::TicketMetrics,
};
