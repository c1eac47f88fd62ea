//! A KV cache or a place at an engine, freed when nobody uses it.

use {
    crate::{EngineResource, KvHandle, RelayCore, SlotName, UpstreamDialect, WastedPrefill},
    policy::UpstreamRecord,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Freeing is a courtesy: the engine drops what is not used by itself soon after.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// The answer says hardly more than that it was done.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Frees what is left at an engine when it is dropped, unless it was used.
pub struct ResourceGuard<D: UpstreamDialect> {
    core: Arc<RelayCore<D>>,
    resource: Option<EngineResource>,
    /// The tokens of a KV cache, and why it is not used if it is dropped now; none for a place.
    reading: Option<(u64, WastedPrefill)>,
    upstream: Arc<UpstreamRecord>,
}

impl<D: UpstreamDialect> ResourceGuard<D> {
    /// It was used: there is nothing to free.
    pub fn disarm(mut self) {
        self.resource = None;
    }

    /// Guards a place at an upstream.
    pub fn for_slot(
        core: Arc<RelayCore<D>>,
        upstream: Arc<UpstreamRecord>,
        name: SlotName,
    ) -> Self {
        Self {
            core,
            resource: Some(EngineResource::Slot(name)),
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
            resource: Some(EngineResource::Kv(handle)),
            // Whoever finds another reason says so; a task whose caller is gone just ends.
            reading: Some((tokens, WastedPrefill::CallerGone)),
            upstream,
        }
    }
}

impl<D: UpstreamDialect> Drop for ResourceGuard<D> {
    fn drop(&mut self) {
        let Some(resource) = self.resource.take() else {
            return;
        };
        if let Some((tokens, reason)) = self.reading {
            self.core.counts.note_wasted(reason, tokens);
        }
        let core = self.core.clone();
        let upstream = self.upstream.clone();
        tokio::spawn(async move {
            let releasing = release(&core, &upstream, &resource);
            if time::timeout(RELEASE_TIMEOUT, releasing).await.is_err() {
                tracing::debug!(upstream = %upstream.id, "releasing took too long");
            }
        });
    }
}

/// A KV cache that was read, if any, is not used, for this reason.
pub(crate) fn discard<D: UpstreamDialect>(guard: Option<ResourceGuard<D>>, reason: WastedPrefill) {
    let Some(mut guard) = guard else {
        return;
    };
    if let Some((_, before)) = &mut guard.reading {
        *before = reason;
    }
}

async fn release<D: UpstreamDialect>(
    core: &RelayCore<D>,
    upstream: &UpstreamRecord,
    resource: &EngineResource,
) {
    let request = core.dialect.release_call(upstream, resource);
    if core
        .ask(upstream, request, MAX_ANSWER_BYTES)
        .await
        .is_none()
    {
        tracing::debug!(upstream = %upstream.id, "not freed");
    }
}
