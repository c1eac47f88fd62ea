//! Callers and upstreams that read slowly: what an instance holds for them, and that others are served.

mod relay_support;
mod support;

use {
    relay_support::{
        Caller, RelayRun, RelayTest, UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
    tokio::time::{self, Instant},
};

const SLOW_CALLERS: usize = 1_000;
const STREAM_BYTES: usize = 1 << 20;
/// The memory of the instance as its settings state it.
const INSTANCE_BYTES: usize = 128_000_000;

fn one_engine() -> RelayTest {
    RelayTest::new()
        .plain("carta", 1)
        .engines("redactor", 1, 1)
        .route("/t/", "safe", "carta", &json!({"TimeoutMs": 60_000}))
        .route(
            "/w/",
            "streaming",
            "redactor",
            &json!({"TimeoutMs": 60_000, "TargetLatencyMs": 30_000}),
        )
}

/// Sends a request whose answer nobody reads.
async fn start_slow(run: &RelayRun) -> Caller {
    let mut caller = Caller::connect_slow(run.process.address("callers")).await;
    let more = STREAM_HEADERS.replace("4000", "60000");
    let text = request_text("POST", "/w/1", &fresh_id(), &more, "the prompt");
    caller.write(&text).await;
    caller
}

async fn start_slow_callers(run: &RelayRun, count: usize) -> Vec<Caller> {
    run.upstream("i-redactor-d0")
        .set(UpstreamMode::Flood(STREAM_BYTES));
    let mut callers = Vec::new();
    for _ in 0..count {
        callers.push(start_slow(run).await);
    }
    let engine = run.upstream("i-redactor-d0");
    wait_until("all streams run", async || engine.runs().len() == count).await;
    // Until nothing more can be read from the engine.
    time::sleep(Duration::from_secs(1)).await;
    callers
}

/// Without limits the streams take 1 GB.
#[tokio::test]
async fn a_thousand_callers_that_do_not_read_stay_within_the_memory_and_delay_nobody() {
    let run = one_engine().start_ready().await;
    let callers = start_slow_callers(&run, SLOW_CALLERS).await;
    let memory = run.process.memory_bytes();
    assert!(memory < INSTANCE_BYTES, "{memory}");
    run.upstream("i-redactor-d0").set(UpstreamMode::Answer);
    for _ in 0..10 {
        let began = Instant::now();
        assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
        let reply = run.stream("/w/1").await;
        assert!(reply.status() == 200 && reply.whole);
        assert!(began.elapsed() < Duration::from_secs(1));
    }
    drop(callers);
}

#[tokio::test]
async fn a_caller_that_reads_late_gets_the_whole_answer() {
    let run = one_engine().start_ready().await;
    let mut callers = start_slow_callers(&run, 3).await;
    for caller in &mut callers {
        let reply = caller.read().await;
        assert_eq!((reply.status(), reply.whole), (200, true));
        assert_eq!(reply.message.body.len(), STREAM_BYTES);
    }
}

/// How many callers send their bodies slowly, and how.
const SLOW_SENDERS: usize = 60;
const SMALL_PIECE_BYTES: usize = 60;
const SMALL_PIECES: usize = 1_000;

// Guards against small pieces of which each keeps the read buffer of its connection.
#[tokio::test]
async fn bodies_in_small_pieces_take_their_size() {
    let run = one_engine().start_ready().await;
    let piece = format!(
        "{SMALL_PIECE_BYTES:x}\r\n{}\r\n",
        "x".repeat(SMALL_PIECE_BYTES)
    );
    let mut callers = Vec::new();
    for _ in 0..SLOW_SENDERS {
        let mut caller = run.caller().await;
        let more = "X-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n";
        caller
            .write(&request_text("POST", "/t/1", &fresh_id(), more, ""))
            .await;
        callers.push(caller);
    }
    for _ in 0..SMALL_PIECES {
        for caller in &mut callers {
            caller.write(&piece).await;
        }
        // Each piece is read by itself.
        time::sleep(Duration::from_millis(2)).await;
    }
    let memory = run.process.memory_bytes();
    assert!(memory < INSTANCE_BYTES, "{memory}");
    for caller in &mut callers {
        caller.write("0\r\n\r\n").await;
        assert_eq!(caller.read().await.status(), 200);
    }
    let sent = run.upstream("i-carta-0").runs();
    assert!(
        sent.iter()
            .all(|call| call.message.body.len() == SMALL_PIECES * SMALL_PIECE_BYTES)
    );
}

/// Large bodies that wait for an upstream share a part of the memory. What does not fit is refused as not run.
#[tokio::test]
async fn bodies_beyond_the_memory_for_them_are_refused_as_not_run() {
    let run = one_engine().memory_mb("1").start_ready().await;
    run.upstream("i-carta-0")
        .set(UpstreamMode::Slow(Duration::from_millis(800)));
    let body = "x".repeat(60_000);
    let calls = (0..12).map(|_| run.call("POST", "/t/1", &body));
    let replies = futures_util::future::join_all(calls).await;
    let count = |status| {
        replies
            .iter()
            .filter(|reply| reply.status() == status)
            .count()
    };
    assert!(count(200) >= 3 && count(503) >= 3, "{replies:?}");
    assert_eq!(count(200) + count(503), 12);
    for reply in replies.iter().filter(|reply| reply.status() == 503) {
        assert_eq!(reply.header("trestlewalk-result"), Some("2023"));
        assert!(reply.header("retry-after").is_some());
    }
    assert_eq!(run.upstream("i-carta-0").runs().len(), count(200));
    // The memory is free again once the answers are sent.
    assert_eq!(run.call("POST", "/t/1", &body).await.status(), 200);
}
