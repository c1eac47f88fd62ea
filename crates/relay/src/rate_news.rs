//! The rate limits of upstreams, as instances tell them to each other.

use {
    crate::{RelayCounts, SharedUpstreams},
    kernel::steady_clock,
    policy::RateNote,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
};

/// Gives and takes notes on the rate limits that the request path keeps. Clones share them.
#[derive(Clone, Debug)]
pub struct RateNews {
    counts: RelayCounts,
    upstreams: Arc<SharedUpstreams>,
}

impl RateNews {
    /// The digest of the limits in force.
    pub fn digest(&self) -> u64 {
        self.upstreams.lock().rates.digest()
    }

    /// Applies the notes of another instance, which were sent just now.
    pub fn merge(&self, notes: &[RateNote]) {
        if notes.is_empty() {
            return;
        }
        let now = steady_clock::now();
        let changes = self.upstreams.lock().rates.merge(notes, now);
        for (upstream, change) in changes {
            self.counts.note_rate(&upstream, change);
        }
    }

    /// Applies notes that were under way for some time.
    pub fn merge_after(&self, notes: Vec<RateNote>, transit: Duration) {
        let mut notes = notes;
        for note in &mut notes {
            note.age += transit;
        }
        self.merge(&notes);
    }

    /// All notes, unless the other instance has the same limits.
    pub fn missing(&self, known_digest: u64) -> Vec<RateNote> {
        let upstreams = self.upstreams.lock();
        match upstreams.rates.digest() == known_digest {
            true => Vec::new(),
            false => upstreams.rates.notes(steady_clock::now()),
        }
    }

    /// News of the limits of these upstreams.
    pub fn new(upstreams: Arc<SharedUpstreams>, counts: RelayCounts) -> Self {
        Self { counts, upstreams }
    }

    /// The limits with the share of this instance, for the state dump.
    pub fn rows(&self) -> Vec<Value> {
        let now = steady_clock::now();
        let upstreams = self.upstreams.lock();
        let rows = upstreams.rates.shares().map(|(upstream, rate, share)| {
            json!({
                "interval_ms": share.interval().map(|interval| interval.as_millis() as u64),
                "next_call_ms": share.wait(now).as_millis() as u64,
                "rate": rate.per_second(),
                "share": share.label(),
                "upstream": upstream,
            })
        });
        rows.collect()
    }

    /// The notes on what changed recently.
    pub fn recent(&self) -> Vec<RateNote> {
        let upstreams = self.upstreams.lock();
        upstreams.rates.recent_notes(steady_clock::now())
    }
}
