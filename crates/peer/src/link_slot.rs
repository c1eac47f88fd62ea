//! The connection to one peer.

use {
    quinn::Connection,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The connection to one peer, with its backoff after failed attempts.
#[derive(Debug, Default)]
pub struct LinkSlot {
    address: Option<SocketAddr>,
    backoff: Option<Duration>,
    connection: Option<Connection>,
    retry_at: Option<Instant>,
    used: Option<Instant>,
}

impl LinkSlot {
    /// Drops the connection; it closes when its last user releases it.
    pub fn clear(&mut self) {
        self.connection = None;
    }

    /// Records a failed connection attempt and doubles the backoff of best-effort messages, up to the maximum.
    pub fn fail(&mut self, now: Instant) {
        let backoff = match self.backoff {
            Some(backoff) => (backoff * 2).min(MAX_BACKOFF),
            None => MIN_BACKOFF,
        };
        self.backoff = Some(backoff);
        self.connection = None;
        self.retry_at = Some(now + backoff);
    }

    /// The connection, if it is open and leads to this address.
    pub fn live(&self, address: SocketAddr) -> Option<Connection> {
        let connection = self.connection.as_ref()?;
        if self.address != Some(address) || connection.close_reason().is_some() {
            return None;
        }
        Some(connection.clone())
    }

    /// Whether the slot was last used longer ago than the limit, or never.
    pub fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.used
            .is_none_or(|used| now.saturating_duration_since(used) > limit)
    }

    /// Records a use of the connection.
    pub fn touch(&mut self, now: Instant) {
        self.used = Some(now);
    }

    /// Stores a new connection and resets the backoff.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        self.address = Some(address);
        self.backoff = None;
        self.connection = Some(connection);
        self.retry_at = None;
    }

    /// Whether a best-effort message may start a connection attempt: the backoff is over or the address is new.
    pub fn can_retry(&self, now: Instant, address: SocketAddr) -> bool {
        if self.address.is_some_and(|known| known != address) {
            return true;
        }
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }
}
