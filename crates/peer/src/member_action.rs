//! What the membership decides.

use {
    crate::{heartbeat::MemberMessage, member_update::MemberUpdate, peer_metrics::RefusedCause},
    kernel::{Incarnation, InstanceId, TableVersion},
};

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Tell the other parts of the process.
    Notify(MemberUpdate),
    /// Pull the table from this peer.
    Pull {
        /// The peer.
        from: InstanceId,
        /// The version that it has, at least.
        version: TableVersion,
    },
    /// Count a message that was refused.
    Refuse(RefusedCause),
    /// The others hold this life for gone: take a life with a greater number, and answer with
    /// [`MemberEvent::Renewed`](crate::MemberEvent). Until then this instance may not act as an allocator.
    Renew {
        /// The new life's number is over this one.
        above: Incarnation,
    },
    /// Send a message, best effort, to each of these.
    Send {
        /// The message.
        message: MemberMessage,
        /// The peers.
        to: Vec<InstanceId>,
    },
}
