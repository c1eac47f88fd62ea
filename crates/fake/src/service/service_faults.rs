//! What is wrong with a plain service.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// A service's faults; all are off by default, and a new set takes the place of the old one whole.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Runs each request and closes its connection without an answer.
    pub close_after_read: bool,
    /// Cuts each answer's body after so many bytes.
    pub cut_after_bytes: Option<u64>,
    /// Added to the settings' delay.
    #[serde(rename = "delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// Closes all connections, open ones and new ones.
    pub drop_connections: bool,
    /// Closes a kept connection when a second request comes on it, before the request is read.
    pub drop_on_reuse: bool,
    /// Answers bytes that are no HTTP body of the kind asked for: 200 with a broken JSON text.
    pub garbage: bool,
    /// Answers 503 with `X-Ran: no` before the request runs.
    pub refuse: bool,
}
