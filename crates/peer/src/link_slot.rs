//! The connection to one peer.

use {
    quinn::Connection,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const LAST_BACKOFF: Duration = Duration::from_secs(4);

/// What is known of the way to one peer.
#[derive(Debug, Default)]
pub struct LinkSlot {
    address: Option<SocketAddr>,
    backoff: Option<Duration>,
    connection: Option<Connection>,
    retry_at: Option<Instant>,
    used: Option<Instant>,
}

impl LinkSlot {
    /// Forgets the connection; it closes when nothing uses it any more.
    pub fn clear(&mut self) {
        self.connection = None;
    }

    /// Notes that no connection could be made: best-effort messages wait longer each time.
    pub fn fail(&mut self, now: Instant) {
        let backoff = match self.backoff {
            Some(backoff) => (backoff * 2).min(LAST_BACKOFF),
            None => FIRST_BACKOFF,
        };
        self.backoff = Some(backoff);
        self.connection = None;
        self.retry_at = Some(now + backoff);
    }

    /// The connection, if it is alive and goes to this address.
    pub fn live(&self, address: SocketAddr) -> Option<Connection> {
        let connection = self.connection.as_ref()?;
        if self.address != Some(address) || connection.close_reason().is_some() {
            return None;
        }
        Some(connection.clone())
    }

    /// Whether the connection was last used longer ago than the limit, or there is none.
    pub fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.used
            .is_none_or(|used| now.saturating_duration_since(used) > limit)
    }

    /// Notes that the connection is used.
    pub fn touch(&mut self, now: Instant) {
        self.used = Some(now);
    }

    /// Notes a new connection.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        self.address = Some(address);
        self.backoff = None;
        self.connection = Some(connection);
        self.retry_at = None;
    }

    /// Whether a best-effort message may try to connect.
    pub fn can_retry(&self, now: Instant, address: SocketAddr) -> bool {
        if self.address.is_some_and(|known| known != address) {
            return true;
        }
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }
}
