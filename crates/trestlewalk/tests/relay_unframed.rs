//! Streams that have neither a length nor chunks and end with their connection.
//!
//! Guards against a stream that was broken off and looks complete, since nothing but its content tells the two apart.

mod relay_support;
mod support;

use {
    kernel::ServiceId,
    relay_support::{
        DirectFleet, RelayRun, RelayTest, UpstreamMode, caller::request_text,
        engine_answers::event_text, relay_test::STREAM_HEADERS,
    },
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
};

async fn unframed_run(resumable: bool) -> RelayRun {
    let more = json!({"TargetGapMs": 300, "Resumable": resumable, "MaxAttempts": 2});
    let run = RelayTest::new()
        .engines("redactor", 2, 0)
        .route("/note/", "streaming", "redactor", &more)
        .start_ready()
        .await;
    for upstream in &run.upstreams {
        upstream.state.lock().unwrap().unframed = true;
    }
    run
}

fn set_all(run: &RelayRun, mode: UpstreamMode) {
    run.upstreams.iter().for_each(|upstream| upstream.set(mode));
}

fn count_runs(run: &RelayRun) -> usize {
    let runs = run.upstreams.iter().map(|upstream| upstream.runs().len());
    runs.sum()
}

#[tokio::test]
async fn a_stream_without_length_is_whole_when_it_ends_after_an_event() {
    let run = unframed_run(false).await;
    for _ in 0..3 {
        let reply = run.stream("/note/1").await;
        assert_eq!((reply.status(), reply.whole), (200, true));
        let events: Vec<String> = (1..=5).map(event_text).collect();
        assert_eq!(reply.text(), events.concat());
    }
}

#[tokio::test]
async fn a_stream_without_length_that_ends_inside_an_event_is_cut() {
    let run = unframed_run(false).await;
    set_all(&run, UpstreamMode::CutAfter(2));
    let reply = run.stream("/note/1").await;
    assert_eq!((reply.status(), reply.whole), (200, false));
    assert_eq!(count_runs(&run), 1);
}

// Guards against status 200 for a stream of which nothing can be delivered.
#[tokio::test]
async fn a_stream_without_length_that_ends_inside_its_first_event_fails() {
    let run = unframed_run(false).await;
    set_all(&run, UpstreamMode::CutAfter(0));
    let reply = run.stream("/note/1").await;
    assert_eq!(reply.status(), 502, "{reply:?}");
    assert_eq!(count_runs(&run), 1);
}

#[tokio::test]
async fn a_resumable_stream_without_length_goes_on_after_its_last_whole_event() {
    let run = unframed_run(true).await;
    set_all(&run, UpstreamMode::CutAfter(2));
    let mut caller = run.caller().await;
    let text = request_text("POST", "/note/1", "00aa", STREAM_HEADERS, "p");
    caller.write(&text).await;
    wait_until("an engine runs", async || count_runs(&run) > 0).await;
    let idle = run.upstreams.iter();
    idle.filter(|upstream| upstream.runs().is_empty())
        .for_each(|upstream| upstream.set(UpstreamMode::Answer));
    let reply = caller.read().await;
    assert_eq!((reply.status(), reply.whole), (200, true));
    let events: Vec<String> = (1..=5).map(event_text).collect();
    assert_eq!(reply.text(), events.concat());
}

// Guards against an empty answer, complete, for an engine that crashed and closed its connections in order.
#[tokio::test]
async fn a_stream_without_length_that_ends_without_an_event_fails() {
    let run = unframed_run(false).await;
    set_all(&run, UpstreamMode::PauseAfter(0, Duration::from_secs(5)));
    let answers = run.stream("/note/1");
    let crash = async {
        wait_until("an engine runs", async || count_runs(&run) > 0).await;
        // The head of the answer has arrived by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
        run.upstreams.iter().for_each(|upstream| upstream.crash());
    };
    let (reply, ()) = tokio::join!(answers, crash);
    assert_eq!(reply.status(), 502, "{reply:?}");
}

// The instance in between has to tell the same end from the same break.
#[tokio::test]
async fn a_stream_without_length_is_told_from_a_broken_one_through_another_instance() {
    let fleet = DirectFleet::start(2).await;
    for upstream in &fleet.upstreams {
        upstream.state.lock().unwrap().unframed = true;
    }
    fleet.cut(0);
    let service = ServiceId::from("redactor");
    wait_until("the cut is noticed", async || {
        fleet.send(0, "POST", "/s/1", STREAM_HEADERS).await;
        fleet.instances[0].core.reach.is_lost(&service)
    })
    .await;
    let whole = fleet.send(0, "POST", "/s/1", STREAM_HEADERS).await;
    assert_eq!((whole.status(), whole.whole), (200, true));
    let events: Vec<String> = (1..=5).map(event_text).collect();
    assert_eq!(whole.text(), events.concat());
    let set_all = |mode| {
        fleet
            .upstreams
            .iter()
            .for_each(|upstream| upstream.set(mode))
    };
    set_all(UpstreamMode::CutAfter(2));
    let cut = fleet.send(0, "POST", "/s/1", STREAM_HEADERS).await;
    assert_eq!((cut.status(), cut.whole), (200, false));
    set_all(UpstreamMode::CutAfter(0));
    let empty = fleet.send(0, "POST", "/s/1", STREAM_HEADERS).await;
    assert_eq!(empty.status(), 502, "{empty:?}");
}
