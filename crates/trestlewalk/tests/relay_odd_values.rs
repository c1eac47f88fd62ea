//! Values of answers and entries that are put into further calls, whatever characters they have.
//!
//! Guards against a value that is left out of a call since no header can carry it, or that changes the path it is put into.

mod relay_support;
mod support;

use {
    http::{Method, Request},
    platform::HttpDialect,
    policy::{UpstreamRecord, UpstreamStage},
    relay::{EngineResource, KvHandle, UpstreamDialect},
    relay_support::{
        RelayTest, UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    serde_json::json,
    std::time::Duration,
};

/// Names of KV caches and reservations, each with the path that releases it.
const NAMES: [(&str, &str); 6] = [
    ("3fa09c", "3fa09c"),
    ("a?b", "a%3Fb"),
    ("a#b", "a%23b"),
    ("../other", "..%2Fother"),
    ("a b", "a%20b"),
    ("ķ\u{1}", "%C4%B7%01"),
];

fn engine() -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for: Duration::ZERO,
        id: "i-1".into(),
        leaving: false,
        name: "i-1".into(),
        report_number: None,
        service: "redactor".into(),
        slots: 8,
        software: "v1".into(),
        stage: UpstreamStage::Decode,
        zone: "gijon".into(),
    }
}

// Guards against the release of another resource, or of none.
#[test]
fn a_resource_is_released_under_its_name_whatever_characters_it_has() {
    let engine = engine();
    for (name, path) in NAMES {
        let kv = EngineResource::Kv(KvHandle {
            address: engine.address,
            name: name.into(),
        });
        let slot = EngineResource::Slot(name.into());
        for (resource, prefix) in [(kv, "/kv-handle/"), (slot, "/hold-drop/")] {
            let call: Request<_> = HttpDialect.release_call(&engine, &resource);
            assert_eq!(call.method(), Method::DELETE);
            assert_eq!(call.uri().to_string(), format!("{prefix}{path}"));
        }
    }
}

// Guards against a request that runs without the name of its customer, since no header can carry it.
#[tokio::test]
async fn a_customer_with_any_name_is_named_to_upstreams() {
    let customers = json!([{"Name": "Māla Krāsns", "ApiKeys": ["k-1"]}, {"Name": "a\u{1}b", "ApiKeys": ["k-2"]}]);
    let run = RelayTest::new()
        .plain("carta", 1)
        .customers(customers)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let send = async |key: &str| {
        let more = format!("Authorization: Token {key}\r\n");
        run.call_with("POST", "/t/1", &fresh_id(), &more, "x").await
    };
    assert_eq!(send("k-1").await.status(), 200);
    let runs = run.upstreams[0].runs();
    assert_eq!(runs[0].message.header("x-tenant"), Some("Māla Krāsns"));
    // A name that no header can carry is no customer, so that nothing runs without one.
    assert_eq!(send("k-2").await.status(), 401);
    assert_eq!(run.upstreams[0].runs().len(), 1);
}

/// Ids of events that no call can name, so that a stream can't go on after them.
const UNFIT_IDS: [&[u8]; 4] = [b"a\x01b", b"a\x7fb", b"\xff", b""];

// Guards against a stream that begins anew in the middle of an answer: the id of its last event was left out of the call.
#[tokio::test]
async fn a_stream_whose_last_event_no_call_can_name_is_cut() {
    let more = json!({"TargetGapMs": 300, "Resumable": true, "MaxAttempts": 2});
    let run = RelayTest::new()
        .engines("redactor", 2, 0)
        .route("/note/", "streaming", "redactor", &more)
        .start_ready()
        .await;
    for id in UNFIT_IDS {
        let event = [b"id: ", id, b"\ndata: token-1\n\n"].concat();
        for engine in &run.upstreams {
            engine.set(UpstreamMode::CutAfterEvent(event.clone().leak()));
        }
        let mut caller = run.caller().await;
        let text = request_text("POST", "/note/1", &fresh_id(), STREAM_HEADERS, "p");
        caller.write(&text).await;
        let reply = caller.read().await;
        assert_eq!((reply.status(), reply.whole), (200, false), "{id:?}");
        assert_eq!(reply.message.body, event, "{id:?}");
    }
}
