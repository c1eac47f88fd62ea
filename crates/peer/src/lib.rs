//! Membership and messaging between entry instances.
//!
//! [`PeerEndpoint`] provides mutually authenticated QUIC connections for messages, calls and sessions.
//! [`MemberTable`] decides, without I/O, which instances are alive and which zones are unreachable; [`PeerDriver`]
//! drives it and publishes the result as a [`MemberView`]. Heartbeats also spread table versions and upstream marks.

pub mod address_table;
pub mod cell_summary;
pub mod cell_table;
pub mod gossip_queue;
pub mod heartbeat;
pub mod keys;
pub mod link_load;
pub mod link_slot;
pub mod link_table;
pub mod link_traffic;
pub mod mark_table;
pub mod member_action;
pub mod member_event;
pub mod member_metrics;
pub mod member_record;
pub mod member_settings;
pub mod member_state;
pub mod member_table;
pub mod member_update;
pub mod member_view;
pub mod member_watch;
pub mod neighbour_ring;
pub mod peer_driver;
pub mod peer_endpoint;
pub mod peer_error;
pub mod peer_identity;
pub mod peer_incoming;
pub mod peer_metrics;
pub mod peer_router;
pub mod peer_settings;
pub mod record_table;
mod session_place;
pub mod session_receiver;
mod session_room;
pub mod session_sender;
pub mod table_revision;
pub mod table_source;
pub mod tls_config;
pub mod upstream_mark;
pub mod version_floors;
pub mod wire;
pub mod zone_summary;
pub mod zone_table;

mod accept_loop;
mod driver_task;
mod endpoint_dial;
mod member_merge;
mod member_sync;
mod member_timer;

pub use {
    address_table::AddressTable,
    cell_summary::{CellId, CellSummary},
    heartbeat::{Heartbeat, MemberMessage, SyncReply, SyncRequest},
    keys::{KeyAuthority, PeerKeys, make_test_keys},
    link_load::LinkLoad,
    member_action::MemberAction,
    member_event::{ListedMember, MemberEvent},
    member_record::{MemberRecord, MemberStanding},
    member_settings::MemberSettings,
    member_state::MemberState,
    member_table::MemberTable,
    member_update::MemberUpdate,
    member_view::MemberView,
    peer_driver::PeerDriver,
    peer_endpoint::PeerEndpoint,
    peer_error::PeerError,
    peer_identity::PeerIdentity,
    peer_incoming::{CallReply, PeerIncoming},
    peer_metrics::{PeerMetrics, RefusedCause},
    peer_settings::PeerSettings,
    session_receiver::SessionReceiver,
    session_sender::{SessionFrame, SessionSender},
    table_revision::TableRevision,
    table_source::TableSource,
    upstream_mark::UpstreamMark,
};

/// Identifies a protocol or a kind of frame between instances; each part of the system has its own tags.
pub type ProtocolTag = u16;
