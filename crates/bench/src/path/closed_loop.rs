//! Requests one after the other: straight to the engines, or through the entry instance.

use {
    crate::path::path_world::MODEL,
    bytes::Bytes,
    engine::{
        CompletionEngine, HttpPool, ModelEngine, SseReader, TokenEvent, TokenSource,
        wire::{CompletionCall, DONE_MARKER, KvTransferParams},
    },
    http::{Method, Request, header},
    http_body_util::{BodyExt, Full},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);
/// A prompt of 64 tokens.
const PROMPT_BYTES: usize = 256;

/// The times of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// To the first token.
    pub first: Duration,
    /// The tokens that came.
    pub tokens: u32,
}

/// Sends requests. Clones share their connections.
#[derive(Clone)]
pub struct LoopClient {
    engine: CompletionEngine,
    pool: HttpPool<Full<Bytes>>,
}

impl Default for LoopClient {
    fn default() -> Self {
        let engine = CompletionEngine::builder()
            .connect(TIMEOUT)
            .control(TIMEOUT)
            .idle(TIMEOUT)
            .prefill(TIMEOUT)
            .build();
        Self {
            engine,
            pool: HttpPool::new(TIMEOUT),
        }
    }
}

impl LoopClient {
    /// One request straight to the engines: reading, then generating. `None` when it failed.
    pub async fn direct(
        &self,
        prefill: SocketAddr,
        decode: SocketAddr,
        number: u64,
        max_tokens: u32,
    ) -> Option<RequestTimes> {
        let started = Instant::now();
        let stream = format!("direct-{number}");
        let params = KvTransferParams {
            do_remote_decode: true,
            ..KvTransferParams::default()
        };
        let call = completion_call(number, 1, params, false);
        let reply = self.engine.prefill(prefill, &stream, &call).await.ok()?;
        let call = completion_call(number, max_tokens, reply.params, true);
        let mut tokens = self.engine.decode(decode, &stream, &call).await.ok()?;
        let mut times = RequestTimes {
            first: Duration::ZERO,
            tokens: 0,
        };
        loop {
            match tokens.next().await.ok()? {
                TokenEvent::Done { .. } => return Some(times),
                TokenEvent::Token { .. } => times.count(started),
            }
        }
    }

    /// One request through the entry instance. `None` when it failed.
    pub async fn through(
        &self,
        entry: SocketAddr,
        number: u64,
        max_tokens: u32,
    ) -> Option<RequestTimes> {
        let started = Instant::now();
        let prompt = prompt(number);
        let body = format!(r#"{{"max_tokens":{max_tokens},"prompt":"{prompt}","stream":true}}"#);
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/completions")
            .header(header::HOST, entry.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header("trestlewalk-work", "bench")
            .body(Full::new(body.into()))
            .ok()?;
        let response = self.pool.send(entry, request, false).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut body = response.into_body();
        let mut reader = SseReader::new();
        let mut times = RequestTimes {
            first: Duration::ZERO,
            tokens: 0,
        };
        while let Some(Ok(frame)) = body.frame().await {
            if let Some(chunk) = frame.data_ref() {
                reader.push(chunk);
            }
            while let Some(data) = reader.next_event() {
                if data == DONE_MARKER {
                    // Reading on to the end gives the connection back.
                    while let Some(Ok(_)) = body.frame().await {}
                    return Some(times);
                }
                times.count(started);
            }
        }
        None
    }
}

impl RequestTimes {
    fn count(&mut self, started: Instant) {
        if self.tokens == 0 {
            self.first = started.elapsed();
        }
        self.tokens += 1;
    }
}

fn completion_call(
    number: u64,
    max_tokens: u32,
    params: KvTransferParams,
    stream: bool,
) -> CompletionCall {
    CompletionCall {
        kv_transfer_params: Some(params),
        max_tokens: Some(max_tokens),
        model: MODEL.into(),
        priority: 0,
        prompt: prompt(number).into(),
        stream,
    }
}

/// A prompt that no other request has, so that no prefix cache helps.
fn prompt(number: u64) -> String {
    let mut prompt = format!("request {number} ");
    while prompt.len() < PROMPT_BYTES {
        prompt.push_str("soundings ");
    }
    prompt.truncate(PROMPT_BYTES);
    prompt
}
