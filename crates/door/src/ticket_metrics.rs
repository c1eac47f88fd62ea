//! Counters of ticket events.

use prometheus::{IntCounterVec, Opts, Registry};

/// The label values of the ticket counter.
pub(crate) mod ticket_event {
    pub(crate) const ATTACHED: &str = "attached";
    pub(crate) const FORWARDED: &str = "forwarded";
    pub(crate) const ORIGIN_GONE: &str = "origin_gone";
    pub(crate) const HANDED_OVER: &str = "lives_handed_over";
    pub(crate) const KEYED: &str = "keyed";
    pub(crate) const OUTCOME_UNKNOWN: &str = "outcome_unknown";
    pub(crate) const MINTED: &str = "minted";
    pub(crate) const REFUSED: &str = "refused";
    pub(crate) const REPEATED: &str = "repeated";
    pub(crate) const RUN: &str = "run";
    pub(crate) const SERVED_FOR_PEER: &str = "served_for_peer";
    pub(crate) const TAKEN_OVER: &str = "lives_taken_over";

    /// All label values.
    pub(crate) const ALL: [&str; 12] = [
        ATTACHED,
        FORWARDED,
        ORIGIN_GONE,
        HANDED_OVER,
        KEYED,
        OUTCOME_UNKNOWN,
        MINTED,
        REFUSED,
        REPEATED,
        RUN,
        SERVED_FOR_PEER,
        TAKEN_OVER,
    ];
}

/// Counts ticket events.
#[derive(Debug)]
pub struct TicketMetrics {
    events: IntCounterVec,
}

impl TicketMetrics {
    /// Increments the counter of an event.
    pub(crate) fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// The counters, keyed by event.
    pub(crate) fn counts(&self) -> serde_json::Map<String, serde_json::Value> {
        let mut counts = serde_json::Map::new();
        for event in ticket_event::ALL {
            let count = self.events.with_label_values(&[event]).get();
            counts.insert(event.to_owned(), count.into());
        }
        counts
    }

    /// Creates counters that are not yet registered.
    ///
    /// # Errors
    ///
    /// Returns the error of the metrics library if it rejects a name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "trestlewalk_tickets_total",
            "What happened to tickets here, by happening.",
        );
        Ok(Self {
            events: IntCounterVec::new(options, &["happening"])?,
        })
    }

    /// Registers the counters with `registry`.
    pub(crate) fn register(&self, registry: &Registry) {
        if let Err(error) = registry.register(Box::new(self.events.clone())) {
            tracing::debug!(%error, "the ticket metric could not be registered");
        }
    }
}
