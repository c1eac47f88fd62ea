//! What became of the day's requests, by row.

use {
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt,
        time::{Duration, Instant},
    },
};

const MICROS_IN_MILLI: f64 = 1_000.0;

/// When the tokens of one answer came.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// From one token to the next.
    pub between: Vec<Duration>,
    /// From the request to the first token, or to the whole answer of a plain service.
    pub first: Duration,
}

impl CallTimes {
    /// Notes a token that came now.
    pub fn note(&mut self, started: Instant, last: &mut Option<Instant>) {
        let now = Instant::now();
        match last.replace(now) {
            Some(before) => self.between.push(now - before),
            None => self.first = now - started,
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The whole answer came, and is the request's own.
    Answered(CallTimes),
    /// Anything else.
    Failed(String),
    /// Refused as not run.
    Refused,
}

/// The requests of one row.
#[derive(Debug, Default)]
struct RowStats {
    answered: u64,
    between: Option<Histogram<u64>>,
    failed: u64,
    first: Option<Histogram<u64>>,
    refused: u64,
    wasted_tokens: u64,
}

/// The whole day.
#[derive(Debug, Default)]
pub struct DayReport {
    /// Why requests failed, with counts.
    pub failures: BTreeMap<String, u64>,
    rows: BTreeMap<String, RowStats>,
}

impl DayReport {
    /// Answered, refused and failed requests of all rows.
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

    /// Takes one request in.
    pub fn note(&mut self, work: &str, outcome: CallOutcome) {
        let row = self.rows.entry(work.to_owned()).or_default();
        match outcome {
            CallOutcome::Answered(times) => row.note_times(&times),
            CallOutcome::Failed(reason) => {
                row.failed += 1;
                *self.failures.entry(reason).or_default() += 1;
            }
            CallOutcome::Refused => row.refused += 1,
        }
    }

    /// Adds prompt tokens that were read for a row and led to no answer.
    pub fn note_wasted(&mut self, work: &str, tokens: u64) {
        self.rows.entry(work.to_owned()).or_default().wasted_tokens += tokens;
    }
}

impl RowStats {
    fn note_times(&mut self, times: &CallTimes) {
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
    // The histogram grows as needed, so that every value fits.
    let _ = histogram.record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
}
