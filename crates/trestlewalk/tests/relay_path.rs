//! The whole path of `relay` with separate processes: callers, the binary, upstreams and the store.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, relay_test::STREAM_HEADERS},
    serde_json::json,
};

#[tokio::test]
async fn a_plain_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/tide/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    let more = "X-Deadline-Ms: 4000\r\nX-Colour: blue\r\nX-Stage: prefill\r\nX-Kv-Source: 1.2.3.4:5/x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    let reply = run
        .call_with("POST", "/tide/a/b?c=%20d", "00ab", more, "the body")
        .await;
    assert_eq!(
        (reply.status(), reply.text().as_str()),
        (200, "answer to 00ab")
    );
    assert_eq!(reply.header("x-response-signature"), Some("sig-i-carta-0"));
    assert_eq!(reply.header("x-kept"), Some("yes"));
    let received = &run.upstream("i-carta-0").runs()[0].message;
    assert_eq!(received.start, "POST /tide/a/b?c=%20d HTTP/1.1");
    assert_eq!(received.body, b"the body");
    assert_eq!(received.header("host"), Some("shop.example"));
    assert_eq!(received.header("x-request-id"), Some("00ab"));
    assert_eq!(received.header("x-colour"), Some("blue"));
    assert_eq!(received.header("x-expect-instance"), Some("i-carta-0"));
    for own in ["x-stage", "x-kv-source", "x-hop"] {
        assert_eq!(received.header(own), None, "{own}");
    }
    let left: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 4000, "{left}");
}

#[tokio::test]
async fn a_stream_is_read_apart_runs_at_its_reserved_place_and_comes_back_whole() {
    let run = RelayTest::new()
        .engines("redactor", 1, 1)
        .route(
            "/note/",
            "streaming",
            "redactor",
            &json!({"TargetGapMs": 300, "Priority": 3}),
        )
        .start_ready()
        .await;
    let reply = run
        .call_with("POST", "/note/1", "00cd", STREAM_HEADERS, "the prompt")
        .await;
    assert_eq!((reply.status(), reply.whole), (200, true));
    let events: Vec<String> = (1..=5)
        .map(relay_support::engine_answers::event_text)
        .collect();
    assert_eq!(reply.text(), events.concat());
    let read = &run.upstream("i-redactor-p0").received()[0].message;
    assert_eq!(read.header("x-stage"), Some("prefill"));
    assert_eq!(read.body, b"the prompt");
    let decode = run.upstream("i-redactor-d0").received();
    assert_eq!(decode[0].message.start, "POST /hold-take HTTP/1.1");
    let order: serde_json::Value = serde_json::from_slice(&decode[0].message.body).unwrap();
    assert_eq!(order, json!({"Tokens": 1500, "TtlMs": 2000}));
    let ran = &decode[1].message;
    assert_eq!(ran.header("x-kv-hold"), Some("hold-1"));
    let prefill = run.upstream("i-redactor-p0").address;
    assert_eq!(
        ran.header("x-kv-source"),
        Some(format!("{prefill}/kv-00cd").as_str())
    );
    assert_eq!(ran.header("x-request-priority"), Some("3"));
    assert_eq!(ran.header("x-token-usage"), Some("1460,80"));
    assert_eq!(ran.header("x-stage"), None);
    assert_eq!(decode.len(), 2);
}

#[tokio::test]
async fn the_longest_prefix_of_the_host_wins() {
    let run = RelayTest::new()
        .plain("a", 1)
        .plain("b", 1)
        .route("/x/", "safe", "a", &json!({}))
        .route("/x/y/", "safe", "b", &json!({}))
        .start_ready()
        .await;
    let signer = async |path: &str| {
        let reply = run.call("GET", path, "").await;
        reply.header("x-response-signature").map(str::to_owned)
    };
    assert_eq!(signer("/x/1").await.as_deref(), Some("sig-i-a-0"));
    assert_eq!(signer("/x/y/1").await.as_deref(), Some("sig-i-b-0"));
    assert_eq!(signer("/x/y").await.as_deref(), Some("sig-i-a-0"));
    assert_eq!(run.call("GET", "/z/1", "").await.status(), 404);
}

#[tokio::test]
async fn a_connection_serves_one_request_after_the_other_and_pipelined_ones_in_order() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut caller = run.caller().await;
    let first = relay_support::caller::request_text("GET", "/t/1", "0001", "", "");
    let second = relay_support::caller::request_text("GET", "/t/2", "0002", "", "");
    caller.write(&format!("{first}{second}")).await;
    assert_eq!(caller.read().await.text(), "answer to 0001");
    assert_eq!(caller.read().await.text(), "answer to 0002");
}
