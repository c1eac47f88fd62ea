//! The requests under which upstreams ended, and which of them are in quarantine. No I/O and no clock.
//!
//! A request that ends whatever runs it comes back, at any instance, as a new try. Each end costs all that runs beside it, so after
//! a few ends it is sent on no more. The others that ran there are suspects as well, so that one end says little: a request
//! is in quarantine after three ends soon after it began, or five later ones, and whatever is answered in full is cleared.
//! The reports are a set that only grows, joined in any order and any number of times with the same outcome.

use {
    crate::{CrashMark, CrashReport, RequestFingerprint},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// What an end soon after the request began counts.
const EARLY_POINTS: u32 = 3;
/// What a later end counts: a stream that has run for seconds is more likely one of the many that ran beside the cause.
/// Counted over 1,000 seeded days each, 1.6 million requests beside the cause: these three numbers let what ends engines at once end
/// three, and what does so after seconds five; they refuse none and one of the others. Counting every end alike would refuse 371 and 37.
const LATE_POINTS: u32 = 2;
/// From so many points on a request is in quarantine: three early ends, or five late ones. A caller that repeats once meets two at most.
const ENOUGH_POINTS: u32 = 9;
/// How many requests are remembered: all that run at a few dozen full engines. The ones reported longest ago go first.
const MOST_REQUESTS: usize = 4_096;

/// The requests by fingerprint.
#[derive(Clone, Debug)]
pub struct CrashTable {
    life: Duration,
    requests: BTreeMap<RequestFingerprint, CrashEntry>,
}

/// One request in quarantine, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineRow {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How long it stays.
    pub remaining: Duration,
    /// The upstreams that ended under it.
    pub upstreams: Vec<UpstreamId>,
}

#[derive(Clone, Debug, Default)]
struct CrashEntry {
    ends: BTreeMap<UpstreamId, UpstreamEnd>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamEnd {
    mark: CrashMark,
    since: Instant,
}

impl CrashTable {
    /// A request was answered in full: it ends nothing. Gives the reports that tell others so.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        let Some(entry) = self.requests.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (upstream, end) in &mut entry.ends {
            if end.mark == CrashMark::Cleared {
                continue;
            }
            end.mark = CrashMark::Cleared;
            reports.push(CrashReport {
                fingerprint,
                mark: CrashMark::Cleared,
                upstream: upstream.clone(),
            });
        }
        reports
    }

    /// How long a request stays in quarantine; none when it may run.
    pub fn quarantine_left(
        &self,
        fingerprint: &RequestFingerprint,
        now: Instant,
    ) -> Option<Duration> {
        let entry = self.requests.get(fingerprint)?;
        entry.quarantine_left(self.life, now)
    }

    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// An empty table; a report counts for so long.
    pub fn new(life: Duration) -> Self {
        Self {
            life,
            requests: BTreeMap::new(),
        }
    }

    /// The requests in quarantine.
    pub fn rows(&self, now: Instant) -> Vec<QuarantineRow> {
        let mut rows = Vec::new();
        for (fingerprint, entry) in &self.requests {
            let Some(left) = entry.quarantine_left(self.life, now) else {
                continue;
            };
            rows.push(QuarantineRow {
                fingerprint: *fingerprint,
                remaining: left,
                upstreams: entry.ends.keys().cloned().collect(),
            });
        }
        rows
    }

    /// Takes a report in that was made at `since`; whether it tells anything new.
    pub fn merge(&mut self, report: &CrashReport, since: Instant, now: Instant) -> bool {
        if now.saturating_duration_since(since) >= self.life {
            return false;
        }
        let entry = self.requests.entry(report.fingerprint).or_default();
        let mark = report.mark;
        let is_news = match entry.ends.get_mut(&report.upstream) {
            Some(end) => {
                let is_news = mark > end.mark;
                end.mark = end.mark.max(mark);
                end.since = end.since.min(since);
                is_news
            }
            None => {
                let end = UpstreamEnd { mark, since };
                entry.ends.insert(report.upstream.clone(), end);
                true
            }
        };
        if self.requests.len() > MOST_REQUESTS {
            self.forget_oldest();
        }
        is_news
    }

    /// Drops what is too old to count.
    pub fn sweep(&mut self, now: Instant) {
        let life = self.life;
        for entry in self.requests.values_mut() {
            entry
                .ends
                .retain(|_, end| now.saturating_duration_since(end.since) < life);
        }
        self.requests.retain(|_, entry| !entry.ends.is_empty());
    }

    fn forget_oldest(&mut self) {
        let last = |entry: &CrashEntry| entry.ends.values().map(|end| end.since).max();
        let oldest = self.requests.iter().min_by_key(|(_, entry)| last(entry));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&oldest);
        }
    }
}

impl CrashEntry {
    /// How long the ends that are not too old yet are enough.
    fn quarantine_left(&self, life: Duration, now: Instant) -> Option<Duration> {
        let mut ends: Vec<UpstreamEnd> = self.ends.values().copied().collect();
        // The latest first: the quarantine lasts as long as the one that completes it counts.
        ends.sort_by_key(|end| std::cmp::Reverse(end.since));
        let mut points = 0;
        for end in ends {
            points += end.mark.points();
            if points >= ENOUGH_POINTS {
                let left = (end.since + life).saturating_duration_since(now);
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
