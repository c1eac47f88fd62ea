//! A client for engines that implement the completions protocol of [`crate::wire`].

use {
    crate::{
        call_error::{CallCause, CallError},
        http_pool::HttpPool,
        model_engine::{ModelEngine, PrefillReply},
        pooled_body::PooledBody,
        token_stream::TokenStream,
        wire::{
            CacheEvents, CompletionCall, CompletionChunk, EngineError, EngineLoad, EngineOrder,
            REQUEST_ID_HEADER, StreamRecord,
        },
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// The maximum size of an answer that is not a stream.
const MAX_REPLY_BYTES: usize = 16 << 20;

type EngineBody = PooledBody<Full<Bytes>>;

/// A client for the completions protocol. Clones share their connections.
#[derive(Clone, Debug)]
pub struct CompletionEngine {
    control_timeout: Duration,
    idle_timeout: Duration,
    pool: HttpPool<Full<Bytes>>,
    prefill_timeout: Duration,
}

#[bon::bon]
impl CompletionEngine {
    /// Creates a client with these timeouts: `connect` for opening a connection, `control` for a control call, `idle`
    /// for the gap between two tokens, `prefill` for prefilling a prompt.
    #[builder]
    pub fn new(connect: Duration, control: Duration, idle: Duration, prefill: Duration) -> Self {
        Self {
            control_timeout: control,
            idle_timeout: idle,
            pool: HttpPool::new(connect),
            prefill_timeout: prefill,
        }
    }
}

impl CompletionEngine {
    async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CallError> {
        let request = build_request(Method::GET, address, path, None, Bytes::new())?;
        let call = async {
            let response = self.pool.send(address, request, false).await?;
            read_json(check_status(response).await?).await
        };
        with_timeout(self.control_timeout, call).await
    }

    async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        stream: &str,
        body: &T,
    ) -> Result<Response<EngineBody>, CallError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| CallError::not_run(CallCause::Refused, error))?;
        let request = build_request(Method::POST, address, path, Some(stream), body.into())?;
        let response = self.send(address, request, stream).await?;
        check_status(response).await
    }

    /// Sends a call about a stream and waits for the head of its answer. An engine may give an answer twice, and the second
    /// copy comes where the answer to a later call is due.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        stream: &str,
    ) -> Result<Response<EngineBody>, CallError> {
        let response = self.pool.send(address, request, false).await?;
        let mut named = response.headers().get_all(REQUEST_ID_HEADER).iter();
        if named.any(|named| named != stream) {
            return Err(CallError::unknown(
                CallCause::Garbled,
                "the answer names another request",
            ));
        }
        Ok(response)
    }
}

impl ModelEngine for CompletionEngine {
    type Tokens = TokenStream;

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, CallError> {
        self.get_json(address, &format!("/cache/events?after={after}"))
            .await
    }

    async fn cancel(&self, address: SocketAddr, stream: &str) -> Result<bool, CallError> {
        let request = build_request(
            Method::DELETE,
            address,
            &format!("/streams/{stream}"),
            None,
            Bytes::new(),
        )?;
        let call = async {
            let response = self.send(address, request, stream).await?;
            let status = response.status();
            let _ = read_body(response).await;
            if status.is_success() || status == StatusCode::NOT_FOUND {
                return Ok(status != StatusCode::NOT_FOUND);
            }
            Err(CallError::not_run(CallCause::Refused, status))
        };
        with_timeout(self.control_timeout, call).await
    }

    async fn decode(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> Result<TokenStream, CallError> {
        let posting = self.post(address, "/v1/completions", stream, call);
        let response = with_timeout(self.idle_timeout, posting).await?;
        Ok(TokenStream::new(response.into_body(), self.idle_timeout, 0))
    }

    async fn load(&self, address: SocketAddr) -> Result<EngineLoad, CallError> {
        self.get_json(address, "/load").await
    }

    async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), CallError> {
        let ordering = async {
            let response = self.post(address, "/orders", "order", order).await?;
            read_body(response).await.map(|_| ())
        };
        with_timeout(self.control_timeout, ordering).await
    }

    async fn prefill(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> Result<PrefillReply, CallError> {
        let prefilling = async {
            let response = self.post(address, "/v1/completions", stream, call).await?;
            read_json::<CompletionChunk>(response).await
        };
        let chunk = with_timeout(self.prefill_timeout, prefilling).await?;
        match chunk.kv_transfer_params {
            Some(params) => Ok(PrefillReply { params }),
            None => Err(CallError::unknown(
                CallCause::Garbled,
                "no kv_transfer_params in the answer",
            )),
        }
    }

    async fn resume(
        &self,
        address: SocketAddr,
        stream: &str,
        offset: u32,
    ) -> Result<TokenStream, CallError> {
        let path = format!("/streams/{stream}?offset={offset}");
        let request = build_request(Method::GET, address, &path, None, Bytes::new())?;
        let call = async { check_status(self.send(address, request, stream).await?).await };
        let response = with_timeout(self.control_timeout, call).await?;
        Ok(TokenStream::new(
            response.into_body(),
            self.idle_timeout,
            offset,
        ))
    }

    async fn streams(&self, address: SocketAddr) -> Result<Vec<StreamRecord>, CallError> {
        self.get_json(address, "/streams").await
    }
}

/// Converts an error that an engine reports. Its claim that the call did not run is ignored once it has sent a token.
pub(crate) fn engine_failure(failure: &EngineError, has_tokens: bool) -> CallError {
    let cause = match &*failure.error {
        "evicted" => CallCause::Evicted,
        "full" => CallCause::Full,
        "leaving" => CallCause::Leaving,
        _ => CallCause::Refused,
    };
    let may_have_run = failure.ran || has_tokens;
    CallError {
        cause,
        detail: failure.error.to_string(),
        may_have_run,
    }
}

async fn check_status(response: Response<EngineBody>) -> Result<Response<EngineBody>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    // The second copy of a refusal would be believed by the next call on its connection.
    let response = response.map(PooledBody::without_reuse);
    let body = read_body(response).await?;
    match serde_json::from_slice::<EngineError>(&body) {
        Ok(failure) => Err(engine_failure(&failure, false)),
        Err(_) => Err(CallError::unknown(CallCause::Refused, status)),
    }
}

fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    stream: Option<&str>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(stream) = stream {
        builder = builder.header(REQUEST_ID_HEADER, stream);
    }
    builder
        .body(Full::new(body))
        .map_err(|error| CallError::not_run(CallCause::Refused, error))
}

async fn read_body(response: Response<EngineBody>) -> Result<Bytes, CallError> {
    let limited = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    match limited.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(CallError::unknown(CallCause::Lost, error)),
    }
}

async fn read_json<T: DeserializeOwned>(response: Response<EngineBody>) -> Result<T, CallError> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|error| CallError::unknown(CallCause::Garbled, error))
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match time::timeout(limit, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(CallError::unknown(CallCause::Silent, "no answer in time")),
    }
}
