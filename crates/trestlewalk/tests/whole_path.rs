//! End-to-end requests from the caller to the last token, through separate processes.

mod support;

use {
    fake::{LengthSpread, expected_length, expected_token},
    serde_json::{Value, json},
    support::{Fleet, FleetPlan, TABLE, wait_until},
};

const PROMPT: &str = "Line check of the inner harbour: summarise the soundings of the morning.";

async fn start() -> Fleet {
    let fleet = FleetPlan::new()
        .zones(&["gijon"])
        .entries(3)
        .prefill(2)
        .decode(2)
        .plain(1)
        .start()
        .await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
    }
    fleet
}

fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let length = expected_length(prompt, max_tokens, LengthSpread::default());
    (0..length)
        .map(|index| expected_token(prompt, index).to_string())
        .collect()
}

fn streamed_text(events: &[String]) -> String {
    let chunks = events.iter().filter(|event| *event != "[DONE]");
    let values = chunks.map(|event| serde_json::from_str::<Value>(event).unwrap());
    values
        .map(|chunk| {
            chunk["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        })
        .collect()
}

#[tokio::test]
async fn every_instance_answers_whole_json_completions() {
    let fleet = start().await;
    for entry in fleet.entry_names() {
        let body = json!({ "model": "sondeo", "prompt": PROMPT, "max_tokens": 24 });
        let reply = fleet
            .entry(&entry)
            .post("/v1/completions")
            .work("assist")
            .json(&body)
            .send()
            .await;
        assert_eq!(
            (reply.status.as_u16(), reply.code()),
            (200, 1000),
            "{entry}: {}",
            reply.text()
        );
        let text = reply.json::<Value>()["choices"][0]["text"]
            .as_str()
            .unwrap()
            .to_owned();
        assert_eq!(text, expected_text(PROMPT, 24));
    }
}

#[tokio::test]
async fn a_stream_ends_with_the_done_marker_and_has_every_token() {
    let fleet = start().await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 24, "stream": true });
    let mut reply = fleet
        .entry("gijon-1")
        .post("/v1/completions")
        .work("report")
        .json(&body)
        .stream()
        .await;
    let events = reply.all_events().await;
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(streamed_text(&events), expected_text(PROMPT, 24));
}

#[tokio::test]
async fn a_chat_is_answered_as_chat() {
    let fleet = start().await;
    let body = json!({ "messages": [{ "role": "user", "content": "Which kiln is free?" }], "max_tokens": 8 });
    let reply = fleet
        .entry("gijon-2")
        .post("/v1/chat/completions")
        .work("assist")
        .json(&body)
        .send()
        .await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    let prompt = "user: Which kiln is free?\nassistant:";
    let answer = reply.json::<Value>();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text(prompt, 8)
    );
}

#[tokio::test]
async fn a_plain_service_is_called_once_a_request() {
    let fleet = start().await;
    let call = fleet
        .entry("gijon-3")
        .post("/services/carta/slots/7")
        .work("confirm")
        .body("kiln 7");
    let reply = call.header("x-request-id", "slot-7").send().await;
    assert_eq!(
        (reply.status.as_u16(), reply.code()),
        (200, 1000),
        "{}",
        reply.text()
    );
    let counters = fleet.counters("gijon-plain-1").await;
    assert_eq!(counters["runs_by_key"]["slot-7"], 1, "{counters}");
}

#[tokio::test]
async fn an_upstreams_places_are_free_after_the_answer() {
    let fleet = start().await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 4 });
    let reply = fleet
        .entry("gijon-1")
        .post("/v1/completions")
        .work("assist")
        .json(&body)
        .send()
        .await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    for engine in ["gijon-decode-1", "gijon-decode-2"] {
        wait_until("the decode places are free", async || {
            fleet.counters(engine).await["places_used"] == 0
        })
        .await;
    }
}
