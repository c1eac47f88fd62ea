//! Upstreams that state how many requests a second they accept from all instances together.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, UpstreamStandIn, ZoneRun},
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::wait::wait_until,
};

const INSTANCES: usize = 3;
const RATE: f64 = 1.6;
/// The bound that operators check: a window, and the calls in it by the stated rate.
const WINDOW: Duration = Duration::from_secs(4);
/// When the bound begins to hold, after the first answer that states a rate.
const GRACE: Duration = Duration::from_secs(3);

fn allowed_calls() -> usize {
    (1.5 * RATE * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn start_zone() -> Arc<ZoneRun> {
    let run = RelayTest::new()
        .plain("carta", 3)
        .route("/t/", "safe", "carta", &json!({"MaxAttempts": 2}))
        .start_zone(INSTANCES)
        .await;
    for index in 0..INSTANCES {
        run.wait_status(index, "/t/1", 200).await;
    }
    Arc::new(run)
}

/// Sends thirty requests a second, to the instances in turn, for some time. Returns the statuses.
async fn send_steadily(run: &Arc<ZoneRun>, span: Duration) -> Vec<u16> {
    let mut pace = tokio::time::interval(Duration::from_millis(33));
    let end = Instant::now() + span;
    let mut calls = Vec::new();
    while Instant::now() < end {
        pace.tick().await;
        let (run, index) = (run.clone(), calls.len() % INSTANCES);
        calls.push(tokio::spawn(async move { run.status(index, "/t/1").await }));
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await.unwrap());
    }
    statuses
}

/// The largest number of calls in any window that begins at `from` or later.
fn busiest_window(upstream: &UpstreamStandIn, from: Instant) -> usize {
    let received = upstream.received();
    let times: Vec<Instant> = received
        .iter()
        .map(|call| call.at)
        .filter(|at| *at >= from)
        .collect();
    let in_window = |first: &Instant| {
        let calls = times.iter().filter(|at| *at >= first);
        calls.filter(|at| **at - *first < WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against calls beyond a stated rate limit: each instance may keep to it alone, and their sum exceed it.
#[tokio::test]
async fn all_instances_together_keep_to_the_rate_that_an_upstream_states() {
    let run = start_zone().await;
    for upstream in &run.upstreams[..2] {
        upstream.state_rate_limit(Some("1.6"));
    }
    let stated = Instant::now();
    let statuses = send_steadily(&run, GRACE + WINDOW + WINDOW / 2).await;
    for upstream in &run.upstreams[..2] {
        let busiest = busiest_window(upstream, stated + GRACE);
        assert!(busiest <= allowed_calls(), "{busiest} calls");
        assert!(busiest > 0, "{} is not called at all", upstream.id);
    }
    assert!(statuses.iter().all(|status| *status == 200));
}

/// Sends requests to an engine service, one every `pause`, for some time.
async fn stream_steadily(run: &RelayRun, pause: Duration, span: Duration) -> Vec<u16> {
    let end = Instant::now() + span;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        statuses.push(run.stream("/s/1").await.status());
        tokio::time::sleep(pause).await;
    }
    statuses
}

/// Guards against a reservation and the run after it being counted as one call.
#[tokio::test]
async fn reservations_and_runs_both_count_towards_the_rate_of_an_engine() {
    let run = RelayTest::new()
        .engines("redactor", 2, 0)
        .route("/s/", "streaming", "redactor", &json!({"TargetGapMs": 300}))
        .start_ready()
        .await;
    let limited = run.upstream("i-redactor-d0");
    limited.state_rate_limit(Some("1.6"));
    wait_until("the engine states its limit", async || {
        // Two streams at once run at two engines.
        tokio::join!(run.stream("/s/1"), run.stream("/s/1"));
        !run.metric_lines("trestlewalk_relay_upstream_rate_limit")
            .await
            .is_empty()
    })
    .await;
    let stated = Instant::now();
    let statuses = stream_steadily(&run, Duration::from_millis(20), GRACE + WINDOW + WINDOW).await;
    let busiest = busiest_window(limited, stated + GRACE);
    // The rate itself, and one stream that begins and one that ends in the window.
    let stated_calls = (RATE * WINDOW.as_secs_f64()) as usize;
    assert!(busiest <= stated_calls + 2, "{busiest} calls");
    // The engine with an open connection must not keep the limited one from all calls.
    assert!(busiest > 0);
    assert!(statuses.iter().all(|status| *status == 200));
}

/// Guards against an instance that has to exceed a limit in order to learn of it.
#[tokio::test]
async fn an_instance_learns_of_a_limit_and_of_its_end_from_others() {
    let run = start_zone().await;
    let knows = async |index: usize| {
        let process = &run.instances[index].process;
        let reply = process.get("admin", "/metrics").send().await;
        String::from_utf8_lossy(&reply.body)
            .contains("upstream_rate_limit{upstream=\"i-carta-0\"} 2")
    };
    run.upstreams[0].state_rate_limit(Some("2"));
    wait_until("the first instance is told", async || {
        run.status(0, "/t/1").await;
        knows(0).await
    })
    .await;
    for index in 1..INSTANCES {
        wait_until("the others know", async || knows(index).await).await;
    }
    let dump = run.instances[1].process.get("admin", "/dump").send().await;
    let dump: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
    let row = &dump["rate_limits"]["upstreams"][0];
    assert_eq!(
        (&row["upstream"], &row["rate"]),
        (&json!("i-carta-0"), &json!(2.0))
    );
    run.upstreams[0].state_rate_limit(None);
    wait_until("the first instance is told of the end", async || {
        run.status(0, "/t/1").await;
        !knows(0).await
    })
    .await;
    for index in 1..INSTANCES {
        wait_until("the others know of the end", async || !knows(index).await).await;
    }
}

/// Guards against requests that are held, or tried one upstream after the other, where none accepts any.
#[tokio::test]
async fn with_all_upstreams_at_their_limit_requests_are_refused_at_once_with_a_time_to_return() {
    let run = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "safe", "carta", &json!({"MaxAttempts": 2}))
        .start_ready()
        .await;
    for upstream in &run.upstreams {
        upstream.state_rate_limit(Some("0.5"));
    }
    let mut refusals = Vec::new();
    wait_until("requests are refused", async || {
        let reply = run.call("GET", "/t/1", "").await;
        if reply.status() == 503 {
            refusals.push(reply);
        }
        refusals.len() >= 20
    })
    .await;
    let mut times = Vec::new();
    for reply in &refusals {
        assert_eq!(reply.header("trestlewalk-result"), Some("2024"));
        let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && after <= 4.0, "{after}");
        times.push(reply.header("retry-after").unwrap().to_owned());
    }
    times.sort();
    times.dedup();
    assert!(times.len() > 10, "callers come back together: {times:?}");
    let retries = run.metric_lines("trestlewalk_relay_retries_total").await;
    assert_eq!(retries, ["trestlewalk_relay_retries_total 0"]);
}

#[tokio::test]
async fn statements_that_cannot_be_read_are_logged_once_and_change_nothing() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    for text in ["-3", "1e300", "2 rps", "1\r\nServer-Limit: 2"] {
        run.upstreams[0].state_rate_limit(Some(text));
        for _ in 0..10 {
            assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
        }
    }
    let unreadable = "an upstream states a rate limit that can't be read";
    wait_until("the fault is logged", async || {
        run.process.log().contains(unreadable)
    })
    .await;
    assert_eq!(run.process.log().matches(unreadable).count(), 1);
}
