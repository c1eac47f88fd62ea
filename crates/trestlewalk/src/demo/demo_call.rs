//! The caller of the demonstration: sends requests and checks every byte of their answers.

use {
    crate::demo::{
        day_plan::DayArrival,
        day_report::{CallOutcome, CallTimes},
        system_plan::LENGTH_SPREAD,
    },
    bytes::Bytes,
    engine::{
        HttpPool, PooledBody, SseReader,
        wire::{BYTES_PER_TOKEN, DONE_MARKER},
    },
    http::{Method, Request, Response, header},
    http_body_util::{BodyExt, Full},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to entry instances. Clones share their connections.
#[derive(Clone)]
pub struct DemoCaller {
    pool: HttpPool<Full<Bytes>>,
}

impl Default for DemoCaller {
    fn default() -> Self {
        Self {
            pool: HttpPool::new(CONNECT_TIMEOUT),
        }
    }
}

impl DemoCaller {
    /// Sends one request to an entry instance, reads its answer and compares it with the expected one.
    pub async fn call(&self, address: SocketAddr, arrival: &DayArrival) -> CallOutcome {
        let prompt = prompt(arrival);
        let Some(request) = build(address, arrival, &prompt) else {
            return CallOutcome::Failed("the request can't be built".to_owned());
        };
        let started = Instant::now();
        let response = match self.pool.send(address, request, false).await {
            Ok(response) => response,
            Err(error) => return CallOutcome::Failed(error.to_string()),
        };
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        if arrival.work.max_tokens == 0 {
            return read_plain(response, started).await;
        }
        let length = fake::expected_length(&prompt, arrival.work.max_tokens, LENGTH_SPREAD);
        read_stream(
            response,
            started,
            &fake::expected_answer::expected_text(&prompt, length),
        )
        .await
    }
}

fn build(address: SocketAddr, arrival: &DayArrival, prompt: &str) -> Option<Request<Full<Bytes>>> {
    let is_plain = arrival.work.max_tokens == 0;
    let body = match is_plain {
        true => Vec::new(),
        false => {
            let body =
                json!({ "max_tokens": arrival.work.max_tokens, "prompt": prompt, "stream": true });
            serde_json::to_vec(&body).ok()?
        }
    };
    Request::builder()
        .method(if is_plain { Method::GET } else { Method::POST })
        .uri(arrival.work.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header("trestlewalk-work", arrival.work.work)
        .header("x-request-id", format!("demo-{}", arrival.number))
        .body(Full::new(body.into()))
        .ok()
}

/// Makes a prompt of the planned length that no other request of the day has.
fn prompt(arrival: &DayArrival) -> String {
    let length = arrival.prompt_tokens as usize * BYTES_PER_TOKEN;
    let mut prompt = format!("{} {}: ", arrival.work.work, arrival.number);
    while prompt.len() < length {
        prompt.push_str("notes of the season ");
    }
    prompt.truncate(length.max(1));
    prompt
}

async fn read_plain(response: Response<PooledBody<Full<Bytes>>>, started: Instant) -> CallOutcome {
    match response.into_body().collect().await {
        Ok(_) => CallOutcome::Answered(CallTimes {
            between: Vec::new(),
            first: started.elapsed(),
        }),
        Err(error) => CallOutcome::Failed(error.to_string()),
    }
}

async fn read_refusal(response: Response<PooledBody<Full<Bytes>>>) -> CallOutcome {
    let Ok(body) = response.into_body().collect().await else {
        return CallOutcome::Failed("the refusal can't be read".to_owned());
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    match body["error"]["not_run"].as_bool() {
        Some(true) => CallOutcome::Refused,
        _ => CallOutcome::Failed(
            body["error"]["message"]
                .as_str()
                .unwrap_or("no reason")
                .to_owned(),
        ),
    }
}

async fn read_stream(
    response: Response<PooledBody<Full<Bytes>>>,
    started: Instant,
    expected: &str,
) -> CallOutcome {
    let mut body = response.into_body();
    let mut reader = SseReader::new();
    let mut text = String::new();
    let mut times = CallTimes::default();
    let mut last = None;
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(chunk) = frame.data_ref() {
            reader.push(chunk);
        }
        while let Some(data) = reader.next_event() {
            if data == DONE_MARKER {
                return check_text(&text, expected, times);
            }
            let chunk: Value = serde_json::from_slice(&data).unwrap_or_default();
            let Some(token) = chunk["choices"][0]["text"].as_str() else {
                return CallOutcome::Failed(chunk["error"]["message"].to_string());
            };
            text.push_str(token);
            times.record_token(started, &mut last);
        }
    }
    CallOutcome::Failed("the stream was cut".to_owned())
}

fn check_text(text: &str, expected: &str, times: CallTimes) -> CallOutcome {
    match text == expected {
        true => CallOutcome::Answered(times),
        false => CallOutcome::Failed("the answer is not the expected one".to_owned()),
    }
}
