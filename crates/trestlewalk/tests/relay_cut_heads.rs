//! Answers that end within their head, or before their end, at each byte.
//!
//! Guards against a caller that gets a status with an empty or short body, framed as whole.

mod relay_support;
mod support;

use {
    platform::RowStore,
    relay::{CallReason, ConnectionTimeouts, OperatorSource, StoreCalls},
    relay_support::{
        DirectFleet, RelayRun, RelayTest, UpstreamKind, UpstreamMode, UpstreamStandIn,
        engine_answers::OWN_ANSWER, relay_test::STREAM_HEADERS, upstream::AnswerCut,
    },
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time,
    },
};

/// Less than the head of an answer of an engine.
const HEAD_BYTES: usize = 108;
/// Less than a whole answer of any stand-in.
const PART_BYTES: usize = 125;
/// How long an answer of the store is waited for.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

async fn start() -> RelayRun {
    RelayTest::new()
        .plain("carta", 1)
        .plain("marea", 2)
        .engines("redactor", 1, 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .route("/m/", "safe", "marea", &json!({"MaxAttempts": 2}))
        .route("/w/", "streaming", "redactor", &json!({"TargetGapMs": 300}))
        .start_ready()
        .await
}

/// All cuts of so many bytes.
fn cuts(bytes: usize) -> impl Iterator<Item = AnswerCut> {
    (0..bytes).flat_map(|bytes| {
        [false, true].map(|resets| AnswerCut {
            bytes,
            of_own_calls: false,
            resets,
        })
    })
}

#[tokio::test]
async fn no_cut_answer_of_a_plain_service_is_complete() {
    let run = start().await;
    for cut in cuts(PART_BYTES) {
        run.upstream("i-carta-0").set(UpstreamMode::Cut(cut));
        let reply = run.call("POST", "/t/1", "x").await;
        assert_eq!((reply.status(), reply.whole), (502, true), "{cut:?}");
    }
    run.upstream("i-carta-0").set(UpstreamMode::Answer);
    assert_eq!(run.call("POST", "/t/1", "x").await.status(), 200);
}

/// Guards against a repeated request that gets what came of its first answer.
#[tokio::test]
async fn a_safe_request_whose_answer_was_cut_gets_the_answer_of_its_repeat_or_none() {
    let run = start().await;
    let mut repeated = 0;
    for cut in cuts(PART_BYTES) {
        run.upstream("i-marea-0").set(UpstreamMode::Cut(cut));
        let reply = run.call("GET", "/m/1", "").await;
        assert!(reply.whole, "{cut:?}");
        match reply.status() {
            200 => {
                repeated += 1;
                assert_eq!(reply.header("x-response-signature"), Some("sig-i-marea-1"));
                assert!(reply.text().starts_with("answer to "), "{cut:?}");
            }
            status => assert_eq!(status, 502, "{cut:?}"),
        }
    }
    assert!(repeated > 0);
}

#[tokio::test]
async fn no_cut_answer_of_a_model_engine_is_complete() {
    let run = start().await;
    for cut in cuts(PART_BYTES) {
        run.upstream("i-redactor-d0").set(UpstreamMode::Cut(cut));
        let reply = run.stream("/w/1").await;
        let is_told = (reply.status(), reply.whole) == (502, true);
        let is_cut = cut.bytes >= HEAD_BYTES && (reply.status(), reply.whole) == (200, false);
        assert!(is_told || is_cut, "{cut:?}: {}", reply.status());
    }
    run.upstream("i-redactor-d0").set(UpstreamMode::Answer);
    assert_eq!(run.stream("/w/1").await.status(), 200);
}

/// A prompt that was not read apart is read by the engine that continues with it.
#[tokio::test]
async fn a_cut_answer_to_a_prefill_is_no_kv_cache() {
    let run = start().await;
    for cut in cuts(PART_BYTES) {
        run.upstream("i-redactor-p0").set(UpstreamMode::Cut(cut));
        let reply = run.stream("/w/1").await;
        assert_eq!((reply.status(), reply.whole), (200, true), "{cut:?}");
    }
    for call in run.upstream("i-redactor-d0").runs() {
        assert_eq!(call.message.header("x-kv-source"), None);
    }
}

#[tokio::test]
async fn a_cut_answer_to_a_reservation_reserves_nothing() {
    let run = start().await;
    let engine = run.upstream("i-redactor-d0");
    for cut in cuts(OWN_ANSWER.len()) {
        let cut = AnswerCut {
            of_own_calls: true,
            ..cut
        };
        engine.set(UpstreamMode::Cut(cut));
        let reply = run.stream("/w/1").await;
        assert_eq!((reply.status(), reply.whole), (503, true), "{cut:?}");
    }
    assert_eq!(engine.runs().len(), 0);
    engine.set(UpstreamMode::Answer);
    wait_until("the engine is used again", async || {
        run.stream("/w/1").await.status() == 200
    })
    .await;
}

fn set_cut(upstreams: &[UpstreamStandIn], cut: AnswerCut) {
    for upstream in upstreams {
        let is_prefill = upstream.state.lock().unwrap().kind == UpstreamKind::Prefill;
        upstream.set(match is_prefill {
            true => UpstreamMode::Answer,
            false => UpstreamMode::Cut(cut),
        });
    }
}

#[tokio::test]
async fn no_cut_answer_is_complete_through_another_instance() {
    let fleet = DirectFleet::start(2).await;
    fleet.cut_noticed(0).await;
    for cut in cuts(PART_BYTES).step_by(3) {
        set_cut(&fleet.upstreams, cut);
        let plain = fleet.send(0, "POST", "/b/1", "").await;
        assert_eq!((plain.status(), plain.whole), (502, true), "{cut:?}");
        let stream = fleet.send(0, "POST", "/s/1", STREAM_HEADERS).await;
        let is_told = (stream.status(), stream.whole) == (502, true);
        let is_cut = cut.bytes >= HEAD_BYTES && (stream.status(), stream.whole) == (200, false);
        assert!(is_told || is_cut, "{cut:?}: {}", stream.status());
    }
}

/// A list of which a part is missing would take the others for gone.
#[tokio::test]
async fn a_cut_answer_of_the_store_fails_a_call() {
    let rows = r#"{"Rows":[],"HasMore":false,"Ver":1}"#;
    let chunk = format!("{:x}\r\n{rows}\r\n0\r\n\r\n", rows.len());
    let bodies = [
        format!("Content-Length: {}\r\n\r\n{rows}", rows.len()),
        format!("Transfer-Encoding: chunked\r\n\r\n{chunk}"),
        format!("\r\n{rows}"),
    ];
    for body in bodies {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{body}");
        for cut in cuts(answer.len()) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let sent = answer.clone();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 4096]).await;
                cut.send(&mut stream, &sent).await;
                let _ = stream.shutdown().await;
            });
            let times = ConnectionTimeouts::builder()
                .connect(Duration::from_secs(2))
                .peer_timeout(Duration::from_secs(2))
                .build();
            let store = RowStore::new(address, times, StoreCalls::new());
            let reading = store.read_upstreams(CallReason::Start);
            let outcome = time::timeout(ANSWER_WAIT, reading).await;
            assert!(
                !outcome.is_ok_and(|read| read.is_ok()),
                "{cut:?} {answer:?}"
            );
        }
    }
}
