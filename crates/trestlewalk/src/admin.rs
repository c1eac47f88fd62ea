//! The admin server: metrics, state dump, health and the table in force.

pub mod admin_server;
pub mod admin_state;
pub mod readiness_state;
pub mod ready_reply;
pub mod table_status;

pub use {
    admin_server::AdminServer,
    admin_state::AdminState,
    readiness_state::ReadinessState,
    ready_reply::ReadyReply,
    table_status::{StatusSource, TableStatus},
};
