//! What the membership hears.

use {
    crate::{
        cell_summary::CellSummary, heartbeat::MemberMessage, member_state::MemberState,
        peer_identity::PeerIdentity, table_revision::TableRevision,
    },
    kernel::{Incarnation, InstanceId, UpstreamId},
    route::load_report::LeavingCause,
    std::{net::SocketAddr, time::Instant},
};

/// An instance that the settings or the platform's list name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Its name.
    pub instance: InstanceId,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// One event.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// This instance runs an allocator: its newest summary.
    Cell(CellSummary),
    /// This instance closes: the others are told that its life is over.
    Close,
    /// The instances of the settings or of the platform's list. One that is missing from it is not gone for that.
    Listed(Vec<ListedMember>),
    /// This instance sees that an upstream takes no new work, or none: that it does again.
    Mark {
        /// Why.
        cause: Option<LeavingCause>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A peer's message.
    Message {
        /// The peer.
        from: PeerIdentity,
        /// The message.
        message: MemberMessage,
    },
    /// The platform answered this instance a call that was sent then.
    PlatformContact(Instant),
    /// This instance took a new life, as [`MemberAction::Renew`](crate::MemberAction) asked.
    Renewed(Incarnation),
    /// This instance's own state.
    State(MemberState),
    /// The table that this instance has in force.
    Table(TableRevision),
    /// Time passed.
    Tick,
}
