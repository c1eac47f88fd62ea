//! Upstreams that state how many requests a second they accept from all instances together.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, UpstreamStandIn, ZoneRun},
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
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
