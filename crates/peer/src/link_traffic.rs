//! Traffic over the links, for measurements.

use quinn::Connection;

/// UDP payloads over the accepted connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkTraffic {
    /// Bytes received and sent, without IP and UDP headers.
    pub bytes: u64,
    /// Datagrams received and sent.
    pub datagrams: u64,
}

impl LinkTraffic {
    pub(crate) fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.bytes += stats.udp_rx.bytes + stats.udp_tx.bytes;
        self.datagrams += stats.udp_rx.datagrams + stats.udp_tx.datagrams;
    }
}
