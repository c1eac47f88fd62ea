//! Whom an instance tells of its customers' use.

use {
    super::ReaderPlan,
    kernel::{InstanceId, ZoneId},
    std::time::Instant,
};

/// The instances that one tells of its use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsePartners {
    /// The one of the own zone; none for the first itself.
    pub first: Option<InstanceId>,
    /// The other zones with the first instance of each, if one answers.
    pub zones: Vec<(ZoneId, Option<InstanceId>)>,
}

impl ReaderPlan {
    /// Whom to tell of use: the first before this instance that answers and does not rest, or else the first ones of other zones.
    pub fn use_partners(&self, now: Instant, rests: impl Fn(&InstanceId) -> bool) -> UsePartners {
        // One that the store does not answer can add up all the same.
        let is_asked = |member: &&InstanceId| self.answers(member, now) && !rests(member);
        let before = self.ranked.iter().take_while(|member| **member != self.own);
        let elsewhere = self.elsewhere.iter().map(|(zone, ranked)| {
            let first = ranked.iter().find(is_asked);
            (zone.clone(), first.cloned())
        });
        UsePartners {
            first: before.clone().find(is_asked).cloned(),
            zones: elsewhere.collect(),
        }
    }
}
