//! What all instances come to agree on about one instance.

use {
    crate::member_state::MemberState,
    kernel::{Incarnation, InstanceId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether the others hear from an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStanding {
    /// It is heard.
    Alive,
    /// It was declared gone, or closed: final for its incarnation.
    #[serde(rename = "gone")]
    Dead,
    /// Its heartbeats are missing; it may refute that with a greater revision.
    Suspect,
}

/// One life of one instance. Of two records the one that supersedes the other is kept, in whatever order they come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Where it answers its peers.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its name.
    pub instance: InstanceId,
    /// Counts what the instance itself changed in this life, and its refutations.
    pub revision: u32,
    /// Whether the others hear from it.
    pub standing: MemberStanding,
    /// Whether it takes requests.
    pub state: MemberState,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl MemberRecord {
    /// A number that differs when anything but a suspicion differs.
    pub fn digest(&self) -> u64 {
        let seed = self.incarnation ^ (u64::from(self.revision) << 48);
        seeded_rng::mix(seed, self.instance.as_bytes())
    }

    /// Whether it is gone.
    pub fn is_dead(&self) -> bool {
        self.standing == MemberStanding::Dead
    }

    /// Whether it is suspected.
    pub fn is_suspect(&self) -> bool {
        self.standing == MemberStanding::Suspect
    }

    /// Whether this record is to be kept in place of the other: a later life, then gone, then a greater revision, then
    /// a suspicion.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> (Incarnation, bool, u32, bool) {
        (
            self.incarnation,
            self.is_dead(),
            self.revision,
            self.is_suspect(),
        )
    }
}
