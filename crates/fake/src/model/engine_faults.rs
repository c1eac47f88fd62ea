//! Faults that can be injected into an engine.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// Injected faults of an engine. All are off by default; a new set replaces the old one completely.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Runs each call and closes its connection without a response.
    pub close_after_read: bool,
    /// Closes all open and new connections; active runs continue as after any lost connection.
    pub drop_connections: bool,
    /// Sends each chunk of a stream twice.
    pub duplicate_chunks: bool,
    /// Number of tokens generated beyond the expected length.
    pub extra_tokens: u32,
    /// Runs each call and responds with malformed data.
    pub garbage: bool,
    /// Refuses new calls with `leaving` and reports it in the load report.
    pub leaving: bool,
    /// Refuses new calls with `full`.
    pub refuse: bool,
    /// Delay before each completion call is accepted.
    #[serde(rename = "slow_accept_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub slow_accept: Duration,
    /// Starts no batch step while set: streams send no tokens and keep their places.
    pub stall_decoding: bool,
    /// Completes no transfer while set.
    pub stall_transfers: bool,
    /// Closes each stream's connection after this many tokens; the run continues and can be resumed.
    pub stop_after_tokens: Option<u32>,
}
