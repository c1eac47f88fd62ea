//! How the hints of callers relate to the answers that they got.

use std::collections::VecDeque;

/// How many of the last answers count.
const WINDOW: usize = 256;
/// The spread assumed before any answer, as the standard deviation of the logarithm.
const FIRST_SPREAD: f64 = 0.7;
/// How many answers the assumed spread counts as.
const FIRST_WEIGHT: f64 = 4.0;
/// The least spread: the length of an answer is known by whole events only.
const MIN_SPREAD: f64 = 0.05;

/// The ratios of hints to events of the last answers.
#[derive(Clone, Debug)]
pub(crate) struct HintErrors {
    /// The logarithms of the ratios, the oldest first.
    ratios: VecDeque<f64>,
    /// The median of the logarithms; 0 without answers.
    median: f64,
    /// The standard deviation of the logarithm of a hint over the answer.
    spread: f64,
}

impl Default for HintErrors {
    fn default() -> Self {
        Self {
            ratios: VecDeque::new(),
            median: 0.0,
            spread: FIRST_SPREAD,
        }
    }
}

impl HintErrors {
    /// How many answers count.
    pub(crate) fn count(&self) -> usize {
        self.ratios.len()
    }

    /// Records a hint in tokens and the events of the answer, both above 0.
    pub(crate) fn record(&mut self, hint: f64, events: f64) {
        if self.ratios.len() == WINDOW {
            self.ratios.pop_front();
        }
        self.ratios.push_back((hint / events).ln());
        self.median = self.find_median();
        let mut sum = FIRST_WEIGHT * FIRST_SPREAD * FIRST_SPREAD;
        for ratio in &self.ratios {
            sum += (ratio - self.median).powi(2);
        }
        let variance = sum / (FIRST_WEIGHT + self.ratios.len() as f64);
        self.spread = variance.sqrt().max(MIN_SPREAD);
    }

    /// The standard deviation of the logarithm of a hint over the answer.
    pub(crate) fn spread(&self) -> f64 {
        self.spread
    }

    /// Tokens per event; at least 1.
    pub(crate) fn tokens_per_event(&self) -> f64 {
        self.median.exp().max(1.0)
    }

    fn find_median(&self) -> f64 {
        let mut sorted = self.ratios.iter().copied().collect::<Vec<_>>();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        match sorted.len() % 2 {
            0 => f64::midpoint(sorted[middle - 1], sorted[middle]),
            _ => sorted[middle],
        }
    }
}
