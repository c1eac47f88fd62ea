//! Metrics of the links between instances.

use {
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
    serde_json::{Value, json},
};

/// Why a message or a connection was refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusedCause {
    /// It can't be decoded.
    Garbled,
    /// The connection had no valid key.
    Key,
    /// The sender's name is not the one in its certificate.
    Name,
    /// The inbox of its tag is full.
    Overload,
    /// It is over the size limit.
    Oversized,
    /// Its sequence number was already received or is too low.
    Replayed,
    /// No handler is registered for its tag.
    Tag,
    /// It has another wire version.
    Version,
}

impl RefusedCause {
    /// All causes, in the order of their labels.
    pub const ALL: [Self; 8] = [
        Self::Garbled,
        Self::Key,
        Self::Name,
        Self::Overload,
        Self::Oversized,
        Self::Replayed,
        Self::Tag,
        Self::Version,
    ];

    /// The label in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Garbled => "garbled",
            Self::Key => "key",
            Self::Name => "name",
            Self::Overload => "overload",
            Self::Oversized => "oversized",
            Self::Replayed => "replayed",
            Self::Tag => "tag",
            Self::Version => "version",
        }
    }
}

/// The link counters, shared by clones.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    /// Best-effort messages dropped at the sender: there was no connection, or its buffer was full.
    pub dropped: IntCounter,
    /// Connections opened to peers.
    pub links: IntCounter,
    /// Calls of this instance that are not over.
    pub open_calls: IntGauge,
    /// Calls and larger messages of peers that are not over.
    pub open_streams: IntGauge,
    /// Messages, calls and sessions that were received and dispatched.
    pub received: IntCounter,
    /// Refused connections and messages, by cause.
    pub refused: IntCounterVec,
    /// Sent messages, calls and sessions.
    pub sent: IntCounter,
}

impl PeerMetrics {
    /// Creates all counters at zero.
    pub fn new() -> Self {
        Self {
            dropped: counter("peer_dropped_total", "Best-effort messages dropped."),
            links: counter("peer_links_total", "Connections made to peers."),
            open_calls: gauge("peer_open_calls", "Calls that are not over."),
            open_streams: gauge("peer_open_streams", "Streams of peers that are not over."),
            received: counter("peer_received_total", "Messages taken from peers."),
            refused: refused_counter(),
            sent: counter("peer_sent_total", "Messages sent to peers."),
        }
    }

    /// Counts one refusal.
    pub fn refuse(&self, cause: RefusedCause) {
        self.refused.with_label_values(&[cause.label()]).inc();
    }

    /// The number of refusals for a cause.
    pub fn refused_for(&self, cause: RefusedCause) -> u64 {
        self.refused.with_label_values(&[cause.label()]).get()
    }

    /// Registers the counters; one that is already registered stays as it is.
    pub fn register(&self, registry: &Registry) {
        let _ = registry.register(Box::new(self.dropped.clone()));
        let _ = registry.register(Box::new(self.links.clone()));
        let _ = registry.register(Box::new(self.received.clone()));
        let _ = registry.register(Box::new(self.refused.clone()));
        let _ = registry.register(Box::new(self.sent.clone()));
    }

    /// The counters for the state dump.
    pub fn to_json(&self) -> Value {
        let mut refused = serde_json::Map::new();
        for cause in RefusedCause::ALL {
            refused.insert(cause.label().to_owned(), self.refused_for(cause).into());
        }
        json!({
            "dropped": self.dropped.get(),
            "links": self.links.get(),
            "received": self.received.get(),
            "refused": refused,
            "sent": self.sent.get(),
        })
    }
}

impl Default for PeerMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the counter's name is a constant and valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the gauge's name is a constant and valid")
}

fn refused_counter() -> IntCounterVec {
    let opts = Opts::new("peer_refused_total", "Connections and messages refused.");
    IntCounterVec::new(opts, &["cause"]).expect("the counter's name is a constant and valid")
}
