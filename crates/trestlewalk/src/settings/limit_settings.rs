//! What one instance takes on, and for how long.

use {
    crate::settings::{HumanDuration, HumanSize},
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// What a second SIGTERM does.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum SecondSignal {
    /// Ends the process at once; running requests are cut off.
    #[default]
    Immediate,
    /// Does nothing; the close limit alone ends the wait.
    Ignored,
}

/// The section `limits`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body of a request, in bytes.
    #[serde_as(as = "HumanSize")]
    pub body: u64,
    /// The close limit: how long a graceful close waits for queued and running requests.
    #[serde_as(as = "HumanDuration")]
    pub close: Duration,
    /// How long an upstream may take for the first byte of its answer.
    #[serde_as(as = "HumanDuration")]
    pub first_byte: Duration,
    /// The largest headers of a request, in bytes.
    #[serde_as(as = "HumanSize")]
    pub headers: u64,
    /// How long an upstream may fall silent within its answer.
    #[serde_as(as = "HumanDuration")]
    pub idle: Duration,
    /// How many requests the instance holds at once, queued and running.
    pub open_requests: u32,
    /// How many requests may wait in the queue.
    pub queue: u32,
    /// What a second SIGTERM does.
    pub second_signal: SecondSignal,
    /// How many threads serve requests.
    pub workers: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            close: Duration::from_secs(300),
            first_byte: Duration::from_secs(120),
            headers: 16 << 10,
            idle: Duration::from_secs(30),
            open_requests: 4096,
            queue: 1024,
            second_signal: SecondSignal::Immediate,
            workers: 1,
        }
    }
}
