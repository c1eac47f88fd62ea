//! Reports of upstreams that the store carries out after newer ones, at instances that read the store and behind a reader.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, UpstreamStandIn, ZoneRun},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::wait::wait_until,
    tokio::time,
};

const ZONES: [&str; 2] = ["gijon", "santander"];
/// The interval of the upstreams' reports.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The list is read in this time, and passed on.
const SPREAD_TIME: Duration = Duration::from_millis(1_000);

async fn start_zones() -> ZoneRun {
    let test = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "unsafe", "carta", &json!({}))
        .heartbeat("100ms");
    let run = test.start_zones(&ZONES, 1).await;
    for index in 0..ZONES.len() {
        run.wait_ready(index).await;
    }
    run
}

fn report(upstream: &UpstreamStandIn, state: &str, number: u64) -> Value {
    let mut report = upstream.report(state);
    report["Sequence"] = json!(number);
    report
}

/// Sends requests to all instances for a time; returns how many the first upstream ran.
async fn runs_during(run: &ZoneRun, time: Duration) -> usize {
    let upstream = &run.upstreams[0];
    let before = upstream.runs().len();
    let end = Instant::now() + time;
    while Instant::now() < end {
        for index in 0..ZONES.len() {
            assert_eq!(run.status(index, "/t/1").await, 200);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    upstream.runs().len() - before
}

fn put(run: &ZoneRun, report: &Value) {
    run.store.put("servers", &run.upstreams[0].id, report);
}

/// Reports of the first upstream with rising numbers, as it lives.
async fn let_live(run: &ZoneRun) {
    for number in 1..=12 {
        put(run, &report(&run.upstreams[0], "ready", number));
        time::sleep(HEARTBEAT).await;
    }
    wait_until("the upstream gets work", async || {
        runs_during(run, Duration::from_millis(50)).await > 0
    })
    .await;
}

#[tokio::test]
async fn a_late_report_makes_no_upstream_ready_that_leaves() {
    let run = start_zones().await;
    let_live(&run).await;
    put(&run, &report(&run.upstreams[0], "draining", 13));
    runs_during(&run, SPREAD_TIME).await;
    put(&run, &report(&run.upstreams[0], "ready", 11));
    assert_eq!(runs_during(&run, 2 * SPREAD_TIME).await, 0);
}

#[tokio::test]
async fn a_late_report_brings_no_upstream_back_that_was_removed() {
    let run = start_zones().await;
    let_live(&run).await;
    run.store.remove("servers", &run.upstreams[0].id);
    runs_during(&run, SPREAD_TIME).await;
    put(&run, &report(&run.upstreams[0], "ready", 11));
    assert_eq!(runs_during(&run, 2 * SPREAD_TIME).await, 0);
}

#[tokio::test]
async fn an_upstream_that_starts_again_under_its_id_gets_work() {
    let mut run = start_zones().await;
    let_live(&run).await;
    put(&run, &report(&run.upstreams[0], "draining", 13));
    runs_during(&run, SPREAD_TIME).await;
    let old = run.upstreams[0].clone();
    run.upstreams[0] = UpstreamStandIn::start(&old.id, "carta", "gijon", old.kind()).await;
    put(&run, &report(&run.upstreams[0], "ready", 0));
    assert!(runs_during(&run, 2 * SPREAD_TIME).await > 0);
    // A late report of the process before doesn't replace it.
    put(&run, &report(&old, "ready", 11));
    runs_during(&run, SPREAD_TIME).await;
    assert!(runs_during(&run, SPREAD_TIME).await > 0);
}
