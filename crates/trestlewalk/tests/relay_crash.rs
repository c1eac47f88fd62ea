//! A request that crashes each upstream that starts to run it, and that its caller retries.
//!
//! Guards against one request that crashes an engine with every retry: one caller's request crashed ten engines and
//! another's fourteen, and the other streams of those engines broke with them. Each retry has another id and arrives at
//! another instance, and instances that know requests by their id alone take every retry for a new request; a young
//! stream of the same row was lost at each of twenty crashes. A fingerprint of the request's content ends this after
//! three crashes. With the caller's address in the fingerprint there were nine, three for each availability zone.

mod relay_support;
mod support;

use {
    relay_support::{
        CallerReply, CrashScenario, RelayTest, UpstreamMode, ZoneRun, relay_test::STREAM_HEADERS,
    },
    serde_json::json,
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    support::{relay_mode::RelayMode, wait::wait_until},
};

/// How long an upstream's listener outlives its connections: a busy machine closes them one after the other.
const LINGER: Duration = Duration::from_millis(250);
/// The body of the request that crashes upstreams.
const POISON_BODY: &str = "the deadly prompt";
/// The time within which all instances that reach the store know of the third crash.
const UPDATE_BOUND: Duration = Duration::from_secs(2);
/// The same bound for instances that the store refuses: they first have to find out which instance reads for the
/// others.
const NO_STORE_BOUND: Duration = Duration::from_secs(4);
/// The number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// The header with the result code.
const RESULT: &str = "trestlewalk-result";
/// The result code of a request in quarantine.
const QUARANTINED: &str = "2019";
/// The store's table of crash reports.
const REPORTS: &str = "trestlewalk-crashes";

/// Three instances of one zone with upstreams of a plain service, whose calls may be retried once.
async fn plain_zone() -> ZoneRun {
    let more = json!({"MaxAttempts": 2, "TargetLatencyMs": 2000});
    let run = RelayTest::new()
        .plain("carta", 5)
        .route("/t/", "safe", "carta", &more)
        .start_zone(3)
        .await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    run
}

impl ZoneRun {
    /// Sends the crashing request once.
    async fn send_poison(&self, index: usize) -> CallerReply {
        let (path, headers) = match self.config["Routes"][0]["Kind"] == "streaming" {
            true => ("/note/1", STREAM_HEADERS),
            false => ("/t/1", "X-Deadline-Ms: 4000\r\n"),
        };
        self.send(index, "POST", path, headers, POISON_BODY).await
    }

    /// Waits until the store has at least this many reports.
    async fn wait_reports(&self, count: usize) {
        wait_until("reports in the store", async || {
            self.store.rows(REPORTS).len() >= count
        })
        .await;
    }
}

/// Two instances in each of two zones, with the engines of one model service.
async fn stream_zones() -> ZoneRun {
    let more = json!({"TargetGapMs": 300, "TargetLatencyMs": 2000, "MaxAttempts": 1});
    let run = RelayTest::new()
        .engines("redactor", 5, 1)
        .route("/note/", "streaming", "redactor", &more)
        .start_zones(&["gijon", "ferrol"], 2)
        .await;
    for index in 0..4 {
        wait_until("an instance serves", async || {
            stream(&run, index, "a prompt").await.status() == 200
        })
        .await;
    }
    run
}

async fn stream(run: &ZoneRun, index: usize, body: &str) -> CallerReply {
    run.send(index, "POST", "/note/1", STREAM_HEADERS, body)
        .await
}

/// Sends the crashing request to one instance after the other, until at least `count` upstreams have crashed.
async fn crash_upstreams(run: &ZoneRun, scenario: &CrashScenario, count: usize) {
    let mut index = 0;
    wait_until("upstreams crash", async || {
        run.send_poison(index % run.instances.len()).await;
        index += 1;
        scenario.crashed() >= count
    })
    .await;
}

fn is_quarantined(reply: &CallerReply) -> bool {
    let seconds = reply
        .header("retry-after")
        .and_then(|after| after.parse().ok());
    let is_later = seconds.is_some_and(|seconds: f64| seconds > 1.0);
    reply.status() == 503 && reply.header(RESULT) == Some(QUARANTINED) && is_later
}

#[tokio::test]
async fn a_request_under_which_three_engines_ended_is_sent_to_no_further_one() {
    let run = stream_zones().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let (crashed, tries) = (scenario.crashed(), scenario.tries());
    for index in 0..12 {
        let reply = run.send_poison(index % 4).await;
        assert!(is_quarantined(&reply), "{reply:?}");
        assert_eq!(stream(&run, index % 4, "a prompt").await.status(), 200);
    }
    assert_eq!((scenario.crashed(), scenario.tries()), (crashed, tries));
}

#[tokio::test]
async fn a_plain_request_that_ends_its_upstreams_is_sent_to_no_further_one() {
    let run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let crashed = scenario.crashed();
    for index in 0..6 {
        assert!(is_quarantined(&run.send_poison(index % 3).await));
        assert_eq!(run.status(index % 3, "/t/1").await, 200);
    }
    assert_eq!(scenario.crashed(), crashed);
}

#[tokio::test]
async fn one_try_that_may_run_on_many_upstreams_stops_as_well() {
    let more = json!({"MaxAttempts": 9, "TargetLatencyMs": 2000});
    let run = RelayTest::new()
        .plain("carta", 9)
        .route("/t/", "safe", "carta", &more)
        .start_zone(1)
        .await;
    run.wait_status(0, "/t/1", 200).await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    let reply = run.send_poison(0).await;
    // The request ran, so no answer may claim that it did not.
    assert_eq!(reply.status(), 502);
    // The fourth call is sent at once, before the third crash is known.
    assert!(
        (3..=4).contains(&scenario.crashed()),
        "{}",
        scenario.crashed()
    );
}

#[tokio::test]
async fn a_caller_that_comes_back_from_other_addresses_is_known_again() {
    let run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let crashed = scenario.crashed();
    for index in 0..3 {
        let own = Ipv4Addr::new(127, 0, 1, index);
        let headers = "X-Deadline-Ms: 4000\r\n";
        let from = usize::from(index);
        let reply = run.send_from(own, from, "POST", "/t/1", headers, POISON_BODY);
        assert!(is_quarantined(&reply.await));
    }
    assert_eq!(scenario.crashed(), crashed);
}

#[tokio::test]
async fn a_quarantine_outlasts_the_instances() {
    let mut run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let crashed = scenario.crashed();
    run.store.set_slow(REPORTS, Duration::from_millis(150));
    run.restart_all().await;
    // An instance that serves requests knows the reports: the first try at each is refused.
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
        assert!(is_quarantined(&run.send_poison(index).await), "{index}");
    }
    assert_eq!(scenario.crashed(), crashed);
}

#[tokio::test]
async fn instances_that_the_store_turns_away_know_of_ends_from_others() {
    let run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    let reader = run.wait_single_reader().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != reader).collect();
    for index in &others {
        run.instances[*index].store_relay.set(RelayMode::Reset);
    }
    // All three crashes are seen by instances that cannot write to the store.
    wait_until("upstreams crash", async || {
        run.send_poison(others[scenario.crashed() % 2]).await;
        scenario.crashed() >= QUARANTINE_CRASHES
    })
    .await;
    tokio::time::sleep(NO_STORE_BOUND).await;
    let crashed = scenario.crashed();
    for index in 0..3 {
        assert!(is_quarantined(&run.send_poison(index).await), "{index}");
    }
    assert_eq!(scenario.crashed(), crashed);
}

#[tokio::test]
async fn an_end_is_told_at_once_although_earlier_ones_wait_for_the_store() {
    let run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    let reader = run.wait_single_reader().await;
    let other = (reader + 1) % 3;
    run.instances[other].store_relay.set(RelayMode::Reset);
    run.send_poison(other).await;
    assert_eq!(scenario.crashed(), 2);
    // By now the instance tries to write its reports only every five seconds.
    tokio::time::sleep(Duration::from_secs(5)).await;
    run.send_poison(other).await;
    let started = Instant::now();
    run.wait_reports(QUARANTINE_CRASHES).await;
    assert!(started.elapsed() < UPDATE_BOUND, "{:?}", started.elapsed());
}

#[tokio::test]
async fn reports_that_the_store_did_not_take_are_written_when_it_answers_again() {
    let mut run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    run.store.set_down(true);
    crash_upstreams(&run, &scenario, 1).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    assert_eq!(run.store.rows(REPORTS).len(), 0);
    run.store.set_down(false);
    run.wait_reports(1).await;
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    run.wait_reports(QUARANTINE_CRASHES).await;
    run.restart_all().await;
    run.wait_status(0, "/t/1", 200).await;
    assert!(is_quarantined(&run.send_poison(0).await));
}

#[tokio::test]
async fn an_operator_who_removes_the_rows_ends_the_quarantine() {
    let run = plain_zone().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    run.wait_reports(QUARANTINE_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    assert!(is_quarantined(&run.send_poison(0).await));
    for (key, _) in run.store.rows(REPORTS) {
        run.store.remove(REPORTS, &key);
    }
    // One try: it crashes two upstreams again.
    wait_until("a try reaches an upstream again", async || {
        !is_quarantined(&run.send_poison(1).await)
    })
    .await;
}

// Guards against a crash that is never reported because the upstream still accepts connections when it is examined.
#[tokio::test]
async fn ends_are_reported_although_the_listeners_outlive_the_connections() {
    let run = plain_zone().await;
    for upstream in &run.upstreams {
        upstream.state.lock().unwrap().linger = LINGER;
    }
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    crash_upstreams(&run, &scenario, QUARANTINE_CRASHES).await;
    let crashed_at = Instant::now();
    run.wait_reports(QUARANTINE_CRASHES).await;
    assert!(
        crashed_at.elapsed() < UPDATE_BOUND,
        "{:?}",
        crashed_at.elapsed()
    );
    tokio::time::sleep(UPDATE_BOUND).await;
    for index in 0..3 {
        assert!(is_quarantined(&run.send_poison(index).await), "{index}");
    }
}

#[tokio::test]
async fn a_request_whose_connections_break_at_upstreams_that_are_well_is_no_suspect() {
    let run = plain_zone().await;
    for mode in [UpstreamMode::Reset, UpstreamMode::CutBody] {
        for upstream in &run.upstreams {
            upstream.set(mode);
        }
        for index in 0..12 {
            let reply = run.send_poison(index % 3).await;
            assert_eq!(reply.status(), 502, "{reply:?}");
        }
    }
    for upstream in &run.upstreams {
        upstream.set(UpstreamMode::Answer);
    }
    for index in 0..3 {
        assert_eq!(run.send_poison(index).await.status(), 200);
    }
    assert_eq!(run.store.rows(REPORTS).len(), 0);
}

#[tokio::test]
async fn who_ran_beside_the_cause_is_served_when_it_comes_back() {
    let run = stream_zones().await;
    let scenario = CrashScenario::start(&run.store, &run.upstreams, POISON_BODY);
    for upstream in &run.upstreams {
        upstream.set(UpstreamMode::PauseAfter(1, Duration::from_secs(2)));
    }
    // The engines crash at the same moment, while streams run.
    let crashes = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for upstream in &run.upstreams {
            upstream.crash();
        }
    };
    let (first, second, third, ()) = tokio::join!(
        stream(&run, 0, "prompt 0"),
        stream(&run, 1, "prompt 1"),
        stream(&run, 2, "prompt 2"),
        crashes
    );
    for reply in [first, second, third] {
        assert!(!reply.whole, "{reply:?}");
    }
    wait_until("other engines take their place", async || {
        stream(&run, 0, "a prompt").await.status() == 200
    })
    .await;
    assert_eq!(scenario.tries(), 0);
    for index in 0..3 {
        let reply = stream(&run, index + 1, &format!("prompt {index}")).await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
}
