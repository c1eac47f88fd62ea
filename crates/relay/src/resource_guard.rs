//! Releases a KV cache or a slot at an engine when nobody uses it.

use {
    crate::{EngineResource, KvHandle, RelayCore, SlotName, UpstreamDialect, WastedPrefill},
    policy::UpstreamRecord,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Releasing is best effort: the engine soon drops unused resources by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// The answer is a short confirmation.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Releases a resource of an engine on drop, unless it was used.
pub struct ResourceGuard<D: UpstreamDialect> {
    core: Arc<RelayCore<D>>,
    resource: Option<EngineResource>,
    /// The tokens of a KV cache, and the reason to report if it is dropped unused; `None` for a slot.
    waste: Option<(u64, WastedPrefill)>,
    upstream: Arc<UpstreamRecord>,
}

impl<D: UpstreamDialect> ResourceGuard<D> {
    /// The resource was used, and there is nothing to release.
    pub fn disarm(mut self) {
        self.resource = None;
    }

    /// Guards a reserved slot.
    pub fn for_slot(
        core: Arc<RelayCore<D>>,
        upstream: Arc<UpstreamRecord>,
        name: SlotName,
    ) -> Self {
        Self {
            core,
            resource: Some(EngineResource::Slot(name)),
            waste: None,
            upstream,
        }
    }

    /// Guards a KV cache of `tokens` tokens.
    pub fn for_kv(
        core: Arc<RelayCore<D>>,
        upstream: Arc<UpstreamRecord>,
        handle: KvHandle,
        tokens: u64,
    ) -> Self {
        Self {
            core,
            resource: Some(EngineResource::Kv(handle)),
            // Other reasons are set explicitly; when the caller leaves, the task is just dropped.
            waste: Some((tokens, WastedPrefill::CallerGone)),
            upstream,
        }
    }
}

impl<D: UpstreamDialect> Drop for ResourceGuard<D> {
    fn drop(&mut self) {
        let Some(resource) = self.resource.take() else {
            return;
        };
        if let Some((tokens, reason)) = self.waste {
            self.core.counts.note_wasted(reason, tokens);
        }
        let core = self.core.clone();
        let upstream = self.upstream.clone();
        tokio::spawn(async move {
            let releasing = release(&core, &upstream, &resource);
            if time::timeout(RELEASE_TIMEOUT, releasing).await.is_err() {
                tracing::debug!(upstream = %upstream.id, "releasing an unused resource timed out");
            }
        });
    }
}

/// Drops the guard of a KV cache, if there is one, and reports why the cache was not used.
pub(crate) fn discard<D: UpstreamDialect>(guard: Option<ResourceGuard<D>>, reason: WastedPrefill) {
    let Some(mut guard) = guard else {
        return;
    };
    if let Some((_, current)) = &mut guard.waste {
        *current = reason;
    }
}

async fn release<D: UpstreamDialect>(
    core: &RelayCore<D>,
    upstream: &UpstreamRecord,
    resource: &EngineResource,
) {
    core.count_call(&upstream.id);
    let request = core.dialect.release_call(upstream, resource);
    if core
        .ask(upstream, request, MAX_ANSWER_BYTES)
        .await
        .is_none()
    {
        tracing::debug!(upstream = %upstream.id, "could not release an unused resource");
    }
}
