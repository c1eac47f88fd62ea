//! How the first instance of a zone reads: the store, another zone's reader, or whoever the store answers.

use {
    super::{ReadStep, ReaderPlan},
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::time::Instant,
};

/// How many of a zone are asked by the first ones of other zones: the reader, and the one after it if that is dead.
const UPPER_CHOICES: usize = 2;
/// The seed of the order of zones.
const ZONE_SEED: u64 = 8;

impl ReaderPlan {
    /// Who reads the store for all zones, as far as this instance, the first of its zone, may ask: the first ones of the
    /// zones before its own. None at the start, since callers wait, and none while the store does not answer this instance:
    /// then anybody who has news will do.
    pub(super) fn upper(&self, now: Instant) -> Option<InstanceId> {
        if self.is_refused() || self.news_read.is_none() {
            return None;
        }
        let own = zone_place(&self.zone);
        let mut before: Vec<_> = self.elsewhere.iter().collect();
        before.retain(|(zone, _)| zone_place(zone) < own);
        before.sort_by_key(|(zone, _)| zone_place(zone));
        let firsts = before.into_iter();
        let mut firsts = firsts.flat_map(|(_, ranked)| ranked.iter().take(UPPER_CHOICES));
        firsts.find(|member| self.is_awake(member, now)).cloned()
    }

    /// Reads for others: from the store while it answers, or else from whoever it answers.
    pub(super) fn read(&mut self, now: Instant) -> ReadStep {
        if self.probe.is_due(now) {
            return ReadStep::Store;
        }
        let due = self.probe.next().unwrap_or(now);
        if self.probe.failures() == 0 {
            return ReadStep::Pause(due);
        }
        let deputies = self.deputies.iter().filter(|(_, until)| now < **until);
        let deputies = deputies.map(|(deputy, _)| deputy);
        let firsts = self.elsewhere.values().filter_map(|ranked| {
            let mut awake = ranked.iter().filter(|member| self.is_awake(member, now));
            awake.next()
        });
        let mut helpers = deputies.chain(firsts);
        let awake = helpers.find(|helper| self.is_awake(helper, now));
        match awake {
            Some(helper) => self.ask(helper.clone(), now),
            None => ReadStep::Pause(due),
        }
    }
}

/// The place of a zone in the order in which their first ones read for all.
fn zone_place(zone: &ZoneId) -> (u64, &ZoneId) {
    (seeded_rng::mix(ZONE_SEED, zone.as_bytes()), zone)
}
