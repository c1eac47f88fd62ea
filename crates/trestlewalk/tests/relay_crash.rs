//! A request that ends each upstream that begins to run it, and comes back.
//!
//! Seen: on one day one caller's request ended ten engines, another's fourteen; the other streams of those engines broke with
//! them. How it came about: each try has another id and arrives at another instance, and instances
//! knew a request by that id alone, so that every try was a new one. Proof: at each of twenty ends a young stream of the same
//! row was lost; with the tries told by what they ask for, three ends are the last. Told by their address as well they were
//! nine, three for each availability zone.

mod relay_support;
mod support;

use {
    relay_support::{
        CallerReply, CrashGround, RelayTest, UpstreamMode, ZoneRun, relay_test::STREAM_HEADERS,
    },
    serde_json::json,
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    support::{relay_mode::RelayMode, wait::wait_until},
};

/// How long the listener of an upstream outlives its connections: a machine under load closes them one after the other.
const LINGER: Duration = Duration::from_millis(250);
/// The body of the request that ends upstreams.
const DEADLY: &str = "the deadly prompt";
/// Within this time all instances that the store answers know of a third end.
const NEWS_BOUND: Duration = Duration::from_secs(2);
/// The same when the store turns instances away, who reads for the others among them: as for other news.
const TURNED_AWAY_BOUND: Duration = Duration::from_secs(4);
/// The ends after which a request is sent on no more.
const ENOUGH_ENDS: usize = 3;
/// The header with the numbered result.
const RESULT: &str = "trestlewalk-result";
/// The result of a request that is in quarantine.
const QUARANTINED: &str = "2019";
/// The table of reports of ended upstreams.
const REPORTS: &str = "trestlewalk-crashes";

/// Three instances of one zone, before upstreams of a plain service whose calls may be repeated once.
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
    /// One try of the deadly request.
    async fn deadly(&self, index: usize) -> CallerReply {
        let (path, headers) = match self.config["Routes"][0]["Kind"] == "streaming" {
            true => ("/note/1", STREAM_HEADERS),
            false => ("/t/1", "X-Deadline-Ms: 4000\r\n"),
        };
        self.send(index, "POST", path, headers, DEADLY).await
    }

    /// Waits until the store has so many reports or more.
    async fn wait_reports(&self, count: usize) {
        wait_until("reports in the store", async || {
            self.store.rows(REPORTS).len() >= count
        })
        .await;
    }
}

/// Two instances in each of two zones, before engines of one model service.
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

/// Sends tries of the deadly request to one instance after the other, until so many upstreams ended.
async fn end_some(run: &ZoneRun, ground: &CrashGround, count: usize) {
    let mut index = 0;
    wait_until("upstreams end", async || {
        run.deadly(index % run.instances.len()).await;
        index += 1;
        ground.ended() >= count
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
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    let (ended, tries) = (ground.ended(), ground.tries());
    for index in 0..12 {
        let reply = run.deadly(index % 4).await;
        assert!(is_quarantined(&reply), "{reply:?}");
        assert_eq!(stream(&run, index % 4, "a prompt").await.status(), 200);
    }
    assert_eq!((ground.ended(), ground.tries()), (ended, tries));
}

#[tokio::test]
async fn a_plain_request_that_ends_its_upstreams_is_sent_to_no_further_one() {
    let run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    let ended = ground.ended();
    for index in 0..6 {
        assert!(is_quarantined(&run.deadly(index % 3).await));
        assert_eq!(run.status(index % 3, "/t/1").await, 200);
    }
    assert_eq!(ground.ended(), ended);
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
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    let reply = run.deadly(0).await;
    // It ran, so that nobody may say it did not.
    assert_eq!(reply.status(), 502);
    // The fourth call goes out at once, before it is known that the third upstream ended.
    assert!((3..=4).contains(&ground.ended()), "{}", ground.ended());
}

#[tokio::test]
async fn a_caller_that_comes_back_from_other_addresses_is_known_again() {
    let run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    let ended = ground.ended();
    for index in 0..3 {
        let own = Ipv4Addr::new(127, 0, 1, index);
        let headers = "X-Deadline-Ms: 4000\r\n";
        let from = usize::from(index);
        let reply = run.send_from(own, from, "POST", "/t/1", headers, DEADLY);
        assert!(is_quarantined(&reply.await));
    }
    assert_eq!(ground.ended(), ended);
}

#[tokio::test]
async fn a_quarantine_outlasts_the_instances() {
    let mut run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    let ended = ground.ended();
    run.store.set_slow(REPORTS, Duration::from_millis(150));
    run.restart_all().await;
    // Who serves knows of it: the first try of each is refused.
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
        assert!(is_quarantined(&run.deadly(index).await), "{index}");
    }
    assert_eq!(ground.ended(), ended);
}

#[tokio::test]
async fn instances_that_the_store_turns_away_know_of_ends_from_others() {
    let run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    let reader = run.wait_one_reads().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != reader).collect();
    for index in &others {
        run.instances[*index].way.set(RelayMode::Reset);
    }
    // All three ends are seen by instances that can't write to the store.
    wait_until("upstreams end", async || {
        run.deadly(others[ground.ended() % 2]).await;
        ground.ended() >= ENOUGH_ENDS
    })
    .await;
    tokio::time::sleep(TURNED_AWAY_BOUND).await;
    let ended = ground.ended();
    for index in 0..3 {
        assert!(is_quarantined(&run.deadly(index).await), "{index}");
    }
    assert_eq!(ground.ended(), ended);
}

#[tokio::test]
async fn an_end_is_told_at_once_although_earlier_ones_wait_for_the_store() {
    let run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    let reader = run.wait_one_reads().await;
    let other = (reader + 1) % 3;
    run.instances[other].way.set(RelayMode::Reset);
    run.deadly(other).await;
    assert_eq!(ground.ended(), 2);
    // By now it tries to write them every five seconds alone.
    tokio::time::sleep(Duration::from_secs(5)).await;
    run.deadly(other).await;
    let told = Instant::now();
    run.wait_reports(ENOUGH_ENDS).await;
    assert!(told.elapsed() < NEWS_BOUND, "{:?}", told.elapsed());
}

#[tokio::test]
async fn reports_that_the_store_did_not_take_are_written_when_it_answers_again() {
    let mut run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    run.store.set_down(true);
    end_some(&run, &ground, 1).await;
    tokio::time::sleep(NEWS_BOUND).await;
    assert_eq!(run.store.rows(REPORTS).len(), 0);
    run.store.set_down(false);
    run.wait_reports(1).await;
    end_some(&run, &ground, ENOUGH_ENDS).await;
    run.wait_reports(ENOUGH_ENDS).await;
    run.restart_all().await;
    run.wait_status(0, "/t/1", 200).await;
    assert!(is_quarantined(&run.deadly(0).await));
}

#[tokio::test]
async fn an_operator_who_removes_the_rows_ends_the_quarantine() {
    let run = plain_zone().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    run.wait_reports(ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    assert!(is_quarantined(&run.deadly(0).await));
    for (key, _) in run.store.rows(REPORTS) {
        run.store.remove(REPORTS, &key);
    }
    // A single try: it ends two upstreams again.
    wait_until("a try is sent on again", async || {
        !is_quarantined(&run.deadly(1).await)
    })
    .await;
}

// Guards against an end that is never reported, since the upstream still took connections when it was examined.
#[tokio::test]
async fn ends_are_reported_although_the_listeners_outlive_the_connections() {
    let run = plain_zone().await;
    for upstream in &run.upstreams {
        upstream.state.lock().unwrap().linger = LINGER;
    }
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    let ended = Instant::now();
    run.wait_reports(ENOUGH_ENDS).await;
    assert!(ended.elapsed() < NEWS_BOUND, "{:?}", ended.elapsed());
    tokio::time::sleep(NEWS_BOUND).await;
    for index in 0..3 {
        assert!(is_quarantined(&run.deadly(index).await), "{index}");
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
            let reply = run.deadly(index % 3).await;
            assert_eq!(reply.status(), 502, "{reply:?}");
        }
    }
    for upstream in &run.upstreams {
        upstream.set(UpstreamMode::Answer);
    }
    for index in 0..3 {
        assert_eq!(run.deadly(index).await.status(), 200);
    }
    assert_eq!(run.store.rows(REPORTS).len(), 0);
}

#[tokio::test]
async fn who_ran_beside_the_cause_is_served_when_it_comes_back() {
    let run = stream_zones().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    for upstream in &run.upstreams {
        upstream.set(UpstreamMode::PauseAfter(1, Duration::from_secs(2)));
    }
    // Streams run when their engines end, all at the same moment.
    let ends = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for upstream in &run.upstreams {
            upstream.end();
        }
    };
    let (first, second, third, ()) = tokio::join!(
        stream(&run, 0, "prompt 0"),
        stream(&run, 1, "prompt 1"),
        stream(&run, 2, "prompt 2"),
        ends
    );
    for reply in [first, second, third] {
        assert!(!reply.whole, "{reply:?}");
    }
    wait_until("other engines take their place", async || {
        stream(&run, 0, "a prompt").await.status() == 200
    })
    .await;
    assert_eq!(ground.tries(), 0);
    for index in 0..3 {
        let reply = stream(&run, index + 1, &format!("prompt {index}")).await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
}
