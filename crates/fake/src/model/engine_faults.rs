//! What is wrong with an engine.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// An engine's faults; all are off by default, and a new set takes the place of the old one whole.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Runs each call and closes its connection without an answer.
    pub close_after_read: bool,
    /// Closes all connections, open ones and new ones; what runs goes on as after any lost connection.
    pub drop_connections: bool,
    /// Sends each chunk of a stream twice.
    pub duplicate_chunks: bool,
    /// Generates so many tokens more than were asked for.
    pub extra_tokens: u32,
    /// Runs each call and answers what nothing can read.
    pub garbage: bool,
    /// Refuses new calls as leaving, and says so in the load report.
    pub leaving: bool,
    /// Refuses new calls as full.
    pub refuse: bool,
    /// Every completion call waits this long before it is taken.
    #[serde(rename = "slow_accept_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub slow_accept: Duration,
    /// No step of the batch starts while this is set: streams fall silent and keep their places.
    pub stall_decoding: bool,
    /// Transfers never end while this is set.
    pub stall_transfers: bool,
    /// Cuts the connection of each stream after so many tokens; the stream goes on and can be resumed.
    pub stop_after_tokens: Option<u32>,
}
