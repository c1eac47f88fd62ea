//! What this process used, from the system's accounts of it.

use std::{fs, time::Duration};

const PAGE_BYTES: u64 = 4_096;
const TICK: Duration = Duration::from_millis(10);
/// The fields of `/proc/self/stat` after the command's name: user time is the 12th, system time the 13th.
const USER_FIELD: usize = 11;

/// Processor time and memory at one moment; zero where the system has no such accounts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// The processor time since the process started, of all threads; steps of 10 ms.
    pub processor: Duration,
    /// The resident memory, bytes.
    pub resident: u64,
}

impl ProcessUsage {
    /// The usage now.
    pub fn now() -> Self {
        Self {
            processor: processor_time().unwrap_or_default(),
            resident: resident_bytes().unwrap_or_default(),
        }
    }

    /// The processor time since an earlier moment.
    pub fn processor_since(&self, earlier: &Self) -> Duration {
        self.processor.saturating_sub(earlier.processor)
    }
}

fn processor_time() -> Option<Duration> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = text.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER_FIELD);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
