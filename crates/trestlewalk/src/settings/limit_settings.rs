//! The limits of one instance on sizes, counts and times.

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
    /// Ends the process at once and cuts running requests off.
    #[default]
    Immediate,
    /// Does nothing; the close still ends at the close limit.
    Ignored,
}

/// The section `limits`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The maximum size of a request body, in bytes.
    #[serde_as(as = "HumanSize")]
    pub body: u64,
    /// The close limit: the time that a graceful close waits for queued and running requests.
    #[serde_as(as = "HumanDuration")]
    pub close: Duration,
    /// The timeout for the first byte of an upstream's answer.
    #[serde_as(as = "HumanDuration")]
    pub first_byte: Duration,
    /// The maximum size of the headers of a request, in bytes.
    #[serde_as(as = "HumanSize")]
    pub headers: u64,
    /// The timeout for a pause within an upstream's answer.
    #[serde_as(as = "HumanDuration")]
    pub idle: Duration,
    /// The maximum number of open requests, queued and running.
    pub open_requests: u32,
    /// The maximum number of queued requests.
    pub queue: u32,
    /// What a second SIGTERM does.
    pub second_signal: SecondSignal,
    /// The number of threads that serve requests.
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
