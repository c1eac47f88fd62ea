//! The measures of one run, or the means over some.

use {
    crate::world::{RowTally, RunTally},
    serde::Serialize,
    std::time::Duration,
};

/// The share of requests whose time is at or under a reported one.
const REPORTED_SHARE: f64 = 0.95;

/// Wasted prompt tokens as shares of all prompt tokens read, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct WasteFigures {
    /// The caller or its entry instance went away.
    pub caller_gone: f64,
    /// Evicted although a decode place was free.
    pub evicted: f64,
    /// Evicted after a decode engine refused, or while all were full.
    pub no_place: f64,
    /// Refused after reading, or never ended.
    pub other: f64,
    /// The engine that had it died.
    pub upstream_died: f64,
}

/// The measures of the requests of all rows, or of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ReportFigures {
    /// The time that 95 of 100 answers' mean between-token times don't exceed, milliseconds.
    pub between_tokens_p95_ms: f64,
    /// Outcome unknown: an upstream or the entry instance died under it.
    pub broken: f64,
    /// Callers gone.
    pub cancelled: f64,
    /// The time that 95 of 100 first tokens don't exceed, milliseconds.
    pub first_token_p95_ms: f64,
    /// Requests that met both targets of their row, a second.
    pub goodput_per_second: f64,
    /// The same as a share of those offered.
    pub goodput_share: f64,
    /// Neither answered, refused, cancelled nor told that the outcome is unknown.
    pub lost: f64,
    /// Requests that arrived.
    pub offered: f64,
    /// Refused.
    pub refused: f64,
}

impl ReportFigures {
    /// The measures of some requests that arrived within `duration`.
    pub fn of(tally: &RowTally, duration: Duration) -> Self {
        Self {
            between_tokens_p95_ms: reported(&tally.between_tokens),
            broken: tally.broken as f64,
            cancelled: tally.cancelled as f64,
            first_token_p95_ms: reported(&tally.first_tokens),
            goodput_per_second: tally.good as f64 / duration.as_secs_f64(),
            goodput_share: share(tally.good, tally.offered),
            lost: tally.lost as f64,
            offered: tally.offered as f64,
            refused: tally.refused as f64,
        }
    }

    /// The means over runs.
    pub fn mean(runs: &[Self]) -> Self {
        let mean = |field: fn(&Self) -> f64| {
            let sum: f64 = runs.iter().map(field).sum();
            sum / runs.len().max(1) as f64
        };
        Self {
            between_tokens_p95_ms: mean(|run| run.between_tokens_p95_ms),
            broken: mean(|run| run.broken),
            cancelled: mean(|run| run.cancelled),
            first_token_p95_ms: mean(|run| run.first_token_p95_ms),
            goodput_per_second: mean(|run| run.goodput_per_second),
            goodput_share: mean(|run| run.goodput_share),
            lost: mean(|run| run.lost),
            offered: mean(|run| run.offered),
            refused: mean(|run| run.refused),
        }
    }
}

impl WasteFigures {
    /// The shares of a run.
    pub fn of(tally: &RunTally) -> Self {
        let ledger = &tally.ledger;
        Self {
            caller_gone: share(ledger.caller_gone, ledger.read),
            evicted: share(ledger.evicted, ledger.read),
            no_place: share(ledger.no_place, ledger.read),
            other: share(ledger.other, ledger.read),
            upstream_died: share(ledger.upstream_died, ledger.read),
        }
    }

    /// The means over runs.
    pub fn mean(runs: &[Self]) -> Self {
        let mean = |field: fn(&Self) -> f64| {
            let sum: f64 = runs.iter().map(field).sum();
            sum / runs.len().max(1) as f64
        };
        Self {
            caller_gone: mean(|run| run.caller_gone),
            evicted: mean(|run| run.evicted),
            no_place: mean(|run| run.no_place),
            other: mean(|run| run.other),
            upstream_died: mean(|run| run.upstream_died),
        }
    }

    /// All causes together: the wasted share.
    pub fn total(&self) -> f64 {
        self.caller_gone + self.evicted + self.no_place + self.other + self.upstream_died
    }
}

fn reported(times: &[Duration]) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort();
    let place = (sorted.len() as f64 * REPORTED_SHARE).ceil() as usize;
    let Some(time) = sorted.get(place.saturating_sub(1)) else {
        return 0.0;
    };
    time.as_secs_f64() * 1e3
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
