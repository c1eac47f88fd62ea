//! The admin server: metrics, state dump, health and the table in force.

pub mod admin_reply;
pub mod admin_server;
pub mod admin_state;
pub mod ready_board;
pub mod table_status;

pub use {
    admin_reply::ReadyReply,
    admin_server::AdminServer,
    admin_state::AdminState,
    ready_board::ReadyBoard,
    table_status::{StatusSource, TableStatus},
};
