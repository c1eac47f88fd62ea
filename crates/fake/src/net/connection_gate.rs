//! Whether connections and requests are let in.

/// Decides on connections and on requests before they are read.
pub(crate) trait ConnectionGate: Clone + Send + Sync + 'static {
    /// Whether a new connection is served; otherwise it is closed at once.
    fn admits(&self) -> bool;
    /// Whether a request is served after `earlier` ones on its connection; otherwise the connection is closed.
    fn serves(&self, earlier: u64) -> bool;
}

/// Lets everything in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGate;

impl ConnectionGate for OpenGate {
    fn admits(&self) -> bool {
        true
    }

    fn serves(&self, _earlier: u64) -> bool {
        true
    }
}
