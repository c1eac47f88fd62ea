//! Membership and messages between entry instances: mutually authenticated links over QUIC, and the pure core that
//! tells which instances live, which table versions and marks they know, and how busy their cells are.

pub mod keys;
pub mod link_slot;
pub mod link_table;
pub mod peer_book;
pub mod peer_endpoint;
pub mod peer_error;
pub mod peer_identity;
pub mod peer_incoming;
pub mod peer_metrics;
pub mod peer_router;
pub mod peer_settings;
pub mod session_receiver;
pub mod session_sender;
pub mod tls_config;
pub mod wire;

mod accept_loop;

pub use {
    keys::{PeerKeys, TestAuthority, make_test_keys},
    peer_book::PeerBook,
    peer_endpoint::PeerEndpoint,
    peer_error::PeerError,
    peer_identity::PeerIdentity,
    peer_incoming::{CallReply, PeerIncoming},
    peer_metrics::PeerMetrics,
    peer_settings::PeerSettings,
    session_receiver::SessionReceiver,
    session_sender::{SessionFrame, SessionSender},
};

/// Names a protocol or a kind of frame between instances; each part of the system has its own tags.
pub type ProtocolTag = u16;
