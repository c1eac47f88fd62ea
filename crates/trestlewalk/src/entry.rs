//! The entry instance: what `serve` runs, from the first socket to the last step of closing.

pub mod allocator_maker;
pub mod bounded_log;
pub mod close_report;
pub mod close_steps;
pub mod control_work;
pub mod entry_identity;
pub mod entry_parts;
pub mod entry_process;
pub mod entry_sockets;
pub mod key_files;
pub mod limit_shares;
pub mod list_poller;
pub mod log_setup;
pub mod member_watch;
pub mod path_base;
pub mod platform_health;
pub mod process_plugin;
pub mod process_signals;
pub mod ready_line;
pub mod relay_process;
pub mod request_path;
pub mod table_driver;
pub mod ticket_parts;
pub mod udp_end;

pub use {
    allocator_maker::AllocatorMaker,
    bounded_log::BoundedLog,
    close_report::CloseReport,
    close_steps::CloseSteps,
    control_work::ControlWork,
    entry_identity::EntryIdentity,
    entry_parts::EntryParts,
    entry_process::{EntryProcess, entry_runtime},
    entry_sockets::{EntrySockets, bind_tcp},
    key_files::load_keys,
    limit_shares::LimitShares,
    list_poller::ListPoller,
    member_watch::MemberWatch,
    path_base::{EntryPlatform, PathBase},
    platform_health::{PlatformHealth, PlatformSample},
    process_signals::{ProcessSignal, ProcessSignals},
    ready_line::ReadyLine,
    relay_process::RelayProcess,
    request_path::RequestPath,
    table_driver::{BoardStatus, TableDriver, TableShare},
    ticket_parts::{EntryTickets, start_tickets},
    udp_end::UdpEnd,
};
