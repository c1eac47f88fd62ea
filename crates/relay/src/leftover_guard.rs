//! A KV cache or a place at an engine, freed when nobody uses it.

use {
    crate::{Leftover, RelayCore, UpstreamDialect},
    policy::UpstreamRecord,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Freeing is a courtesy: the engine drops what is not used by itself soon after.
const FREE_LIMIT: Duration = Duration::from_millis(300);
/// The answer says hardly more than that it was done.
const LARGEST_ANSWER: usize = 64 << 10;

/// Frees what is left at an engine when it is dropped, unless it was used.
pub struct LeftoverGuard<D: UpstreamDialect> {
    core: Arc<RelayCore<D>>,
    leftover: Option<Leftover>,
    upstream: Arc<UpstreamRecord>,
}

impl<D: UpstreamDialect> LeftoverGuard<D> {
    /// It was used: there is nothing to free.
    pub fn close(mut self) {
        self.leftover = None;
    }

    /// Guards what is left at an upstream.
    pub fn new(core: Arc<RelayCore<D>>, upstream: Arc<UpstreamRecord>, leftover: Leftover) -> Self {
        Self {
            core,
            leftover: Some(leftover),
            upstream,
        }
    }
}

impl<D: UpstreamDialect> Drop for LeftoverGuard<D> {
    fn drop(&mut self) {
        let Some(leftover) = self.leftover.take() else {
            return;
        };
        let core = self.core.clone();
        let upstream = self.upstream.clone();
        tokio::spawn(async move {
            let freeing = free(&core, &upstream, &leftover);
            if time::timeout(FREE_LIMIT, freeing).await.is_err() {
                tracing::debug!(upstream = %upstream.id, "freeing took too long");
            }
        });
    }
}

async fn free<D: UpstreamDialect>(
    core: &RelayCore<D>,
    upstream: &UpstreamRecord,
    leftover: &Leftover,
) {
    let request = core.dialect.free_call(upstream, leftover);
    if core.ask(upstream, request, LARGEST_ANSWER).await.is_none() {
        tracing::debug!(upstream = %upstream.id, "not freed");
    }
}
