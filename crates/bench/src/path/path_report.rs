//! What the path bench found.

use {
    serde::Serialize,
    std::{fmt, time::Duration},
};

const SECONDS_TO_MILLIS: f64 = 1_000.0;

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct PathReport {
    /// Median of the time to the first token through the entry instance, less the median straight to the engines.
    pub added_p50_ms: f64,
    /// The same of the 99th percentiles.
    pub added_p99_ms: f64,
    /// The entry instance's processor time a request of one token.
    pub cpu_us_per_request: f64,
    /// The entry instance's processor time a further relayed token.
    pub cpu_us_per_token: f64,
    /// Requests that failed, in all parts of the run.
    pub failed: u64,
    /// The entry instance's resident memory before any load.
    pub idle_mb: f64,
    /// Open streams when the memory was read.
    pub open_streams: u64,
    /// The entry instance's resident memory with these streams open.
    pub resident_mb: f64,
}

impl fmt::Display for PathReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "added to the first token, p50    {:>9.3} ms",
            self.added_p50_ms
        )?;
        writeln!(
            formatter,
            "added to the first token, p99    {:>9.3} ms",
            self.added_p99_ms
        )?;
        writeln!(
            formatter,
            "processor time a request         {:>9.1} us",
            self.cpu_us_per_request
        )?;
        writeln!(
            formatter,
            "processor time a relayed token   {:>9.2} us",
            self.cpu_us_per_token
        )?;
        writeln!(
            formatter,
            "resident memory, idle            {:>9.1} MiB",
            self.idle_mb
        )?;
        writeln!(
            formatter,
            "resident memory, {:>4} open streams {:>9.1} MiB",
            self.open_streams, self.resident_mb
        )?;
        write!(
            formatter,
            "failed requests                  {:>9}",
            self.failed
        )
    }
}

/// A quantile of times, milliseconds; zero without any.
pub fn quantile_ms(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort_unstable();
    let last = times.len().saturating_sub(1) as f64;
    let index = (last * quantile).round() as usize;
    times.get(index).map_or(0.0, Duration::as_secs_f64) * SECONDS_TO_MILLIS
}
