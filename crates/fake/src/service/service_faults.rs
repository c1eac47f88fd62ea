//! Faults that can be injected into a plain service.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// Injected faults of a service. All are off by default; a new set replaces the old one completely.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Runs each request and closes its connection without a response.
    pub close_after_read: bool,
    /// Closes the connection after this many bytes of each response body.
    pub cut_after_bytes: Option<u64>,
    /// Delay added to the one from the settings.
    #[serde(rename = "delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// Closes all open and new connections.
    pub drop_connections: bool,
    /// Closes a keep-alive connection on its second request, before the request runs.
    pub drop_on_reuse: bool,
    /// Responds with status 200 and malformed JSON.
    pub garbage: bool,
    /// Responds with status 503 and `X-Ran: no` before the request runs.
    pub refuse: bool,
}
