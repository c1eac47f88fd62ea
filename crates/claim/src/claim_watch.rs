//! Which claims have ended, judged by this process's monotonic clock.

use {
    crate::claim_record::ClaimRecord,
    plat::StoredRow,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

/// Parts in a million by which two monotonic clocks may run apart.
const DRIFT_PPM: u32 = 10_000;
const MILLION: u32 = 1_000_000;

/// The two clocks of a process, read at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock.
    pub now: Instant,
    /// The wall clock.
    pub wall: SystemTime,
}

#[derive(Debug)]
struct SeenRow {
    since: Instant,
    ticket: Arc<str>,
    version: u64,
}

/// Rows of claims that look ended by the wall clock, and since when each is seen unchanged.
///
/// Wall clocks may be wrong, so that a claim counts as ended only after it was seen unchanged for its whole life
/// from here: its maker saw it earlier, and dispatches nothing after that life by its own monotonic clock.
#[derive(Debug)]
pub struct ClaimWatch {
    limit: usize,
    rows: BTreeMap<Arc<str>, SeenRow>,
}

impl ClaimWatch {
    /// Whether a claim has been seen unchanged for its whole life.
    pub fn has_ended(
        &mut self,
        clock: ClockReading,
        row: &StoredRow,
        record: &ClaimRecord,
    ) -> bool {
        if clock.wall < record.ends {
            self.rows.remove(&row.key);
            return false;
        }
        let since = self.since(clock.now, row, record);
        clock.now.saturating_duration_since(since) >= add_drift_margin(record.life)
    }

    /// Watches nothing, and at most `limit` rows.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            rows: BTreeMap::new(),
        }
    }

    /// Forgets rows that are no longer there.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.rows.retain(|key, _| exists(key));
    }

    fn since(&mut self, now: Instant, row: &StoredRow, record: &ClaimRecord) -> Instant {
        let ticket = record.ticket.id();
        if let Some(seen) = self.rows.get(&row.key)
            && seen.version == row.version
            && seen.ticket == ticket
        {
            return seen.since;
        }
        self.evict_newest(&row.key);
        let seen = SeenRow {
            since: now,
            ticket,
            version: row.version,
        };
        self.rows.insert(row.key.clone(), seen);
        now
    }

    /// Drops the row seen last, so that the older ones come to their end.
    fn evict_newest(&mut self, key: &str) {
        if self.rows.len() < self.limit || self.rows.contains_key(key) {
            return;
        }
        let youngest = self.rows.iter().max_by_key(|(_, seen)| seen.since);
        let Some(key) = youngest.map(|(key, _)| key.clone()) else {
            return;
        };
        self.rows.remove(&key);
    }
}

/// The time by this clock in which `duration` has passed by any clock within the drift.
fn add_drift_margin(duration: Duration) -> Duration {
    duration + duration * DRIFT_PPM / MILLION
}
