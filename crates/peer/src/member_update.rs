//! What the other parts of the process learn from the membership.

use {
    crate::{member_record::MemberRecord, upstream_mark::UpstreamMark},
    kernel::{Incarnation, InstanceId, TableDigest, TableVersion, ZoneId},
};

/// One piece of news.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberUpdate {
    /// A peer has the same table version with another content.
    DigestDiffers {
        /// The digest of its content.
        digest: TableDigest,
        /// The peer.
        instance: InstanceId,
        /// The version.
        version: TableVersion,
    },
    /// A peer that had the same table version with another content has another version now, or the same content.
    DigestConverged {
        /// The digest of its content.
        digest: TableDigest,
        /// The peer.
        instance: InstanceId,
        /// Its version.
        version: TableVersion,
    },
    /// An upstream is marked, or a mark is taken back.
    Marked(UpstreamMark),
    /// A member can't be heard from here, and is not declared gone: it may still act. Choose another for new work.
    MemberUnreachable {
        /// The member.
        instance: InstanceId,
    },
    /// All lives of a member before this one are gone.
    MemberDead {
        /// The first life that is not gone.
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
    /// A life of a member is heard for the first time, or again after it was cut off.
    MemberUp(MemberRecord),
    /// This instance has a new life; its allocators start anew.
    Renewed {
        /// The new life.
        incarnation: Incarnation,
    },
    /// Another process with this instance's name has a later life: this one must stop acting.
    Superseded {
        /// The later life.
        by: Incarnation,
    },
    /// This instance was told to put an older table in force than it has; it keeps what it has.
    VersionRegressed {
        /// The version that it has.
        ours: TableVersion,
        /// The version that it was given.
        version: TableVersion,
    },
    /// An availability zone is heard again.
    ZoneReachable {
        /// The zone.
        zone: ZoneId,
    },
    /// Nothing is heard from an availability zone.
    ZoneUnreachable {
        /// The zone.
        zone: ZoneId,
    },
}
