//! How a decode engine asks a prefill engine for a KV cache.

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

/// How long a prefill engine may take to answer.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls prefill engines.
#[derive(Clone, Debug)]
pub(super) struct KvClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl KvClient {
    /// Asks for a KV cache, which stays there for the transfer.
    pub(super) async fn claim(&self, import: &KvImport, digest: &str) -> KvAnswer {
        let path = format!("/kv/{}?prompt={digest}", import.handle);
        let claim = self.claim_at(import, &path);
        match time::timeout(CLAIM_TIMEOUT, claim).await {
            Ok(Some(answer)) => answer,
            _ => KvAnswer::Unreachable,
        }
    }

    /// A client without connections.
    pub(super) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Says that a KV cache is needed no longer. A prefill engine that can't be reached evicts it by itself.
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
