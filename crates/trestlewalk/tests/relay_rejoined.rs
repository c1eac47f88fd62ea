//! Streams that callers take up again after all instances were killed at once.

mod relay_support;
mod support;

use {
    relay_support::{
        CallerReply, RelayTest, UpstreamMode, UpstreamStandIn, ZoneRun, caller::fresh_id,
        engine_answers::event_text, relay_test::STREAM_HEADERS,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    support::wait::wait_until,
    tokio::time,
};

/// Callers whose streams are cut after two events.
const CALLERS: usize = 12;
/// Instances, all in one availability zone.
const INSTANCES: usize = 3;
/// Between the beginnings of two streams: in all they take a few seconds, as they do in service.
const BETWEEN_STREAMS: Duration = Duration::from_millis(200);
/// How long the store is silent while callers come back: longer than an instance waits for one of its answers.
const SILENCE: Duration = Duration::from_secs(3);
/// How long a slow store takes for each answer.
const SLOW_ANSWER: Duration = Duration::from_millis(400);
/// Within which a caller is told that its stream does not go on: a second, and one more for a busy host.
const REFUSED_WITHIN: Duration = Duration::from_secs(2);
/// How often callers come back while the store is slow.
const ROUNDS: usize = 8;
/// Two software versions at two engines each.
const MIXED: [&str; 4] = ["v1", "v1.1", "v1", "v1.1"];
const ONE: [&str; 4] = ["v1"; 4];

/// A stream that was cut.
#[derive(Debug)]
struct CutStream {
    /// The attempt that brought its first event.
    attempt: String,
    /// The software version of its events.
    version: String,
}

/// How callers fared that came back.
#[derive(Debug, Default)]
struct ResumeTally {
    /// Streams that went on at another version than the one that began them.
    other: usize,
    refused: usize,
    /// Streams that went on at their version.
    same: usize,
    /// The longest time until a refusal.
    slowest: Duration,
}

/// Instances in front of engines of these versions, ready. A route allows one engine for each attempt.
async fn start(versions: [&str; 4]) -> ZoneRun {
    let more = json!({"TargetGapMs": 300, "Resumable": true, "MaxAttempts": 1});
    let mut test = RelayTest::new().engines("redactor", versions.len(), 0);
    for (index, version) in versions.iter().enumerate() {
        test = test.software(&format!("i-redactor-d{index}"), version);
    }
    let test = test.route("/note/", "streaming", "redactor", &more);
    let run = test.start_zone(INSTANCES).await;
    wait_ready(&run).await;
    run
}

/// Waits until all instances are ready and have met the others: they listen on other ports after each start.
async fn wait_ready(run: &ZoneRun) {
    for index in 0..INSTANCES {
        run.wait_ready(index).await;
    }
    run.wait_single_reader().await;
}

/// The headers of a caller that waits for longer than a test takes.
fn patient_headers() -> String {
    STREAM_HEADERS.replace("X-Deadline-Ms: 4000", "X-Deadline-Ms: 60000")
}

/// The software version at which an attempt ran; `None` if it did not run.
fn version_of(upstreams: &[UpstreamStandIn], attempt: &str) -> Option<String> {
    let engine = upstreams.iter().find(|upstream| {
        let runs = upstream.runs();
        let mut runs = runs.iter();
        runs.any(|run| run.message.header("x-request-id") == Some(attempt))
    })?;
    Some(engine.software())
}

/// Begins streams at all instances in turn, which are cut after two events, and ends the engines' faults.
async fn begin_cut_streams(run: &ZoneRun) -> Vec<CutStream> {
    set_all(run, UpstreamMode::CutAfter(2));
    let mut streams = Vec::new();
    for number in 0..CALLERS {
        let attempt = fresh_id();
        let headers = patient_headers();
        let reply = run
            .send_as(&attempt, number % INSTANCES, "/note/1", &headers)
            .await;
        assert_eq!((reply.status(), reply.whole), (200, false));
        let version = version_of(&run.upstreams, &attempt).unwrap();
        streams.push(CutStream { attempt, version });
        time::sleep(BETWEEN_STREAMS).await;
    }
    set_all(run, UpstreamMode::Answer);
    streams
}

fn set_all(run: &ZoneRun, mode: UpstreamMode) {
    run.upstreams.iter().for_each(|engine| engine.set(mode));
}

/// Has a caller come back to an instance. Returns the id of its new attempt with the reply.
async fn resume(run: &ZoneRun, index: usize, stream: &CutStream) -> (String, CallerReply) {
    let headers = patient_headers();
    let headers = format!(
        "{headers}Last-Event-Id: 2\r\nResumes: {}\r\n",
        stream.attempt
    );
    let id = fresh_id();
    let reply = run.send_as(&id, index, "/note/1", &headers).await;
    (id, reply)
}

/// Has each caller come back to another instance than the one that began its stream. An attempt that does not run is
/// refused as not run, with a time to come back.
async fn resume_all(run: &ZoneRun, streams: &[CutStream]) -> ResumeTally {
    let rest: String = (3..=5).map(event_text).collect();
    let mut tally = ResumeTally::default();
    for (number, stream) in streams.iter().enumerate() {
        let asked = Instant::now();
        let (id, reply) = resume(run, (number + 1) % INSTANCES, stream).await;
        let Some(version) = version_of(&run.upstreams, &id) else {
            assert_eq!(reply.status(), 503);
            assert!(reply.header("retry-after").is_some());
            tally.refused += 1;
            tally.slowest = tally.slowest.max(asked.elapsed());
            continue;
        };
        assert_eq!((reply.text(), reply.whole), (rest.clone(), true));
        match version == stream.version {
            true => tally.same += 1,
            false => tally.other += 1,
        }
    }
    println!("callers that came back: {tally:?}");
    tally
}

/// Replaces engines by those of a newer version.
fn release(run: &ZoneRun, engines: &[UpstreamStandIn]) {
    for engine in engines {
        engine.state.lock().unwrap().software = "v1.1".to_owned();
        run.store
            .put("servers", &engine.id, &engine.report("ready"));
    }
}

/// Waits until each instance lists exactly these versions.
async fn wait_versions(run: &ZoneRun, versions: &[&str]) {
    for instance in &run.instances {
        wait_until("an instance knows the versions", async || {
            let dump = instance.process.get("admin", "/dump").send().await;
            let dump: Value = serde_json::from_slice(&dump.body).unwrap();
            dump["software"]["versions"]["redactor"] == json!(versions)
        })
        .await;
    }
}

/// Guards against callers that all are refused (LOST): who began a stream, and who was told of it, is gone.
#[tokio::test]
async fn most_streams_go_on_after_all_instances_were_killed_while_two_versions_serve() {
    let mut run = start(MIXED).await;
    let streams = begin_cut_streams(&run).await;
    run.restart_all().await;
    wait_ready(&run).await;
    let tally = resume_all(&run, &streams).await;
    assert_eq!(tally.other, 0);
    assert!(tally.same * 2 >= CALLERS, "{tally:?}");
}

/// The same where the store takes long for each answer as the instances come back.
#[tokio::test]
async fn most_streams_go_on_after_all_instances_were_killed_while_the_store_is_slow() {
    let mut run = start(MIXED).await;
    let streams = begin_cut_streams(&run).await;
    run.kill_all().await;
    run.store.set_pause(SLOW_ANSWER);
    run.start_all().await;
    for index in 0..INSTANCES {
        run.wait_ready(index).await;
    }
    // The instances meet late. Callers come back again until then.
    let mut tally = resume_all(&run, &streams).await;
    for _ in 0..ROUNDS {
        if tally.same * 2 >= CALLERS {
            break;
        }
        time::sleep(Duration::from_secs(1)).await;
        tally = resume_all(&run, &streams).await;
        assert_eq!(tally.other, 0);
    }
    assert_eq!(tally.other, 0);
    assert!(tally.same * 2 >= CALLERS, "{tally:?}");
}

/// Guards against events of two versions (ORDER): instances that have just started list the newer version alone, and
/// confirm that to each other.
#[tokio::test]
async fn no_stream_goes_on_at_the_newer_version_after_the_older_one_left_and_all_instances_were_killed()
 {
    let mut run = start(ONE).await;
    let streams = begin_cut_streams(&run).await;
    release(&run, &run.upstreams);
    wait_versions(&run, &["v1", "v1.1"]).await;
    run.restart_all().await;
    wait_ready(&run).await;
    let tally = resume_all(&run, &streams).await;
    assert_eq!((tally.other, tally.same), (0, 0));
}

/// The same where no instance has ever seen both versions.
#[tokio::test]
async fn no_stream_goes_on_at_a_version_that_came_while_all_instances_were_killed() {
    let mut run = start(ONE).await;
    let streams = begin_cut_streams(&run).await;
    run.kill_all().await;
    release(&run, &run.upstreams);
    run.start_all().await;
    wait_ready(&run).await;
    let tally = resume_all(&run, &streams).await;
    assert_eq!((tally.other, tally.same), (0, 0));
}

/// Guards against events of two versions where the older one leaves while the store is silent: the first list that
/// instances read after their start lacks it.
#[tokio::test]
async fn no_stream_goes_on_at_another_version_after_a_start_while_the_store_was_silent() {
    let mut run = start(MIXED).await;
    let streams = begin_cut_streams(&run).await;
    run.kill_all().await;
    run.store.set_silent(true);
    run.start_all().await;
    time::sleep(SILENCE).await;
    for engine in run
        .upstreams
        .iter()
        .filter(|engine| engine.software() == "v1")
    {
        run.store.remove("servers", &engine.id);
    }
    run.store.set_silent(false);
    wait_ready(&run).await;
    assert_eq!(resume_all(&run, &streams).await.other, 0);
}

/// Guards against events of two versions where the row of versions can't be written while the list can be read, and the newer
/// version is taken back while no instance runs.
#[tokio::test]
async fn no_stream_begins_at_a_version_that_cannot_be_written_before_all_instances_are_killed() {
    let mut run = start(ONE).await;
    run.store.refuse_writes(true);
    release(&run, &run.upstreams[..1]);
    time::sleep(BETWEEN_STREAMS).await;
    let streams = begin_cut_streams(&run).await;
    run.kill_all().await;
    run.store.remove("servers", &run.upstreams[0].id);
    run.store.refuse_writes(false);
    run.start_all().await;
    wait_ready(&run).await;
    assert!(streams.iter().all(|stream| stream.version == "v1"));
    assert_eq!(resume_all(&run, &streams).await.same, CALLERS);
}

/// Guards against guesses, and callers that are held, by instances that have started while the store is silent.
#[tokio::test]
async fn callers_are_refused_at_once_by_instances_that_started_while_the_store_is_silent() {
    let mut run = start(MIXED).await;
    let streams = begin_cut_streams(&run).await;
    run.kill_all().await;
    run.store.set_silent(true);
    run.start_all().await;
    let tally = resume_all(&run, &streams).await;
    assert_eq!(tally.refused, CALLERS);
    assert!(tally.slowest < REFUSED_WITHIN, "{tally:?}");
}

/// The same where the store falls silent after the instances have read the list.
#[tokio::test]
async fn nothing_is_guessed_and_no_caller_held_when_the_store_falls_silent_after_all_started_anew()
{
    let mut run = start(MIXED).await;
    let streams = begin_cut_streams(&run).await;
    run.restart_all().await;
    wait_ready(&run).await;
    run.store.set_silent(true);
    let tally = resume_all(&run, &streams).await;
    assert_eq!(tally.other, 0);
    assert!(tally.slowest < REFUSED_WITHIN, "{tally:?}");
}

/// Guards against callers that are refused though there was one version only.
#[tokio::test]
async fn all_streams_of_the_only_version_go_on_after_all_instances_were_killed() {
    let mut run = start(ONE).await;
    let streams = begin_cut_streams(&run).await;
    run.restart_all().await;
    wait_ready(&run).await;
    assert_eq!(resume_all(&run, &streams).await.same, CALLERS);
}

/// Guards against a cost of the memory where nothing has to be remembered: no stream writes a row while one version serves.
#[tokio::test]
async fn streams_of_the_only_version_write_no_row() {
    let run = start(ONE).await;
    let before = BTreeSet::from_iter(run.store.written());
    let count = run.store.written().len();
    let streams = begin_cut_streams(&run).await;
    assert_eq!(resume_all(&run, &streams).await.same, CALLERS);
    let written = run.store.written();
    println!("rows written meanwhile: {:?}", &written[count..]);
    let later: BTreeSet<_> = written.iter().skip(count).cloned().collect();
    assert_eq!(
        later.difference(&before).collect::<Vec<_>>(),
        Vec::<&(String, String)>::new()
    );
    assert!(written.len() - count < CALLERS, "{written:?}");
}
