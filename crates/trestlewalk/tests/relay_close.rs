//! Shutdown by SIGTERM: no request in progress is cut, and late ones are refused as not run.

mod relay_support;
mod support;

use {
    relay_support::{
        Caller, RelayRun, RelayTest, UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
    tokio::time,
};

/// Connections on which a request meets a choice between two events.
const CONNECTIONS: usize = 12;

/// An answer far larger than what the kernel buffers of a connection.
const LARGE_BYTES: usize = 12 << 20;

/// A caller that has read nothing yet of a large answer, which the upstream has given in full.
async fn start_large_answer(run: &RelayRun) -> Caller {
    run.upstreams[0].set(UpstreamMode::Large(LARGE_BYTES));
    let mut caller = Caller::connect_slow(run.process.address("callers")).await;
    caller
        .write(&request_text("POST", "/t/1", "0001", "", "x"))
        .await;
    wait_until("the answer is passed on", async || {
        let lines = run.metric_lines("trestlewalk_relay_requests_total").await;
        lines.iter().any(|line| line.contains("1000"))
    })
    .await;
    caller
}

async fn check_large_answer(mut caller: Caller) {
    let reply = caller.read().await;
    assert_eq!((reply.status(), reply.whole), (200, true));
    assert_eq!(reply.message.body.len(), LARGE_BYTES);
}

/// A run whose connections may be idle for a moment only.
async fn run_with_idle_timeout() -> RelayRun {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    run.change(|config| config["Limits"]["IdleTimeoutMs"] = json!(400));
    let version = run.version();
    wait_until("the limits are in force", async || {
        let lines = run.metric_lines("trestlewalk_relay_table_version").await;
        lines
            .iter()
            .any(|line| line.ends_with(&format!(" {version}")))
    })
    .await;
    run
}

// Guards against a connection that counts as idle when the server has taken an answer, and not when it has written it.
#[tokio::test]
async fn a_close_waits_for_answers_that_callers_still_read() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let caller = start_large_answer(&run).await;
    run.process.signal(Signal::TERM);
    time::sleep(Duration::from_secs(2)).await;
    check_large_answer(caller).await;
}

// The same without a signal.
#[tokio::test]
async fn an_answer_may_take_longer_to_read_than_the_idle_timeout() {
    let run = run_with_idle_timeout().await;
    let caller = start_large_answer(&run).await;
    time::sleep(Duration::from_secs(2)).await;
    check_large_answer(caller).await;
}

// Guards against a caller that holds memory for as long as it likes.
#[tokio::test]
async fn an_answer_that_nobody_reads_is_cut() {
    let run = run_with_idle_timeout().await;
    let caller = start_large_answer(&run).await;
    let before = run.process.memory_bytes();
    wait_until("the memory of the answer is free", async || {
        run.process.memory_bytes() + LARGE_BYTES / 2 < before
    })
    .await;
    drop(caller);
}

#[tokio::test]
async fn a_close_finishes_what_runs_and_ends_idle_connections() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut silent = run.caller().await;
    let mut kept = run.caller().await;
    kept.write(&request_text("POST", "/t/0", "0000", "", "x"))
        .await;
    assert_eq!(kept.read().await.status(), 200);
    run.upstreams[0].set(UpstreamMode::Slow(Duration::from_millis(1500)));
    let mut busy = run.caller().await;
    busy.write(&request_text("POST", "/t/1", "0001", "", "x"))
        .await;
    wait_until("the request runs", async || {
        run.upstreams[0].runs().len() == 2
    })
    .await;
    run.process.signal(Signal::TERM);
    wait_until("the instance is not ready", async || {
        run.ready_status().await == 503
    })
    .await;
    assert!(kept.ends().await);
    assert!(silent.ends().await);
    let reply = busy.read().await;
    assert_eq!(
        (reply.status(), reply.text().as_str()),
        (200, "answer to 0001")
    );
    assert!(busy.ends().await);
    assert!(run.process.wait_exit().await.success());
}

#[tokio::test]
async fn a_request_that_comes_after_the_close_began_in_earnest_is_not_run() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut idle = run.caller().await;
    // A long request keeps the process running.
    run.upstreams[0].set(UpstreamMode::Slow(Duration::from_secs(15)));
    let mut busy = run.caller().await;
    busy.write(&request_text(
        "POST",
        "/t/1",
        "0001",
        "X-Deadline-Ms: 60000\r\n",
        "x",
    ))
    .await;
    wait_until("the request runs", async || {
        run.upstreams[0].runs().len() == 1
    })
    .await;
    run.process.signal(Signal::TERM);
    assert!(idle.ends().await);
    let mut refused = None;
    wait_until("a late request is refused", async || {
        let reply = run.call("POST", "/t/2", "late").await;
        refused = Some(reply).filter(|reply| reply.status() == 503);
        refused.is_some()
    })
    .await;
    let reply = refused.unwrap();
    assert_eq!(reply.header("trestlewalk-result"), Some("2008"));
    assert!(reply.header("retry-after").is_some());
    assert_eq!(run.upstreams[0].runs().len(), 1);
}

/// Connections on each of which one request was answered.
async fn used_connections(run: &RelayRun) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut caller = run.caller().await;
        caller.write(&next_request()).await;
        assert_eq!(caller.read().await.status(), 200);
        callers.push(caller);
    }
    callers
}

fn next_request() -> String {
    request_text("POST", "/t/1", &fresh_id(), "", "x")
}

// Guards against the end of the idle timeout and a request that are noticed in the same moment, as after a pause of the host:
// the connection was closed with the request unread.
#[tokio::test]
async fn a_request_within_the_idle_timeout_is_answered_although_the_process_stood_still() {
    let run = run_with_idle_timeout().await;
    let mut callers = used_connections(&run).await;
    run.process.pause().await;
    for caller in &mut callers {
        caller.write(&next_request()).await;
    }
    time::sleep(Duration::from_secs(1)).await;
    run.process.signal(Signal::CONT);
    for caller in &mut callers {
        assert_eq!(caller.read().await.status(), 200);
    }
}

// The same with the end of the time in which a closing instance serves new requests.
#[tokio::test]
async fn a_request_that_came_before_idle_connections_are_closed_gets_an_answer() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .settle("3s")
        .start_ready()
        .await;
    let mut callers = used_connections(&run).await;
    run.process.signal(Signal::TERM);
    wait_until("the instance is not ready", async || {
        run.ready_status().await == 503
    })
    .await;
    run.process.pause().await;
    for caller in &mut callers {
        caller.write(&next_request()).await;
    }
    time::sleep(Duration::from_secs(4)).await;
    run.process.signal(Signal::CONT);
    for caller in &mut callers {
        let status = caller.read().await.status();
        assert!([200, 503].contains(&status), "{status}");
    }
}

// Guards against a closing instance that ends a new connection before the request on it arrives, so that its caller does not
// learn that the request was not run.
#[tokio::test]
async fn requests_on_new_connections_to_a_closing_instance_are_refused() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut idle = run.caller().await;
    // A long request keeps the process running.
    run.upstreams[0].set(UpstreamMode::Slow(Duration::from_secs(15)));
    let mut busy = run.caller().await;
    let more = "X-Deadline-Ms: 60000\r\n";
    busy.write(&request_text("POST", "/t/1", "0001", more, "x"))
        .await;
    wait_until("the request runs", async || {
        run.upstreams[0].runs().len() == 1
    })
    .await;
    run.process.signal(Signal::TERM);
    assert!(idle.ends().await);
    for _ in 0..CONNECTIONS {
        let mut caller = run.caller().await;
        time::sleep(Duration::from_millis(20)).await;
        caller.write(&next_request()).await;
        assert_eq!(caller.read().await.status(), 503);
    }
}

// Guards against signals during a close that end the process, and against a close that cuts a stream, a body that arrives slowly
// or a request that waits for a place.
#[tokio::test]
async fn a_close_finishes_streams_slow_bodies_and_waiting_requests_whatever_signals_follow() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .engines("redactor", 1, 0)
        .route("/t/", "unsafe", "carta", &json!({}))
        .route(
            "/s/",
            "streaming",
            "redactor",
            &json!({"TargetLatencyMs": 20_000}),
        )
        .start_ready()
        .await;
    let engine = run.upstream("i-redactor-d0").clone();
    engine.set(UpstreamMode::PauseAfter(2, Duration::from_millis(1200)));
    let mut streaming = run.caller().await;
    streaming.write(&next_stream()).await;
    wait_until("the stream runs", async || engine.runs().len() == 1).await;
    engine.set(UpstreamMode::Shed);
    let mut waiting = run.caller().await;
    waiting.write(&next_stream()).await;
    let mut slow = run.caller().await;
    let text = request_text("POST", "/t/1", &fresh_id(), "", &"x".repeat(40_000));
    let (before, after) = text.split_at(text.len() - 10_000);
    slow.write(before).await;
    time::sleep(Duration::from_millis(100)).await;
    for signal in [Signal::HUP, Signal::TERM, Signal::TERM, Signal::HUP] {
        run.process.signal(signal);
    }
    wait_until("the instance is not ready", async || {
        run.ready_status().await == 503
    })
    .await;
    time::sleep(Duration::from_millis(300)).await;
    run.process.signal(Signal::TERM);
    engine.set(UpstreamMode::Answer);
    slow.write(after).await;
    for caller in [&mut streaming, &mut waiting, &mut slow] {
        let reply = caller.read().await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
    assert!(run.process.wait_exit().await.success());
}

fn next_stream() -> String {
    request_text("POST", "/s/1", &fresh_id(), STREAM_HEADERS, "the prompt")
}
