//! Processor sharing: jobs that split one rate equally, such as transfers on a link or concurrent prefills.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A job with at most this many seconds of work left at the full rate is complete; absorbs rounding errors.
const COMPLETION_TOLERANCE_SECONDS: f64 = 2e-9;

/// Jobs by key, each with its remaining units.
#[derive(Clone, Debug)]
pub struct FairShareTable<K> {
    jobs: BTreeMap<K, f64>,
    rate: f64,
    updated: Option<Instant>,
}

impl<K: Clone + Ord> FairShareTable<K> {
    /// Advances the jobs to `now` and removes the completed ones, returned in order of completion.
    pub fn advance(&mut self, now: Instant) -> Vec<K> {
        let mut completed = Vec::new();
        let mut seconds = self.elapsed_seconds(now);
        loop {
            self.take_completed(&mut completed);
            let Some(next_completion) = self.seconds_to_next_completion() else {
                break;
            };
            let step = next_completion.min(seconds);
            self.consume(step);
            seconds -= step;
            if seconds <= 0.0 {
                self.take_completed(&mut completed);
                break;
            }
        }
        completed
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of jobs in progress.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Remaining units of a job as of the last [`Self::advance`]; `None` for an unknown key.
    pub fn remaining(&self, key: &K) -> Option<f64> {
        self.jobs.get(key).copied()
    }

    /// Creates a table whose jobs share `rate` units per second; with a rate of zero or less, jobs complete at once.
    pub fn new(rate: f64) -> Self {
        Self {
            jobs: BTreeMap::new(),
            rate: if rate > 0.0 { rate } else { f64::INFINITY },
            updated: None,
        }
    }

    /// Completion time of the next job if none is started or stopped; `None` without jobs.
    pub fn next_completion(&self) -> Option<Instant> {
        let seconds = self.seconds_to_next_completion()?;
        let wait =
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(u32::MAX.into()));
        Some(self.updated? + wait + Duration::from_nanos(1))
    }

    /// Starts a job of `units`. The table must have been advanced to `now`.
    pub fn start(&mut self, now: Instant, key: K, units: f64) {
        self.updated = Some(now);
        self.jobs.insert(key, units.max(0.0));
    }

    /// Removes a job and returns its remaining units. The table must have been advanced to the present.
    pub fn stop(&mut self, key: &K) -> Option<f64> {
        self.jobs.remove(key)
    }

    fn elapsed_seconds(&mut self, now: Instant) -> f64 {
        let updated = self.updated.replace(now).unwrap_or(now);
        now.saturating_duration_since(updated).as_secs_f64()
    }

    fn seconds_to_next_completion(&self) -> Option<f64> {
        let smallest = self.jobs.values().copied().reduce(f64::min)?;
        Some(smallest * self.jobs.len() as f64 / self.rate)
    }

    fn take_completed(&mut self, completed: &mut Vec<K>) {
        let tolerance = if self.rate.is_finite() {
            self.rate * COMPLETION_TOLERANCE_SECONDS
        } else {
            f64::INFINITY
        };
        for (key, _) in self
            .jobs
            .extract_if(.., |_, remaining| *remaining <= tolerance)
        {
            completed.push(key);
        }
    }

    fn consume(&mut self, seconds: f64) {
        let done = seconds * self.rate / self.jobs.len() as f64;
        for remaining in self.jobs.values_mut() {
            *remaining -= done;
        }
    }
}
