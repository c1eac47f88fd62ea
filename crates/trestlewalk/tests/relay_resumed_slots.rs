//! Slots for streams that callers resume, which can go on at one software version only.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, UpstreamMode, relay_test::STREAM_HEADERS},
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time,
};

/// How long the engine is full: longer than a new request would wait for a slot, and shorter than a resumed stream does.
const FULL_TIME: Duration = Duration::from_millis(900);
/// A resumed stream without a slot is refused by then, on a slow machine too.
const REFUSED_BY: Duration = Duration::from_secs(4);

/// The software versions of three engines.
const VERSIONS: [&str; 3] = ["v1.1", "v1", "v1"];

/// An instance with decode engines of these versions.
async fn start(versions: &[&str]) -> RelayRun {
    let more = json!({"TargetGapMs": 300, "Resumable": true, "MaxAttempts": 1});
    let mut test = RelayTest::new().engines("redactor", versions.len(), 1);
    for (index, version) in versions.iter().enumerate() {
        test = test.software(&format!("i-redactor-d{index}"), version);
    }
    test.route("/note/", "streaming", "redactor", &more)
        .start_ready()
        .await
}

/// An instance with one decode engine, which is full.
async fn full_run() -> RelayRun {
    let run = start(&["v1"]).await;
    run.upstream("i-redactor-d0").set(UpstreamMode::Shed);
    run
}

fn resume_headers() -> String {
    format!("{STREAM_HEADERS}Last-Event-Id: 2\r\n")
}

#[tokio::test]
async fn a_resumed_stream_waits_while_the_engines_of_its_version_are_full() {
    let run = full_run().await;
    let headers = resume_headers();
    let freeing = async {
        time::sleep(FULL_TIME).await;
        run.upstream("i-redactor-d0").set(UpstreamMode::Answer);
    };
    let calling = run.call_with("POST", "/note/1", "00aa", &headers, "p");
    let (reply, ()) = tokio::join!(calling, freeing);
    assert_eq!((reply.status(), reply.whole), (200, true));
    assert_eq!(run.upstream("i-redactor-d0").runs().len(), 1);
}

#[tokio::test]
async fn a_resumed_stream_without_a_slot_is_refused_as_not_run_after_a_while() {
    let run = full_run().await;
    let since = Instant::now();
    let reply = run
        .call_with("POST", "/note/1", "00aa", &resume_headers(), "p")
        .await;
    assert_eq!(reply.status(), 503);
    assert_eq!(reply.header("trestlewalk-result"), Some("2011"));
    assert!(since.elapsed() < REFUSED_BY, "{:?}", since.elapsed());
    assert_eq!(run.upstream("i-redactor-d0").runs().len(), 0);
}

#[tokio::test]
async fn new_requests_leave_the_only_engine_of_a_version_to_a_stream_that_found_it_full() {
    let run = start(&VERSIONS).await;
    let set = |first, others| {
        run.upstream("i-redactor-d0").set(first);
        for engine in ["i-redactor-d1", "i-redactor-d2"] {
            run.upstream(engine).set(others);
        }
    };
    set(UpstreamMode::CutAfter(2), UpstreamMode::Shed);
    let began = run
        .call_with("POST", "/note/1", "00aa", STREAM_HEADERS, "p")
        .await;
    assert_eq!((began.status(), began.whole), (200, false));

    set(UpstreamMode::Shed, UpstreamMode::Answer);
    let headers = format!("{}Resumes: 00aa\r\n", resume_headers());
    let refused = run
        .call_with("POST", "/note/1", "00bb", &headers, "p")
        .await;
    assert_eq!(refused.header("trestlewalk-result"), Some("2011"));

    set(UpstreamMode::Answer, UpstreamMode::Shed);
    for id in ["00c1", "00c2", "00c3"] {
        let reply = run
            .call_with("POST", "/note/1", id, STREAM_HEADERS, "p")
            .await;
        assert_eq!(reply.header("trestlewalk-result"), Some("2011"));
    }
    assert_eq!(run.upstream("i-redactor-d0").runs().len(), 1);

    let resumed = run
        .call_with("POST", "/note/1", "00dd", &headers, "p")
        .await;
    assert_eq!((resumed.status(), resumed.whole), (200, true));
    assert_eq!(run.upstream("i-redactor-d0").runs().len(), 2);
}
