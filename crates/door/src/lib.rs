//! The callers' side: completions and chat over HTTP, plain services, tickets.

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
pub mod work_header;

pub use {
    admission_gate::{AdmissionGate, GatePass},
    answer_body::AnswerStyle,
    door_limits::DoorLimits,
    door_server::DoorServer,
    door_shared::{DoorDefaults, DoorShared},
    error_answer::ErrorAnswer,
};
