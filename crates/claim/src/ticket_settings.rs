//! Limits on the tickets of one instance.

use {bon::Builder, std::time::Duration};

/// The limits of a [`TicketTable`](crate::TicketTable).
#[derive(Builder, Clone, Debug)]
pub struct TicketSettings {
    /// The maximum size of a cached answer, in bytes.
    #[builder(default = 64 << 10)]
    pub answer_limit: usize,
    /// The maximum total size of cached answers, in bytes.
    #[builder(default = 4 << 20)]
    pub cache_limit: usize,
    /// The maximum lifetime of a ticket.
    #[builder(default = Duration::from_secs(3600))]
    pub max_expiry: Duration,
    /// How long a used ticket is remembered past its expiry. For this long, "expired, not run" can be
    /// distinguished from "unknown".
    #[builder(default = Duration::from_secs(600))]
    pub retention: Duration,
    /// Seeds the random parts and the check key of each incarnation.
    pub secret: u64,
    /// The maximum number of outstanding tickets.
    #[builder(default = 100_000)]
    pub ticket_limit: usize,
}
