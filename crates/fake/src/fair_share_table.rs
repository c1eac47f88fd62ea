//! Jobs that share one rate equally: a link, a prefill engine's reader, a weight store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What is left of a job that counts as done: so many seconds of work at the whole rate.
const COMPLETION_TOLERANCE_SECONDS: f64 = 2e-9;

/// Jobs by key, each with the units that are left of it.
#[derive(Clone, Debug)]
pub struct FairShareTable<K> {
    jobs: BTreeMap<K, f64>,
    rate: f64,
    updated: Option<Instant>,
}

impl<K: Clone + Ord> FairShareTable<K> {
    /// Brings the jobs up to `now` and takes out those that completed, in the order of their ends.
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

    /// Whether no job is there.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The units that are left of a job, as of the last [`Self::advance`].
    pub fn remaining(&self, key: &K) -> Option<f64> {
        self.jobs.get(key).copied()
    }

    /// A table whose jobs share `rate` units a second; a rate of zero or less ends each job at once.
    pub fn new(rate: f64) -> Self {
        Self {
            jobs: BTreeMap::new(),
            rate: if rate > 0.0 { rate } else { f64::INFINITY },
            updated: None,
        }
    }

    /// When the first job ends if none comes or goes.
    pub fn next_completion(&self) -> Option<Instant> {
        let seconds = self.seconds_to_next_completion()?;
        let wait =
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_secs(u32::MAX.into()));
        Some(self.updated? + wait + Duration::from_nanos(1))
    }

    /// Starts a job of so many units. The table has to be up to `now`.
    pub fn start(&mut self, now: Instant, key: K, units: f64) {
        self.updated = Some(now);
        self.jobs.insert(key, units.max(0.0));
    }

    /// Takes a job out and gives the units that were left of it. The table has to be up to date.
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
