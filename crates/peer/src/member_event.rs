//! The inputs of the membership state machine.

use {
    crate::{
        cell_summary::CellSummary, heartbeat::MemberMessage, member_state::MemberState,
        peer_identity::PeerIdentity, table_revision::TableRevision,
    },
    kernel::{Incarnation, InstanceId, UpstreamId},
    route::load_report::LeavingCause,
    std::{net::SocketAddr, time::Instant},
};

/// An instance named by the settings or by the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// The address of its peer endpoint.
    pub address: SocketAddr,
    /// Its name.
    pub instance: InstanceId,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// One input of the state machine.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The newest summary of a cell whose allocator runs on this instance.
    Cell(CellSummary),
    /// This instance shuts down: its neighbours are told that its incarnation has ended.
    Close,
    /// The instances of the settings or of the platform's list. A member missing from the list is not dead for that.
    Listed(Vec<ListedMember>),
    /// This instance observed that an upstream takes no new work, or that it does again.
    Mark {
        /// The reason; `None` withdraws this instance's mark.
        cause: Option<LeavingCause>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A message from a peer.
    Message {
        /// The peer.
        from: PeerIdentity,
        /// The message.
        message: MemberMessage,
    },
    /// The platform answered a call that this instance sent at this time.
    PlatformContact(Instant),
    /// This instance started a new incarnation, as requested by [`MemberAction::Renew`](crate::MemberAction).
    Renewed(Incarnation),
    /// The state of this instance changed.
    State(MemberState),
    /// The table in force at this instance.
    Table(TableRevision),
    /// The time of [`MemberTable::next_wake`](crate::MemberTable::next_wake) has come.
    Tick,
}
