//! The outcomes of the day's requests, by row of the table.

use {
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt,
        time::{Duration, Instant},
    },
};

const MICROS_IN_MILLI: f64 = 1_000.0;

/// The latencies of one answer.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// The time from each token to the next.
    pub between: Vec<Duration>,
    /// The time from the request to the first token, or to the complete answer of a plain service.
    pub first: Duration,
}

impl CallTimes {
    /// Records a token that arrived now.
    pub fn record_token(&mut self, started: Instant, last: &mut Option<Instant>) {
        let now = Instant::now();
        match last.replace(now) {
            Some(before) => self.between.push(now - before),
            None => self.first = now - started,
        }
    }
}

/// The outcome of one request.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The complete answer came, and is the expected one.
    Answered(CallTimes),
    /// The request failed for the given reason.
    Failed(String),
    /// The request was refused and did not run.
    Refused,
}

/// The statistics of one row of the table.
#[derive(Debug, Default)]
struct RowStats {
    answered: u64,
    between: Option<Histogram<u64>>,
    failed: u64,
    first: Option<Histogram<u64>>,
    refused: u64,
    wasted_tokens: u64,
}

/// The outcomes of all requests of the day.
#[derive(Debug, Default)]
pub struct DayReport {
    /// The reasons of failed requests, with their counts.
    pub failures: BTreeMap<String, u64>,
    rows: BTreeMap<String, RowStats>,
}

impl DayReport {
    /// The number of answered, refused and failed requests over all rows.
    pub fn totals(&self) -> (u64, u64, u64) {
        let rows = self.rows.values();
        rows.fold((0, 0, 0), |sum, row| {
            (
                sum.0 + row.answered,
                sum.1 + row.refused,
                sum.2 + row.failed,
            )
        })
    }

    /// Records the outcome of one request.
    pub fn record(&mut self, work: &str, outcome: CallOutcome) {
        let row = self.rows.entry(work.to_owned()).or_default();
        match outcome {
            CallOutcome::Answered(times) => row.record_times(&times),
            CallOutcome::Failed(reason) => {
                row.failed += 1;
                *self.failures.entry(reason).or_default() += 1;
            }
            CallOutcome::Refused => row.refused += 1,
        }
    }

    /// Adds prompt tokens that were prefilled for a row and wasted.
    pub fn record_wasted(&mut self, work: &str, tokens: u64) {
        self.rows.entry(work.to_owned()).or_default().wasted_tokens += tokens;
    }
}

impl RowStats {
    fn record_times(&mut self, times: &CallTimes) {
        self.answered += 1;
        record(&mut self.first, times.first);
        for between in &times.between {
            record(&mut self.between, *between);
        }
    }
}

impl fmt::Display for DayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<14} {:>8} {:>8} {:>7} {:>10} {:>10} {:>11} {:>13}",
            "work",
            "answered",
            "refused",
            "failed",
            "first p50",
            "first p95",
            "between p95",
            "wasted tokens"
        )?;
        for (work, row) in &self.rows {
            writeln!(
                formatter,
                "{work:<14} {:>8} {:>8} {:>7} {:>10} {:>10} {:>11} {:>13}",
                row.answered,
                row.refused,
                row.failed,
                millis(&row.first, 0.5),
                millis(&row.first, 0.95),
                millis(&row.between, 0.95),
                row.wasted_tokens,
            )?;
        }
        Ok(())
    }
}

fn millis(histogram: &Option<Histogram<u64>>, quantile: f64) -> String {
    match histogram {
        Some(histogram) => {
            let micros = histogram.value_at_quantile(quantile) as f64;
            format!("{:.1} ms", micros / MICROS_IN_MILLI)
        }
        None => "-".to_owned(),
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, duration: Duration) {
    if histogram.is_none() {
        *histogram = Histogram::new(3).ok();
    }
    let Some(histogram) = histogram else {
        return;
    };
    // The histogram resizes itself, so that no value is out of range.
    let _ = histogram.record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
}
