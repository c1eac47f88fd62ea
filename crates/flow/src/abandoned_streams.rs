//! Detection of streams that have no connection and whose entry instance is silent. Does no I/O.

use {
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a stream may be without a connection while its holder is silent. A holder that is alive resumes a broken
/// stream well within this time.
pub const ABANDONED_AFTER: Duration = Duration::from_secs(1);

/// For each engine, when each of its streams was first seen without a connection and a live holder.
#[derive(Debug, Default)]
pub struct AbandonedStreams {
    engines: BTreeMap<UpstreamId, BTreeMap<Arc<str>, Instant>>,
}

impl AbandonedStreams {
    /// Records the streams of one engine that currently have no connection and a silent holder. Returns those that have
    /// been in this state for [`ABANDONED_AFTER`].
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
