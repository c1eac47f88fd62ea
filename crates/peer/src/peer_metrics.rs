//! Counters of the links between instances.

use {
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
    serde_json::{Value, json},
};

/// Why a message or a connection was refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusedCause {
    /// It can't be read.
    Garbled,
    /// The connection had no valid key.
    Key,
    /// The sender's name is not the one in its certificate.
    Name,
    /// Too many messages of its tag wait.
    Overload,
    /// It is over the size limit.
    Oversized,
    /// It was seen before, or is older than one that was.
    Replayed,
    /// Nothing takes its tag.
    Tag,
    /// It has another wire version.
    Version,
}

impl RefusedCause {
    /// Every cause, in the order of their labels.
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

/// The counters. Clones share them.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    /// Best-effort messages that were dropped here: no connection, or its buffer was full.
    pub dropped: IntCounter,
    /// Connections made to peers.
    pub links: IntCounter,
    /// Messages, calls and sessions that came in and were taken.
    pub received: IntCounter,
    /// Connections and messages that were refused, by cause.
    pub refused: IntCounterVec,
    /// Messages, calls and sessions that were sent.
    pub sent: IntCounter,
}

impl PeerMetrics {
    /// New counters at zero.
    pub fn new() -> Self {
        Self {
            dropped: counter("peer_dropped_total", "Best-effort messages dropped."),
            links: counter("peer_links_total", "Connections made to peers."),
            received: counter("peer_received_total", "Messages taken from peers."),
            refused: refused_counter(),
            sent: counter("peer_sent_total", "Messages sent to peers."),
        }
    }

    /// Counts one refusal.
    pub fn refuse(&self, cause: RefusedCause) {
        self.refused.with_label_values(&[cause.label()]).inc();
    }

    /// How many were refused for a cause.
    pub fn refused_for(&self, cause: RefusedCause) -> u64 {
        self.refused.with_label_values(&[cause.label()]).get()
    }

    /// Registers the counters; one that is registered already stays as it is.
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

fn refused_counter() -> IntCounterVec {
    let opts = Opts::new("peer_refused_total", "Connections and messages refused.");
    IntCounterVec::new(opts, &["cause"]).expect("the counter's name is a constant and valid")
}
