//! A KV cache or a place at an engine, freed when nobody uses it.

use {
    crate::{KvHandle, Leftover, PlaceName, RelayCore, UpstreamDialect, VainReading},
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
    /// The tokens of a KV cache, and why it is not used if it is dropped now; none for a place.
    reading: Option<(u64, VainReading)>,
    upstream: Arc<UpstreamRecord>,
}

impl<D: UpstreamDialect> LeftoverGuard<D> {
    /// It was used: there is nothing to free.
    pub fn close(mut self) {
        self.leftover = None;
    }

    /// Guards a place at an upstream.
    pub fn for_place(
        core: Arc<RelayCore<D>>,
        upstream: Arc<UpstreamRecord>,
        name: PlaceName,
    ) -> Self {
        Self {
            core,
            leftover: Some(Leftover::Place(name)),
            reading: None,
            upstream,
        }
    }

    /// Guards a KV cache of so many tokens at an upstream.
    pub fn for_kv(
        core: Arc<RelayCore<D>>,
        upstream: Arc<UpstreamRecord>,
        handle: KvHandle,
        tokens: u64,
    ) -> Self {
        Self {
            core,
            leftover: Some(Leftover::Kv(handle)),
            // Whoever finds another reason says so; a task whose caller is gone just ends.
            reading: Some((tokens, VainReading::CallerGone)),
            upstream,
        }
    }
}

impl<D: UpstreamDialect> Drop for LeftoverGuard<D> {
    fn drop(&mut self) {
        let Some(leftover) = self.leftover.take() else {
            return;
        };
        if let Some((tokens, reason)) = self.reading {
            self.core.counts.note_vain(reason, tokens);
        }
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

/// A KV cache that was read, if any, is not used, for this reason.
pub(crate) fn discard<D: UpstreamDialect>(guard: Option<LeftoverGuard<D>>, reason: VainReading) {
    let Some(mut guard) = guard else {
        return;
    };
    if let Some((_, before)) = &mut guard.reading {
        *before = reason;
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
