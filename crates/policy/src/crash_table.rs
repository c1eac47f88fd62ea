//! Quarantine of requests that crash upstreams. Free of I/O; times are passed in.
//!
//! Each crash breaks all requests that run at the upstream, so a request that causes crashes is no longer forwarded. The
//! cause may be one request that its caller retries, or a part of the prompt that requests share of which no two are
//! alike. Everything that ran at a crashed upstream is a suspect, so a single crash proves little. A suspect is
//! convicted by several crashes, and cleared by an answer in full. Parts that stand beside the cause may be convicted
//! with it: a request is refused for a part only if the convicted suspects that it lacks do not explain the crashes of
//! that part.
//!
//! Reports form a grow-only set: merging is commutative, associative and idempotent.

use {
    crate::{
        CrashMark, CrashReport, SuspectId, SuspectPart, SuspectSet,
        answered_parts::AnsweredParts,
        crash_entry::{CrashEntry, UpstreamCrash},
    },
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// The maximum number of suspects kept: all requests that run at a few dozen full engines, and their parts. Convicted
/// ones are evicted last, and of the others those reported longest ago first.
const MAX_SUSPECTS: usize = 4_096;

/// The suspects.
#[derive(Clone, Debug)]
pub struct CrashTable {
    /// The convicted suspects, and those that may explain the crashes of others without being convicted.
    accused: BTreeSet<SuspectId>,
    answered: AnsweredParts,
    convicted: BTreeSet<SuspectId>,
    suspects: BTreeMap<SuspectId, CrashEntry>,
    ttl: Duration,
}

/// One convicted suspect, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineRow {
    /// The time until the quarantine ends.
    pub remaining: Duration,
    /// The request, or the part of prompts.
    pub suspect: SuspectId,
    /// The upstreams that crashed while running it.
    pub upstreams: Vec<UpstreamId>,
}

impl CrashTable {
    /// Clears a request that was answered in full, and its parts. Returns the reports to send to other instances.
    pub fn clear(&mut self, suspects: &SuspectSet) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for suspect in suspects.iter() {
            reports.append(&mut self.clear_suspect(suspect));
        }
        reports
    }

    /// The time until a suspect is no longer convicted; `None` when it is not now.
    pub fn conviction_left(&self, suspect: &SuspectId, now: Instant) -> Option<Duration> {
        if !self.convicted.contains(suspect) {
            return None;
        }
        self.suspects.get(suspect)?.remaining(self.ttl, now)
    }

    /// Records that a request with these parts was answered in full.
    pub fn note_answered(&mut self, parts: &[SuspectPart], now: Instant) {
        self.answered.note(parts, now);
    }

    /// The time until the quarantine of a request ends; `None` when it may run.
    pub fn quarantine_left(&self, suspects: &SuspectSet, now: Instant) -> Option<Duration> {
        if self.convicted.is_empty() {
            return None;
        }
        let remaining = |suspect| self.refusal_left(&suspect, suspects, now);
        suspects.iter().filter_map(remaining).max()
    }

    /// Whether the table holds no reports at all.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a part of prompts was answered in full shortly before a crash at `since`, or after it, so that it is no
    /// suspect.
    pub fn is_answered(&self, part: &SuspectId, since: Instant) -> bool {
        self.answered.speaks_for(part, since)
    }

    /// Creates an empty table whose reports expire after `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            accused: BTreeSet::new(),
            answered: AnsweredParts::default(),
            convicted: BTreeSet::new(),
            suspects: BTreeMap::new(),
            ttl,
        }
    }

    /// The convicted suspects, sorted by id.
    pub fn rows(&self, now: Instant) -> Vec<QuarantineRow> {
        let mut rows = Vec::new();
        for suspect in &self.convicted {
            let Some(remaining) = self.conviction_left(suspect, now) else {
                continue;
            };
            let Some(entry) = self.suspects.get(suspect) else {
                continue;
            };
            rows.push(QuarantineRow {
                remaining,
                suspect: *suspect,
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
        let mark = match self.is_answered(&report.suspect, since) {
            true => CrashMark::Cleared,
            false => report.mark,
        };
        let entry = self.suspects.entry(report.suspect).or_default();
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
        self.reassess(report.suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_least();
        }
        is_new
    }

    /// Removes expired reports.
    pub fn sweep(&mut self, now: Instant) {
        let ttl = self.ttl;
        for entry in self.suspects.values_mut() {
            let is_recent =
                |crash: &UpstreamCrash| now.saturating_duration_since(crash.since) < ttl;
            entry.crashes.retain(|_, crash| is_recent(crash));
        }
        self.suspects.retain(|_, entry| !entry.crashes.is_empty());
        for suspect in self.accused.clone() {
            self.reassess(suspect);
        }
    }

    fn clear_suspect(&mut self, suspect: SuspectId) -> Vec<CrashReport> {
        let Some(entry) = self.suspects.get_mut(&suspect) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (upstream, crash) in &mut entry.crashes {
            if crash.mark == CrashMark::Cleared {
                continue;
            }
            crash.mark = CrashMark::Cleared;
            reports.push(CrashReport {
                mark: CrashMark::Cleared,
                suspect,
                upstream: upstream.clone(),
            });
        }
        self.accused.remove(&suspect);
        self.convicted.remove(&suspect);
        reports
    }

    /// The time until a request is no longer refused because of one of its suspects.
    fn refusal_left(
        &self,
        suspect: &SuspectId,
        request: &SuspectSet,
        now: Instant,
    ) -> Option<Duration> {
        let remaining = self.conviction_left(suspect, now)?;
        // No other request has this fingerprint, so nobody else is refused for it.
        if !suspect.is_prompt_part() {
            return Some(remaining);
        }
        let entry = self.suspects.get(suspect)?;
        let convicted = self.entries(&self.convicted, request);
        let accused = self.entries(&self.accused, request);
        (!entry.is_explained(&convicted, &accused)).then_some(remaining)
    }

    /// The entries of those suspects that a request is not, and does not have.
    fn entries(&self, suspects: &BTreeSet<SuspectId>, request: &SuspectSet) -> Vec<&CrashEntry> {
        let others = suspects.iter().filter(|other| !request.contains(other));
        others
            .filter_map(|other| self.suspects.get(other))
            .collect()
    }

    fn reassess(&mut self, suspect: SuspectId) {
        let entry = self.suspects.get(&suspect);
        let is_convicted = entry.is_some_and(|entry| entry.is_convicted(suspect.is_prompt_part()));
        let is_accused = is_convicted || entry.is_some_and(CrashEntry::is_accused);
        set_member(&mut self.accused, suspect, is_accused);
        set_member(&mut self.convicted, suspect, is_convicted);
    }

    fn evict_least(&mut self) {
        let value = |suspect: &SuspectId, entry: &CrashEntry| {
            (self.convicted.contains(suspect), entry.latest())
        };
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(suspect, entry)| value(suspect, entry));
        if let Some(least) = least.map(|(suspect, _)| *suspect) {
            self.suspects.remove(&least);
            self.accused.remove(&least);
            self.convicted.remove(&least);
        }
    }
}

/// Adds a suspect to a set or removes it.
fn set_member(set: &mut BTreeSet<SuspectId>, suspect: SuspectId, is_member: bool) {
    match is_member {
        true => set.insert(suspect),
        false => set.remove(&suspect),
    };
}
