//! How the first instance of a zone reads: from the store, from the reader of another zone, or from
//! any instance that the store answers.

use {
    super::{ReadStep, ReaderElection},
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::time::Instant,
};

/// Number of instances per zone that the first ones of other zones send requests to: its reader,
/// and the next one in case the reader is dead.
const ZONE_CANDIDATES: usize = 2;
/// Seed of the order of zones.
const ZONE_SEED: u64 = 8;

impl ReaderElection {
    /// The reader of all zones that this instance, the first of its zone, may ask: one of the first
    /// instances of the zones before its own. `None` at the start, since callers are waiting, and
    /// while the store does not answer this instance: then an update from any instance is accepted.
    pub(super) fn leading_reader(&self, now: Instant) -> Option<InstanceId> {
        if self.is_refused() || self.update_read_at.is_none() {
            return None;
        }
        let own_rank = zone_rank(&self.zone);
        let mut before: Vec<_> = self.other_zones.iter().collect();
        before.retain(|(zone, _)| zone_rank(zone) < own_rank);
        before.sort_by_key(|(zone, _)| zone_rank(zone));
        let candidates = before.into_iter();
        let mut candidates = candidates.flat_map(|(_, ranked)| ranked.iter().take(ZONE_CANDIDATES));
        candidates
            .find(|member| self.is_available(member, now))
            .cloned()
    }

    /// Chooses how to read for others: from the store while it answers, otherwise from an instance
    /// that the store answers.
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
        let zone_readers = self.other_zones.values().filter_map(|ranked| {
            let mut available = ranked
                .iter()
                .filter(|member| self.is_available(member, now));
            available.next()
        });
        let mut helpers = standbys.chain(zone_readers);
        let helper = helpers.find(|helper| self.is_available(helper, now));
        let Some(helper) = helper.cloned() else {
            return ReadStep::Wait(due);
        };
        let mut step = self.ask_peer(helper, now);
        if let ReadStep::AskPeer { turn, .. } = &mut step {
            // A request that the helper holds back delays no probe of the store.
            *turn = Some(due);
        }
        step
    }
}

/// Rank of a zone in the order in which the zones' first instances read for all.
fn zone_rank(zone: &ZoneId) -> (u64, &ZoneId) {
    (seeded_rng::mix(ZONE_SEED, zone.as_bytes()), zone)
}
