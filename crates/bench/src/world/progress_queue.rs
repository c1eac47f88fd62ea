//! Jobs that all progress at one common rate, as streams of one batch or transfers of one link do.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Names a job of the queue.
pub(crate) type JobId = u64;

/// Progress left that counts as none, since times are whole nanoseconds.
const TOLERANCE: f64 = 1e-6;

/// A point of the common progress, ordered as the number that it stands for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ProgressMark(u64);

impl ProgressMark {
    fn new(progress: f64) -> Self {
        Self(progress.to_bits())
    }

    fn progress(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// The common progress, and the marks at which jobs are due.
#[derive(Debug)]
pub(crate) struct ProgressQueue {
    marks: BTreeSet<(ProgressMark, JobId)>,
    progress: f64,
    rate: f64,
    updated: Instant,
}

impl ProgressQueue {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            marks: BTreeSet::new(),
            progress: 0.0,
            rate: 0.0,
            updated: now,
        }
    }

    /// Brings the progress up to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.progress += elapsed.as_secs_f64() * self.rate;
        self.updated = now;
    }

    /// Adds a job that is due after `distance` more progress.
    pub(crate) fn insert(&mut self, job: JobId, distance: f64) -> ProgressMark {
        let mark = ProgressMark::new(self.progress + distance);
        self.marks.insert((mark, job));
        mark
    }

    /// Progress that is left up to a mark.
    pub(crate) fn left(&self, mark: ProgressMark) -> f64 {
        (mark.progress() - self.progress).max(0.0)
    }

    /// When the next job is due at the present rate.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        let (mark, _) = self.marks.first()?;
        if self.rate <= 0.0 {
            return None;
        }
        let seconds = self.left(*mark) / self.rate;
        Some(self.updated + Duration::from_secs_f64(seconds) + Duration::from_nanos(1))
    }

    /// Takes the next job that is due.
    pub(crate) fn pop_due(&mut self) -> Option<JobId> {
        let (mark, job) = *self.marks.first()?;
        if mark.progress() > self.progress + TOLERANCE {
            return None;
        }
        self.marks.remove(&(mark, job));
        Some(job)
    }

    /// Removes a job before it is due.
    pub(crate) fn remove(&mut self, job: JobId, mark: ProgressMark) {
        self.marks.remove(&(mark, job));
    }

    /// Sets the common rate, in progress a second.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// When the progress was brought up to date.
    pub(crate) fn updated(&self) -> Instant {
        self.updated
    }
}
