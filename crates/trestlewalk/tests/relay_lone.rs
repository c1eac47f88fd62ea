//! Streams that callers take up again at an instance without other instances, over its restart.

mod relay_support;
mod support;

use {
    relay_support::{
        CallerReply, RelayRun, RelayTest, UpstreamMode, UpstreamStandIn,
        caller::fresh_id,
        engine_answers::event_text,
        relay_test::{STREAM_HEADERS, start_again},
    },
    serde_json::{Value, json},
    std::time::Duration,
    support::wait::wait_until,
    tokio::time,
};

/// Callers whose streams are cut after two events.
const CALLERS: usize = 6;
/// Many reads of the list.
const WATCHED: Duration = Duration::from_secs(1);
const SOFTWARE_ROW: &str = "peers/software";

/// How callers fared that came back.
#[derive(Debug, Default)]
struct ResumeTally {
    refused: usize,
    /// Streams that went on, all at the version of the listed engines.
    resumed: usize,
}

/// An instance without others, in front of two engines of `v1`.
async fn start() -> RelayRun {
    let more = json!({"TargetGapMs": 300, "Resumable": true, "MaxAttempts": 1});
    let test = RelayTest::new().engines("redactor", 2, 0);
    let test = test
        .software("i-redactor-d0", "v1")
        .software("i-redactor-d1", "v1");
    let test = test.route("/note/", "streaming", "redactor", &more);
    test.start_ready().await
}

/// The headers of a caller that waits for longer than a test takes.
fn patient_headers() -> String {
    STREAM_HEADERS.replace("X-Deadline-Ms: 4000", "X-Deadline-Ms: 60000")
}

async fn send(run: &RelayRun, id: &str, headers: &str) -> CallerReply {
    run.call_with("POST", "/note/1", id, headers, "p").await
}

fn set_all(run: &RelayRun, mode: UpstreamMode) {
    run.upstreams.iter().for_each(|engine| engine.set(mode));
}

/// Begins streams that are cut after two events, and ends the engines' faults. Returns the attempts.
async fn begin_cut_streams(run: &RelayRun) -> Vec<String> {
    set_all(run, UpstreamMode::CutAfter(2));
    let mut attempts = Vec::new();
    for _ in 0..CALLERS {
        let attempt = fresh_id();
        let reply = send(run, &attempt, &patient_headers()).await;
        assert_eq!((reply.status(), reply.whole), (200, false));
        attempts.push(attempt);
    }
    set_all(run, UpstreamMode::Answer);
    attempts
}

/// Has all callers come back.
async fn resume_all(run: &RelayRun, attempts: &[String]) -> ResumeTally {
    let rest: String = (3..=5).map(event_text).collect();
    let mut tally = ResumeTally::default();
    for attempt in attempts {
        let headers = patient_headers();
        let headers = format!("{headers}Last-Event-Id: 2\r\nResumes: {attempt}\r\n");
        let reply = send(run, &fresh_id(), &headers).await;
        if reply.status() == 503 {
            assert!(reply.header("retry-after").is_some());
            tally.refused += 1;
            continue;
        }
        assert_eq!((reply.text(), reply.whole), (rest.clone(), true));
        tally.resumed += 1;
    }
    println!("callers that came back: {tally:?}");
    tally
}

/// Replaces engines by those of a newer version.
fn release(run: &RelayRun, engines: &[UpstreamStandIn]) {
    for engine in engines {
        engine.state.lock().unwrap().software = "v1.1".to_owned();
        run.store
            .put("servers", &engine.id, &engine.report("ready"));
    }
}

/// The versions of the list in use.
async fn versions(run: &RelayRun) -> Value {
    let dump = run.process.get("admin", "/dump").send().await;
    let dump: Value = serde_json::from_slice(&dump.body).unwrap();
    dump["software"]["versions"]["redactor"].clone()
}

/// How often the versions were written.
fn software_writes(run: &RelayRun) -> usize {
    let written = run.store.written();
    let rows = written.iter().filter(|(_, key)| key == SOFTWARE_ROW);
    rows.count()
}

/// Guards against events of two versions (ORDER): the instance knows nothing of the version before its start.
#[tokio::test]
async fn no_stream_goes_on_at_a_version_that_came_while_the_only_instance_was_away() {
    let mut run = start().await;
    let attempts = begin_cut_streams(&run).await;
    run.process.kill().await;
    release(&run, &run.upstreams);
    run.process = start_again("front-1", &run.folder).await;
    run.wait_ready().await;
    assert_eq!(resume_all(&run, &attempts).await.resumed, 0);
}

/// Guards against callers that are refused though there was one version only.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_the_only_instance_was_killed() {
    let mut run = start().await;
    let attempts = begin_cut_streams(&run).await;
    run.process.kill().await;
    run.process = start_again("front-1", &run.folder).await;
    run.wait_ready().await;
    assert_eq!(resume_all(&run, &attempts).await.resumed, CALLERS);
}

/// Guards against events of two versions where the row can't be written while the list can be read, the instance is killed,
/// and the newer version is taken back meanwhile.
#[tokio::test]
async fn no_stream_begins_at_a_version_that_the_store_does_not_know_of() {
    let mut run = start().await;
    run.store.refuse_writes(true);
    release(&run, &run.upstreams[..1]);
    time::sleep(WATCHED).await;
    let attempts = begin_cut_streams(&run).await;
    run.process.kill().await;
    assert!(run.upstreams[0].runs().is_empty());
    run.store.remove("servers", &run.upstreams[0].id);
    run.store.refuse_writes(false);
    run.process = start_again("front-1", &run.folder).await;
    run.wait_ready().await;
    assert_eq!(resume_all(&run, &attempts).await.resumed, CALLERS);
    assert_eq!(run.upstreams[1].runs().len(), 2 * CALLERS);
}

/// Guards against upstreams that are left out for good, and against callers that are refused where no other ones are left.
#[tokio::test]
async fn a_version_that_the_store_does_not_know_of_serves_once_it_does_or_nothing_else_is_left() {
    let run = start().await;
    run.store.refuse_writes(true);
    release(&run, &run.upstreams[..1]);
    time::sleep(WATCHED).await;
    assert_eq!(versions(&run).await, json!(["v1"]));
    run.store.refuse_writes(false);
    wait_until("the newer version is listed", async || {
        versions(&run).await == json!(["v1", "v1.1"])
    })
    .await;
    let run = start().await;
    run.store.refuse_writes(true);
    release(&run, &run.upstreams);
    time::sleep(WATCHED).await;
    let reply = send(&run, &fresh_id(), &patient_headers()).await;
    assert_eq!((reply.status(), reply.whole), (200, true));
}

/// Guards against calls to the store while one version serves: the row is written as a version joins, and as one leaves.
#[tokio::test]
async fn the_only_instance_writes_the_versions_when_one_joins_or_leaves() {
    let run = start().await;
    time::sleep(WATCHED).await;
    assert_eq!(software_writes(&run), 1);
    for (index, count) in [(0, 2), (1, 3)] {
        release(&run, &run.upstreams[index..=index]);
        time::sleep(WATCHED).await;
        assert_eq!(software_writes(&run), count);
    }
}
