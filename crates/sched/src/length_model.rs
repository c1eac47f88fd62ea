//! Learns output lengths by row of the table.

use {
    crate::{LengthBelief, StreamNeed, hint_errors::HintErrors},
    admit::LengthSketch,
    kernel::WorkId,
    std::collections::BTreeMap,
};

/// At most this many rows are remembered.
const MAX_ROWS: usize = 256;
/// With fewer hints, a row takes the tokens per event from all rows: engines of one model send equal events.
const MIN_HINTS: usize = 8;
/// How many lengths a hint counts as, before other answers of the row are considered.
const HINT_WEIGHT: f64 = 4.0;
/// Over how many buckets of the sketch that weight is spread.
const HINT_BUCKETS: f64 = 24.0;

/// The lengths of one row.
#[derive(Clone, Debug, Default)]
struct RowLengths {
    /// The lengths of complete answers, events.
    lengths: LengthSketch,
    hints: HintErrors,
    /// When an answer was recorded last, by the count of all records.
    used: u64,
}

/// What complete answers tell about the length of others of the same row. At most 256 rows are kept; the one whose last
/// answer is the longest ago is dropped.
#[derive(Clone, Debug, Default)]
pub struct LengthModel {
    all_hints: HintErrors,
    records: u64,
    rows: BTreeMap<WorkId, RowLengths>,
}

impl LengthModel {
    /// A model that knows no answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is believed of the output of a request. Without a hint and without an answer of known size, the maximum.
    pub fn predict(&self, work: &WorkId, need: &StreamNeed) -> LengthBelief {
        let bound = need.max_output.max(1) as f64;
        let row = self.rows.get(work);
        match (usable_hint(need), row) {
            (None, None) => LengthBelief::at_most(bound),
            (None, Some(row)) => self.by_row(work, row, bound),
            (Some(hint), None) => LengthBelief::around(hint, HintErrors::default().spread(), bound),
            (Some(hint), Some(row)) => self.by_hint(work, row, hint, bound),
        }
    }

    /// Records a complete answer of `events` events.
    pub fn record(&mut self, work: &WorkId, need: &StreamNeed, events: u64) {
        if events == 0 {
            return;
        }
        self.records += 1;
        if !self.rows.contains_key(work) && self.rows.len() >= MAX_ROWS {
            self.drop_oldest();
        }
        let row = self.rows.entry(work.clone()).or_default();
        row.used = self.records;
        row.lengths
            .record(u32::try_from(events).unwrap_or(u32::MAX));
        let Some(hint) = usable_hint(need) else {
            return;
        };
        row.hints.record(hint, events as f64);
        self.all_hints.record(hint, events as f64);
    }

    /// How many rows are remembered.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Output tokens per event of a row: the median ratio of hints to events. A row with few hints takes it from all rows; 1
    /// without any hint.
    pub fn tokens_per_event(&self, work: &WorkId) -> f64 {
        let row = self.rows.get(work).map(|row| &row.hints);
        let own = row.filter(|hints| hints.count() >= MIN_HINTS);
        own.unwrap_or(&self.all_hints).tokens_per_event()
    }

    /// The lengths of the row, weighted by how likely each is to bring this hint.
    fn by_hint(&self, work: &WorkId, row: &RowLengths, hint: f64, bound: f64) -> LengthBelief {
        let unit = self.tokens_per_event(work);
        let spread = row.hints.spread();
        let mut weights = Vec::new();
        for (events, weight) in row.lengths.buckets() {
            let length = events * unit;
            let deviations = (hint / length).ln() / spread;
            let likelihood = (-deviations * deviations / 2.0).exp();
            let prior = weight + HINT_WEIGHT / HINT_BUCKETS;
            weights.push((length, prior * likelihood));
        }
        LengthBelief::of_weights(&weights, bound)
    }

    /// The lengths of the row, and a few of the maximum.
    fn by_row(&self, work: &WorkId, row: &RowLengths, bound: f64) -> LengthBelief {
        if self.all_hints.count() == 0 {
            // The tokens of an event are unknown, so the lengths say nothing about memory.
            return LengthBelief::at_most(bound);
        }
        let unit = self.tokens_per_event(work);
        let mut weights = Vec::new();
        for (events, weight) in row.lengths.buckets() {
            weights.push(((events * unit).min(bound), weight));
        }
        weights.push((bound, HINT_WEIGHT));
        LengthBelief::of_weights(&weights, bound)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.used);
        let Some(work) = oldest.map(|(work, _)| work.clone()) else {
            return;
        };
        self.rows.remove(&work);
    }
}

/// The hint of a request, tokens, at most the maximum output; `None` without one or when it is 0.
fn usable_hint(need: &StreamNeed) -> Option<f64> {
    let hint = need.hint.filter(|hint| *hint > 0)?;
    Some(hint.min(need.max_output.max(1)) as f64)
}
