//! Membership updates for the other parts of the process.

use {
    crate::{member_record::MemberRecord, upstream_mark::UpstreamMark},
    kernel::{Incarnation, InstanceId, TableDigest, TableVersion, ZoneId},
};

/// One membership update.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberUpdate {
    /// A peer has the same table version with different content.
    DigestDiffers {
        /// The digest of its content.
        digest: TableDigest,
        /// The peer.
        instance: InstanceId,
        /// The version.
        version: TableVersion,
    },
    /// A peer that reported different content for the same table version now has another version or the same content.
    DigestConverged {
        /// The digest of its content.
        digest: TableDigest,
        /// The peer.
        instance: InstanceId,
        /// Its version.
        version: TableVersion,
    },
    /// An upstream was marked, or a mark was withdrawn.
    Marked(UpstreamMark),
    /// A member is unreachable from here but not declared dead, so it may still act. New work goes to another member.
    MemberUnreachable {
        /// The member.
        instance: InstanceId,
    },
    /// All earlier incarnations of a member are dead.
    MemberDead {
        /// The first incarnation that is not dead.
        before: Incarnation,
        /// The member.
        instance: InstanceId,
    },
    /// A member takes no new work.
    MemberLeaving {
        /// The member.
        instance: InstanceId,
    },
    /// A member takes requests.
    MemberReady {
        /// The member.
        instance: InstanceId,
    },
    /// An incarnation of a member is alive for the first time, or reachable again.
    MemberUp(MemberRecord),
    /// This instance started a new incarnation; its allocators start over.
    Renewed {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Another process with this instance's name has a later incarnation: this process must stop acting.
    Superseded {
        /// The later incarnation.
        by: Incarnation,
    },
    /// This instance was given an older table than the one in force; it keeps its own.
    VersionRegressed {
        /// The version in force.
        ours: TableVersion,
        /// The version that was given.
        version: TableVersion,
    },
    /// An availability zone is reachable again.
    ZoneReachable {
        /// The zone.
        zone: ZoneId,
    },
    /// An availability zone is unreachable.
    ZoneUnreachable {
        /// The zone.
        zone: ZoneId,
    },
}
