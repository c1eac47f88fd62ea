//! Shutdown by SIGTERM with requests that would last longer than it.
//!
//! Guards against requests that are passed on although they can't end in time, and against connections that are cut without an
//! answer at the end: a caller can't tell whether its request ran.

mod relay_support;
mod support;

use {
    futures_util::future::join_all,
    kernel::ServiceId,
    relay_support::{
        Caller, CallerReply, DirectFleet, RelayRun, RelayTest, UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
    tokio::time::{self, Instant},
};

/// How long a closing instance takes new requests.
const SETTLE: Duration = Duration::from_millis(1_500);
/// When it cuts connections.
const LIMIT: Duration = Duration::from_millis(3_000);
/// The pause from one late request to the next.
const BETWEEN_REQUESTS: Duration = Duration::from_millis(30);
/// A duration of requests with which those of the end of [`SETTLE`] end after [`LIMIT`].
const LONG_RUN: Duration = Duration::from_millis(1_900);
/// More time than the close gives.
const LONG_DEADLINE: &str = "X-Deadline-Ms: 12000\r\n";
/// The exit code of a close that ended requests.
const CUT_EXIT_CODE: i32 = 30;
/// Longer than any test.
const ENDLESS_RUN: Duration = Duration::from_secs(60);

async fn start() -> RelayRun {
    RelayTest::new()
        .plain("carta", 2)
        .engines("redactor", 2, 0)
        .route("/t/", "unsafe", "carta", &json!({"TimeoutMs": 15_000}))
        .route("/safe/", "safe", "carta", &json!({"TimeoutMs": 15_000}))
        .route(
            "/s/",
            "streaming",
            "redactor",
            &json!({"TimeoutMs": 15_000, "TargetLatencyMs": 20_000, "TargetGapMs": 5_000}),
        )
        .settle("1500ms")
        .close_limit("3s")
        .start_ready()
        .await
}

fn set_all(run: &RelayRun, mode: UpstreamMode) {
    run.upstreams.iter().for_each(|upstream| upstream.set(mode));
}

fn count_runs(run: &RelayRun, id: &str) -> usize {
    let runs = run.upstreams.iter().flat_map(|upstream| upstream.runs());
    runs.filter(|run| run.message.header("x-request-id") == Some(id))
        .count()
}

fn long_stream_headers() -> String {
    STREAM_HEADERS.replace("4000", "12000")
}

/// One request on a new connection: its id, and the answer unless nobody listens any more.
async fn send_late(run: &RelayRun, path: &str, more: &str) -> (String, Option<CallerReply>) {
    let id = fresh_id();
    let Some(mut caller) = Caller::try_connect(run.process.address("callers")).await else {
        return (id, None);
    };
    caller
        .write(&request_text("POST", path, &id, more, "x"))
        .await;
    let reply = caller.read().await;
    (id, Some(reply))
}

/// Sends requests from the signal to the end of the process, and checks that each has a truthful answer. Returns how many
/// were served.
async fn check_late_requests(run: &RelayRun, path: &str, more: &str) -> usize {
    run.process.signal(Signal::TERM);
    let began = Instant::now();
    let mut calls = Vec::new();
    let mut sent_at = Duration::ZERO;
    while sent_at < LIMIT {
        calls.push(async move {
            time::sleep_until(began + sent_at).await;
            let (id, reply) = send_late(run, path, more).await;
            (sent_at, id, reply)
        });
        sent_at += BETWEEN_REQUESTS;
    }
    let mut served = 0;
    for (sent_at, id, reply) in join_all(calls).await {
        let runs = count_runs(run, &id);
        let may_run = sent_at < LIMIT - LONG_RUN;
        assert!(may_run || runs == 0, "a request of {sent_at:?} was sent");
        // A connection that is not accepted any more ends with the listener.
        let reply = reply.unwrap_or_default();
        match reply.status() {
            0 => assert_eq!(runs, 0, "a request of {sent_at:?} ran and got no answer"),
            200 => {
                assert!(reply.whole);
                served += 1;
            }
            502 => assert_eq!(reply.header("trestlewalk-result"), Some("3006")),
            503 => {
                assert_eq!(runs, 0, "a request of {sent_at:?} was refused and ran");
                assert!(reply.header("retry-after").is_some());
            }
            status => panic!("a request of {sent_at:?} got {status}"),
        }
    }
    served
}

#[tokio::test]
async fn late_requests_that_run_longer_than_the_close_are_refused_before_they_run() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::Slow(LONG_RUN));
    assert_eq!(
        send_late(&run, "/t/1", LONG_DEADLINE)
            .await
            .1
            .unwrap()
            .status(),
        200
    );
    let served = check_late_requests(&run, "/t/1", LONG_DEADLINE).await;
    // Those of the first moments end in time.
    assert!(served > 0);
    run.process.wait_exit().await;
}

#[tokio::test]
async fn late_streams_that_run_longer_than_the_close_are_refused_before_they_run() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::PauseAfter(2, LONG_RUN));
    let headers = long_stream_headers();
    assert_eq!(
        send_late(&run, "/s/1", &headers).await.1.unwrap().status(),
        200
    );
    let served = check_late_requests(&run, "/s/1", &headers).await;
    assert!(served > 0);
    run.process.wait_exit().await;
}

// Without any answer to learn from, the request's own time counts.
#[tokio::test]
async fn requests_of_unknown_duration_run_if_their_deadline_is_before_the_end() {
    let mut run = start().await;
    run.process.signal(Signal::TERM);
    wait_until("the instance is closing", async || {
        run.ready_status().await == 503
    })
    .await;
    let (long, reply) = send_late(&run, "/t/1", LONG_DEADLINE).await;
    assert_eq!(reply.unwrap().status(), 503);
    assert_eq!(count_runs(&run, &long), 0);
    let (_, reply) = send_late(&run, "/t/1", "X-Deadline-Ms: 500\r\n").await;
    assert_eq!(reply.unwrap().status(), 200);
    assert!(run.process.wait_exit().await.success());
}

#[tokio::test]
async fn what_runs_at_the_limit_gets_an_answer_that_promises_nothing() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::Mute);
    let mut callers = Vec::new();
    let headers = long_stream_headers();
    for (path, more) in [
        ("/t/1", LONG_DEADLINE),
        ("/safe/1", LONG_DEADLINE),
        ("/s/1", &headers),
    ] {
        let id = fresh_id();
        let mut caller = run.caller().await;
        caller
            .write(&request_text("POST", path, &id, more, "x"))
            .await;
        wait_until("the request runs", async || count_runs(&run, &id) > 0).await;
        callers.push(caller);
    }
    run.process.signal(Signal::TERM);
    let began = Instant::now();
    for caller in &mut callers {
        let reply = caller.read().await;
        assert_eq!((reply.status(), reply.whole), (502, true));
        assert_eq!(reply.header("trestlewalk-result"), Some("3006"));
        assert_eq!(reply.header("retry-after"), None);
    }
    assert!(began.elapsed() > SETTLE);
    assert_eq!(run.process.wait_exit().await.code(), Some(CUT_EXIT_CODE));
}

#[tokio::test]
async fn a_stream_that_runs_at_the_limit_does_not_look_complete() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::PauseAfter(2, ENDLESS_RUN));
    let mut caller = run.caller().await;
    let headers = long_stream_headers();
    caller
        .write(&request_text("POST", "/s/1", &fresh_id(), &headers, "x"))
        .await;
    wait_until("the stream runs", async || {
        run.upstreams
            .iter()
            .any(|upstream| !upstream.runs().is_empty())
    })
    .await;
    run.process.signal(Signal::TERM);
    let reply = caller.read().await;
    assert_eq!((reply.status(), reply.whole), (200, false));
    run.process.wait_exit().await;
}

// Guards against a request that waits for an engine until the instance cuts it, or is sent when it can't end any more.
#[tokio::test]
async fn a_request_that_waits_for_an_engine_is_refused_when_it_can_not_end_any_more() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::PauseAfter(2, LONG_RUN));
    let headers = long_stream_headers();
    assert_eq!(
        send_late(&run, "/s/1", &headers).await.1.unwrap().status(),
        200
    );
    set_all(&run, UpstreamMode::Shed);
    let id = fresh_id();
    let mut waiting = run.caller().await;
    waiting
        .write(&request_text("POST", "/s/1", &id, &headers, "x"))
        .await;
    time::sleep(Duration::from_millis(200)).await;
    run.process.signal(Signal::TERM);
    let began = Instant::now();
    let reply = waiting.read().await;
    assert_eq!((reply.status(), count_runs(&run, &id)), (503, 0));
    assert!(began.elapsed() < LIMIT - LONG_RUN + Duration::from_millis(300));
    assert!(run.process.wait_exit().await.success());
}

// The burst of requests that the balancer sends before it notices.
#[tokio::test]
async fn a_burst_at_the_signal_is_answered_as_a_whole() {
    let mut run = start().await;
    set_all(&run, UpstreamMode::Slow(Duration::from_millis(300)));
    assert_eq!(
        send_late(&run, "/t/1", LONG_DEADLINE)
            .await
            .1
            .unwrap()
            .status(),
        200
    );
    run.process.signal(Signal::TERM);
    let calls = (0..200).map(|_| send_late(&run, "/t/1", LONG_DEADLINE));
    for (id, reply) in join_all(calls).await {
        let status = reply.unwrap().status();
        assert!([200, 503].contains(&status), "{status}");
        assert_eq!(count_runs(&run, &id), usize::from(status == 200));
    }
    assert!(run.process.wait_exit().await.success());
}

// A helper that closes tells the other instance, and so its caller, what it knows.
#[tokio::test]
async fn a_forwarded_request_that_runs_when_its_helper_closes_has_an_unknown_outcome() {
    let mut fleet = DirectFleet::start(2).await;
    fleet.cut(0);
    let service = ServiceId::from("carta");
    wait_until("the cut is noticed", async || {
        fleet.send(0, "POST", "/b/1", "").await;
        fleet.instances[0].core.reach.is_lost(&service)
    })
    .await;
    for upstream in &fleet.upstreams {
        upstream.set(UpstreamMode::Slow(ENDLESS_RUN));
    }
    let id = fresh_id();
    let helper = fleet.instances.pop().unwrap();
    let upstreams = fleet.upstreams.clone();
    let closing = async {
        wait_until("the request runs", async || {
            upstreams.iter().any(|upstream| {
                let runs = upstream.runs();
                runs.iter()
                    .any(|run| run.message.header("x-request-id") == Some(&id))
            })
        })
        .await;
        tokio::join!(
            helper
                .server
                .close(Duration::from_millis(100), Duration::from_secs(1)),
            helper.forwarding.close(Duration::from_secs(1))
        )
    };
    let (reply, cut) = tokio::join!(fleet.send_as(&id, 0, "POST", "/b/1", ""), closing);
    assert_eq!(
        (reply.status(), reply.header("trestlewalk-result")),
        (502, Some("3006"))
    );
    assert_eq!(cut, (0, 0));
}

// Guards against a close that is planned for another time than the platform gives.
#[tokio::test]
async fn a_close_ends_within_the_grace_of_the_platform() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({"TimeoutMs": 15_000}))
        .settle("2800ms")
        .grace("2s")
        .start_ready()
        .await;
    set_all(&run, UpstreamMode::Mute);
    let id = fresh_id();
    let mut caller = run.caller().await;
    let text = request_text("POST", "/t/1", &id, LONG_DEADLINE, "x");
    caller.write(&text).await;
    wait_until("the request runs", async || count_runs(&run, &id) > 0).await;
    run.process.signal(Signal::TERM);
    let began = Instant::now();
    assert_eq!(caller.read().await.status(), 502);
    run.process.wait_exit().await;
    assert!(began.elapsed() < Duration::from_secs(2));
}
