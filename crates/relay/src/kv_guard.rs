//! A KV cache that waits for its transfer, freed when nobody takes it.

use {
    crate::{KvHandle, RelayCore, UpstreamDialect, UpstreamRecord},
    http_body_util::BodyExt,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Freeing is a courtesy: the engine drops the cache by itself soon after.
const FREE_LIMIT: Duration = Duration::from_millis(300);

/// Frees the KV cache when it is dropped, unless it was taken.
pub struct KvGuard<D: UpstreamDialect> {
    core: Arc<RelayCore<D>>,
    handle: Option<KvHandle>,
    upstream: Arc<UpstreamRecord>,
}

impl<D: UpstreamDialect> KvGuard<D> {
    /// Another engine has taken the cache: there is nothing to free.
    pub fn close(mut self) {
        self.handle = None;
    }

    /// Where the cache waits.
    pub fn handle(&self) -> Option<KvHandle> {
        self.handle.clone()
    }

    /// Guards a cache at an upstream.
    pub fn new(core: Arc<RelayCore<D>>, upstream: Arc<UpstreamRecord>, handle: KvHandle) -> Self {
        Self {
            core,
            handle: Some(handle),
            upstream,
        }
    }
}

impl<D: UpstreamDialect> Drop for KvGuard<D> {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let core = self.core.clone();
        let upstream = self.upstream.clone();
        tokio::spawn(async move {
            let freeing = free(&core, &upstream, &handle);
            if time::timeout(FREE_LIMIT, freeing).await.is_err() {
                tracing::debug!(upstream = %upstream.id, "freeing a KV cache took too long");
            }
        });
    }
}

async fn free<D: UpstreamDialect>(
    core: &RelayCore<D>,
    upstream: &UpstreamRecord,
    handle: &KvHandle,
) {
    let request = core.dialect.free_call(handle);
    let sending = core.pool.send(&upstream.id, upstream.address, request);
    match sending.await {
        Ok((response, link)) => {
            if response.into_body().collect().await.is_ok() {
                core.pool.keep(&upstream.id, link, None);
            }
        }
        Err(error) => tracing::debug!(upstream = %upstream.id, %error, "a KV cache was not freed"),
    }
}
