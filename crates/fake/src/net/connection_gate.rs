//! Whether connections and requests are let in.

/// Decides on connections and on requests before they are read.
pub(crate) trait ConnectionGate: Clone + Send + Sync + 'static {
    /// Whether a new connection is served; otherwise it is closed at once.
    fn admits_connection(&self) -> bool;
    /// Whether a request is served after `earlier` ones on its connection; otherwise the connection is closed.
    fn admits_request(&self, earlier_requests: u64) -> bool;
}

/// Lets everything in.
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
