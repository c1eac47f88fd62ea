//! What the system says of a process: processor time and resident memory.

use std::{fs, time::Duration};

/// The unit of processor time in `/proc`: the kernel reports it in hundredths of a second on every architecture.
const TICK: Duration = Duration::from_millis(10);
/// The place of the user time among the fields behind the process's name.
const USER_FIELD: usize = 11;
const KIB: f64 = 1024.0;

/// Reads one process's figures.
#[derive(Clone, Copy, Debug)]
pub struct ProcessProbe {
    process: u32,
}

impl ProcessProbe {
    /// The processor time so far, user and system; zero for a process that is gone.
    pub fn cpu(self) -> Duration {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.process)).unwrap_or_default();
        // The name is in parentheses and may hold spaces.
        let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let numbers = fields.split_whitespace().skip(USER_FIELD).take(2);
        let ticks: u32 = numbers
            .filter_map(|number| number.parse::<u32>().ok())
            .sum();
        TICK * ticks
    }

    /// A probe of the process with this id.
    pub fn new(process: u32) -> Self {
        Self { process }
    }

    /// Resident memory, MiB; zero for a process that is gone.
    pub fn resident_mb(self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process)).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        kib.and_then(|kib| kib.parse::<f64>().ok())
            .unwrap_or_default()
            / KIB
    }
}
