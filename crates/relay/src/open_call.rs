//! A call to an upstream that counts as open until it is dropped.

use {
    crate::RelayCounts,
    kernel::{RankedLock, steady_clock},
    policy::{CallVerdict, UpstreamRecord, UpstreamTable},
    std::{sync::Arc, time::Instant},
};

/// The upstreams, shared by all requests of a process.
pub type SharedUpstreams = RankedLock<UpstreamTable>;

/// Counts as an open call of its upstream. Dropped without a verdict, it does not affect the upstream's statistics.
#[derive(Debug)]
pub struct OpenCall {
    upstreams: Arc<SharedUpstreams>,
    counts: RelayCounts,
    /// When the call started.
    pub since: Instant,
    tokens: u64,
    /// The upstream.
    pub upstream: Arc<UpstreamRecord>,
    verdict: CallVerdict,
}

impl OpenCall {
    /// Ends the call with a verdict on the upstream.
    pub fn close(mut self, verdict: CallVerdict) {
        self.verdict = verdict;
    }

    /// Opens a call that adds `tokens` to the load of the upstream.
    pub fn new(
        upstreams: &Arc<SharedUpstreams>,
        counts: &RelayCounts,
        upstream: Arc<UpstreamRecord>,
        tokens: u64,
    ) -> Self {
        upstreams.lock().begin(&upstream.id, tokens);
        Self {
            upstreams: upstreams.clone(),
            counts: counts.clone(),
            since: steady_clock::now(),
            tokens,
            upstream,
            verdict: CallVerdict::Neutral,
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut table = self.upstreams.lock();
        // Counted under the lock: the counters of an upstream that left the list are dropped after it is removed, and a
        // later count would create them again.
        let is_listed = table.end(
            &self.upstream.id,
            self.tokens,
            self.verdict,
            steady_clock::now(),
        );
        if is_listed {
            self.counts.note_call(&self.upstream.id, self.verdict);
        }
    }
}
