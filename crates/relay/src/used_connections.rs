//! Which connections a further call of a request has to avoid.

use {
    crate::ConnectionSerial,
    kernel::{LockRank, RankedLock},
};

/// The connections that delivered an answer to one request. A further call of it uses another one: upstreams may send an answer
/// twice, and the second copy names this request as well.
#[derive(Debug)]
pub struct UsedConnections {
    serials: RankedLock<Vec<ConnectionSerial>>,
}

impl Default for UsedConnections {
    fn default() -> Self {
        Self {
            serials: RankedLock::new(LockRank::Samples, Vec::new()),
        }
    }
}

impl UsedConnections {
    /// All of them.
    pub fn list(&self) -> Vec<ConnectionSerial> {
        self.serials.lock().clone()
    }

    /// Adds a connection.
    pub fn note(&self, serial: ConnectionSerial) {
        self.serials.lock().push(serial);
    }
}
