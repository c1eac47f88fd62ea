//! Streams that nobody waits for, of entry instances that are silent. Pure.

use {
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a stream may be without a connection while its holder is silent. A holder that lives takes a broken stream
/// up again well within it.
pub const ABANDONED_AFTER: Duration = Duration::from_secs(1);

/// Since when streams look abandoned, by engine.
#[derive(Debug, Default)]
pub struct AbandonedStreams {
    engines: BTreeMap<UpstreamId, BTreeMap<Arc<str>, Instant>>,
}

impl AbandonedStreams {
    /// Takes the streams of one engine that have no connection and a silent holder. Those that have looked so for long
    /// enough are given back.
    pub fn observe(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        suspects: &BTreeSet<Arc<str>>,
    ) -> Vec<Arc<str>> {
        let since = self.engines.entry(upstream.clone()).or_default();
        since.retain(|stream, _| suspects.contains(stream));
        let mut abandoned = Vec::new();
        for stream in suspects {
            let first = *since.entry(stream.clone()).or_insert(now);
            if now.saturating_duration_since(first) < ABANDONED_AFTER {
                continue;
            }
            abandoned.push(stream.clone());
        }
        if since.is_empty() {
            self.engines.remove(upstream);
        }
        abandoned
    }
}
