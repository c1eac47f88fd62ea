//! The processes that `serve` and `relay` run, from opening the sockets to the last step of the close.

pub mod allocator_factory;
pub mod bounded_log;
pub mod close_report;
pub mod close_steps;
pub mod control_tasks;
pub mod entry_identity;
pub mod entry_parts;
pub mod entry_process;
pub mod entry_sockets;
pub mod entry_tickets;
pub mod key_files;
pub mod list_poller;
pub mod log_setup;
pub mod member_watch;
pub mod path_components;
pub mod peer_socket;
pub mod platform_health;
pub mod process_plugin;
pub mod process_signals;
pub mod ready_line;
pub mod relay_process;
pub mod request_path;
pub mod share_updater;
pub mod table_driver;

pub use {
    allocator_factory::AllocatorFactory,
    bounded_log::BoundedLog,
    close_report::CloseReport,
    close_steps::CloseSteps,
    control_tasks::ControlTasks,
    entry_identity::EntryIdentity,
    entry_parts::EntryParts,
    entry_process::{EntryProcess, entry_runtime},
    entry_sockets::{EntrySockets, bind_tcp},
    entry_tickets::{EntryTickets, start_tickets},
    key_files::load_keys,
    list_poller::ListPoller,
    member_watch::MemberWatch,
    path_components::{EntryPlatform, PathComponents},
    peer_socket::PeerSocket,
    platform_health::{PlatformHealth, PlatformSample},
    process_signals::{ProcessSignal, ProcessSignals},
    ready_line::ReadyLine,
    relay_process::RelayProcess,
    request_path::RequestPath,
    share_updater::ShareUpdater,
    table_driver::{EntryStatus, TableDriver, TableExchange},
};
