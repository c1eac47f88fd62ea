//! Detects expired claims by this process's monotonic clock.

use {
    crate::claim_record::ClaimRecord,
    plat::StoredRow,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

/// The assumed drift between two monotonic clocks, in parts per million.
const DRIFT_PPM: u32 = 10_000;
const MILLION: u32 = 1_000_000;

/// Both clocks of a process, read at the same moment.
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

/// Claim rows that have expired by the wall clock, and since when each has been seen unchanged.
///
/// Wall clocks may be wrong, so a claim counts as expired only after this process has seen it unchanged for its
/// whole lifetime. Its maker started counting earlier, and dispatches nothing after that lifetime by its own
/// monotonic clock.
#[derive(Debug)]
pub struct ClaimWatch {
    limit: usize,
    rows: BTreeMap<Arc<str>, SeenRow>,
}

impl ClaimWatch {
    /// Whether a claim has been seen unchanged for its whole lifetime.
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

    /// An empty watch for at most `limit` rows.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            rows: BTreeMap::new(),
        }
    }

    /// Drops rows for which `exists` is false.
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

    /// Evicts the newest row when the limit is reached, so that older rows still reach their expiry.
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

/// How long to wait by this clock so that `duration` has passed by any clock within the drift.
fn add_drift_margin(duration: Duration) -> Duration {
    duration + duration * DRIFT_PPM / MILLION
}
