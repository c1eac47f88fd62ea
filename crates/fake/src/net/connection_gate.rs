//! Admission of connections and requests, for faults that close them.

/// Decides whether connections and requests are served.
pub(crate) trait ConnectionGate: Clone + Send + Sync + 'static {
    /// Whether a new connection is served; otherwise it is closed at once.
    fn admits_connection(&self) -> bool;
    /// Whether a request is served after `earlier_requests` on its connection; otherwise the connection is closed.
    fn admits_request(&self, earlier_requests: u64) -> bool;
}

/// Admits all connections and requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGate;

impl ConnectionGate for OpenGate {
    fn admits_connection(&self) -> bool {
        true
    }

    fn admits_request(&self, _earlier_requests: u64) -> bool {
        true
    }
}
