//! HTTP client with which a decode engine claims KV caches at a prefill engine.

use {
    super::engine_event::{KvAnswer, KvImport},
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Empty},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::time::Duration,
    tokio::time,
};

/// Timeout of calls to a prefill engine.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client for prefill engines.
#[derive(Clone, Debug)]
pub(super) struct KvClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl KvClient {
    /// Claims a KV cache, which the prefill engine then keeps for the transfer.
    pub(super) async fn claim(&self, import: &KvImport, digest: &str) -> KvAnswer {
        let path = format!("/kv/{}?prompt={digest}", import.handle);
        let claim = self.claim_at(import, &path);
        match time::timeout(CLAIM_TIMEOUT, claim).await {
            Ok(Some(answer)) => answer,
            _ => KvAnswer::Unreachable,
        }
    }

    /// Creates a client with an empty connection pool.
    pub(super) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Releases a KV cache. Errors are ignored because the prefill engine evicts unclaimed KV caches itself.
    pub(super) async fn release(&self, import: &KvImport, used: bool) {
        let path = format!("/kv/{}?used={used}", import.handle);
        let release = self.send(Method::DELETE, import, &path);
        let _ = time::timeout(CLAIM_TIMEOUT, release).await;
    }

    async fn claim_at(&self, import: &KvImport, path: &str) -> Option<KvAnswer> {
        let response = self.send(Method::GET, import, path).await?;
        match response.status() {
            StatusCode::CONFLICT => return Some(KvAnswer::Mismatch),
            StatusCode::GONE => return Some(KvAnswer::Evicted),
            _ => {}
        }
        let body = response.into_body().collect().await.ok()?;
        let record = serde_json::from_slice(&body.to_bytes()).ok()?;
        Some(KvAnswer::Found(record))
    }

    async fn send(
        &self,
        method: Method,
        import: &KvImport,
        path: &str,
    ) -> Option<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", import.address))
            .body(Empty::new())
            .ok()?;
        self.client.request(request).await.ok()
    }
}
