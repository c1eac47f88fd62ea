//! The gossiped record of one instance, on which all instances converge.

use {
    crate::member_state::MemberState,
    kernel::{Incarnation, InstanceId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The liveness of an instance as seen by the others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStanding {
    /// Its heartbeats arrive.
    Alive,
    /// It was declared dead or shut down; final for its incarnation.
    #[serde(rename = "gone")]
    Dead,
    /// Its heartbeats are missing; it may refute the suspicion with a higher revision.
    Suspect,
}

/// One incarnation of one instance. Of two records the superseding one is kept, whatever order they arrive in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The address of its peer endpoint.
    pub address: SocketAddr,
    /// Rises with each start of the instance and each time its peers declared it dead.
    pub incarnation: Incarnation,
    /// Its name.
    pub instance: InstanceId,
    /// Rises with each change by the instance itself and each refutation within an incarnation.
    pub revision: u32,
    /// Its liveness.
    pub standing: MemberStanding,
    /// Whether it takes requests.
    pub state: MemberState,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl MemberRecord {
    /// A digest that changes with everything but a suspicion.
    pub fn digest(&self) -> u64 {
        let seed = self.incarnation ^ (u64::from(self.revision) << 48);
        seeded_rng::mix(seed, self.instance.as_bytes())
    }

    /// Whether this incarnation is dead.
    pub fn is_dead(&self) -> bool {
        self.standing == MemberStanding::Dead
    }

    /// Whether it is suspected.
    pub fn is_suspect(&self) -> bool {
        self.standing == MemberStanding::Suspect
    }

    /// Whether this record replaces the other: a later incarnation wins, then death, then a higher revision, then a
    /// suspicion.
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
