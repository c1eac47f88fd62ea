//! How the first instance of a zone reads: the store, another zone's reader, or whoever the store is_responsive.

use {
    super::{ReadStep, ReaderElection},
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::time::Instant,
};

/// How many of a zone are asked by the first ones of other zones: the reader, and the one after it if that is dead.
const ZONE_CANDIDATES: usize = 2;
/// The seed of the order of zones.
const ZONE_SEED: u64 = 8;

impl ReaderElection {
    /// Who reads the store for all zones, as far as this instance, the first of its zone, may ask: the first ones of the
    /// zones before its own. None at the start, since callers wait, and none while the store does not answer this instance:
    /// then anybody who has news will do.
    pub(super) fn leading_reader(&self, now: Instant) -> Option<InstanceId> {
        if self.is_refused() || self.update_read_at.is_none() {
            return None;
        }
        let own = zone_place(&self.zone);
        let mut before: Vec<_> = self.other_zones.iter().collect();
        before.retain(|(zone, _)| zone_place(zone) < own);
        before.sort_by_key(|(zone, _)| zone_place(zone));
        let zone_aggregators = before.into_iter();
        let mut zone_aggregators =
            zone_aggregators.flat_map(|(_, ranked)| ranked.iter().take(ZONE_CANDIDATES));
        zone_aggregators
            .find(|member| self.is_available(member, now))
            .cloned()
    }

    /// Reads for others: from the store while it is_responsive, or else from whoever it is_responsive.
    pub(super) fn read_for_others(&mut self, now: Instant) -> ReadStep {
        if self.probe.is_due(now) {
            return ReadStep::ReadStore;
        }
        let due = self.probe.next_due().unwrap_or(now);
        if self.probe.failures() == 0 {
            return ReadStep::Wait(due);
        }
        let standbys = self.standbys.iter().filter(|(_, until)| now < **until);
        let standbys = standbys.map(|(standby, _)| standby);
        let zone_aggregators = self.other_zones.values().filter_map(|ranked| {
            let mut available = ranked
                .iter()
                .filter(|member| self.is_available(member, now));
            available.next()
        });
        let mut helpers = standbys.chain(zone_aggregators);
        let available = helpers.find(|helper| self.is_available(helper, now));
        match available {
            Some(helper) => self.ask_peer(helper.clone(), now),
            None => ReadStep::Wait(due),
        }
    }
}

/// The place of a zone in the order in which their first ones read for all.
fn zone_place(zone: &ZoneId) -> (u64, &ZoneId) {
    (seeded_rng::mix(ZONE_SEED, zone.as_bytes()), zone)
}
