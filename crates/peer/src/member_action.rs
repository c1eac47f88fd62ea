//! The actions that the membership state machine requests.

use {
    crate::{heartbeat::MemberMessage, member_update::MemberUpdate, peer_metrics::RefusedCause},
    kernel::{Incarnation, InstanceId, TableVersion},
};

/// One action for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Publish an update to the other parts of the process.
    Notify(MemberUpdate),
    /// Pull the table from this peer.
    Pull {
        /// The peer.
        from: InstanceId,
        /// The lowest version that the peer has.
        version: TableVersion,
    },
    /// Count a refused message.
    Refuse(RefusedCause),
    /// The other members consider this incarnation dead: start a higher incarnation and answer with
    /// [`MemberEvent::Renewed`](crate::MemberEvent). Until then this instance may not act as an allocator.
    Renew {
        /// The new incarnation must be greater than this one.
        above: Incarnation,
    },
    /// Send a best-effort message to each of these peers.
    Send {
        /// The message.
        message: MemberMessage,
        /// The peers.
        to: Vec<InstanceId>,
    },
}
