//! What bounds the tickets of one instance.

use {bon::Builder, std::time::Duration};

/// The limits of a [`TicketTable`](crate::TicketTable).
#[derive(Builder, Clone, Debug)]
pub struct TicketSettings {
    /// The largest answer that is kept for a replay, bytes.
    #[builder(default = 64 << 10)]
    pub answer_limit: usize,
    /// All answers that are kept for replays, bytes.
    #[builder(default = 4 << 20)]
    pub cache_limit: usize,
    /// The longest time that a ticket may be good for.
    #[builder(default = Duration::from_secs(3600))]
    pub max_expiry: Duration,
    /// How long a used ticket is remembered past its expiry. So long is "expired, not run" told from "unknown".
    #[builder(default = Duration::from_secs(600))]
    pub retention: Duration,
    /// Seeds the random parts and the check of each life.
    pub secret: u64,
    /// The most tickets that may be outstanding at once.
    #[builder(default = 100_000)]
    pub ticket_limit: usize,
}
