//! Availability zones that operators evacuate, and upstreams that are cold.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, UpstreamStandIn, ZoneRun},
    serde_json::json,
    support::{relay_mode::RelayMode, wait::wait_until},
};

const NEAR: &str = "evacuate/gijon";
const FAR: &str = "evacuate/santander";

/// One upstream in the zone of the instances and one in another zone.
fn two_zones() -> RelayTest {
    RelayTest::new()
        .plain("carta", 2)
        .in_other_zone("i-carta-1")
        .route("/t/", "safe", "carta", &json!({}))
}

fn evacuate(run: &RelayRun, key: &str) {
    run.store.put("op", key, &json!({}));
}

/// Sends requests until one runs at an upstream.
async fn wait_run(upstream: &UpstreamStandIn, send: impl AsyncFn()) {
    wait_until("a request runs at the upstream", async || {
        let before = upstream.runs().len();
        send().await;
        upstream.runs().len() > before
    })
    .await;
}

#[tokio::test]
async fn an_evacuated_zone_gets_no_work_until_it_is_taken_back() {
    let run = two_zones().start_ready().await;
    let call = async || {
        assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    };
    wait_run(&run.upstreams[0], call).await;
    evacuate(&run, NEAR);
    wait_run(&run.upstreams[1], call).await;
    let before = run.upstreams[0].runs().len();
    for _ in 0..20 {
        call().await;
    }
    assert_eq!(run.upstreams[0].runs().len(), before);
    run.store.remove("op", NEAR);
    wait_run(&run.upstreams[0], call).await;
}

#[tokio::test]
async fn with_all_zones_evacuated_requests_are_refused_at_once_as_not_run() {
    let run = two_zones().start_ready().await;
    evacuate(&run, NEAR);
    evacuate(&run, FAR);
    wait_until("no zone is left", async || {
        let reply = run.call("GET", "/t/1", "").await;
        reply.status() == 503 && reply.header("retry-after").is_some()
    })
    .await;
    wait_until("the reason is logged", async || {
        let log = run.process.log();
        log.contains("all upstreams are in evacuated")
    })
    .await;
    run.store.remove("op", FAR);
    wait_run(&run.upstreams[1], async || {
        run.call("GET", "/t/1", "").await;
    })
    .await;
}

#[tokio::test]
async fn the_evacuation_of_an_unknown_zone_is_logged_and_changes_nothing() {
    let run = two_zones()
        .regions("{gijon: north, santander: north}")
        .start_ready()
        .await;
    evacuate(&run, "evacuate/nowhere");
    evacuate(&run, "evacuate/");
    wait_until("both are logged", async || {
        let log = run.process.log();
        log.contains("zone does not exist") && log.contains("names no availability zone")
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
}

/// The history of the store may be lost at any time, also between the change and the watch that was to see it.
#[tokio::test]
async fn evacuations_are_read_in_full_when_the_history_is_lost() {
    let run = two_zones().start_ready().await;
    let call = async || {
        run.call("GET", "/t/1", "").await;
    };
    run.store.forget();
    evacuate(&run, NEAR);
    run.store.forget();
    wait_run(&run.upstreams[1], call).await;
    run.store.remove("op", NEAR);
    run.store.forget();
    wait_run(&run.upstreams[0], call).await;
}

async fn start_zone() -> ZoneRun {
    let run = two_zones().start_zone(3).await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    run
}

/// Waits until an instance sends its requests to the other zone.
async fn wait_evacuated(run: &ZoneRun, index: usize) {
    wait_run(&run.upstreams[1], async || {
        run.status(index, "/t/1").await;
    })
    .await;
}

#[tokio::test]
async fn an_evacuation_reaches_instances_that_the_store_does_not_answer() {
    let run = start_zone().await;
    let reader = run.wait_single_reader().await;
    for index in (0..3).filter(|index| *index != reader) {
        run.instances[index].store_relay.set(RelayMode::Silent);
    }
    run.store.put("op", NEAR, &json!({}));
    for index in 0..3 {
        wait_evacuated(&run, index).await;
    }
}

#[tokio::test]
async fn an_evacuation_outlasts_the_death_of_the_reader_and_a_restart_of_all() {
    let mut run = start_zone().await;
    let reader = run.wait_single_reader().await;
    run.store.put("op", NEAR, &json!({}));
    for index in 0..3 {
        wait_evacuated(&run, index).await;
    }
    let before = run.upstreams[0].runs().len();
    run.instances[reader].process.kill().await;
    run.store.forget();
    for index in (0..3).filter(|index| *index != reader) {
        for _ in 0..10 {
            run.status(index, "/t/1").await;
        }
    }
    run.restart_all().await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    assert_eq!(run.upstreams[0].runs().len(), before);
}

/// A single instance has all turns at a cold upstream; the rate is one call in 14 s.
#[tokio::test]
async fn a_cold_upstream_gets_its_rate_of_calls_and_the_caller_learns_when_to_return() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut report = run.upstreams[0].report("ready");
    report["ColdRemainingMs"] = json!(60_000.0);
    run.store.put("servers", "i-carta-0", &report);
    run.change(|config| {
        config["Services"][0]["ColdPerS"] = json!(0.1);
        config["Services"][0]["ColdStartS"] = json!(3.0);
    });
    wait_until("the upstream counts as cold", async || {
        run.call("GET", "/t/1", "").await.status() == 503
    })
    .await;
    let before = run.upstreams[0].runs().len();
    for _ in 0..20 {
        let reply = run.call("GET", "/t/1", "").await;
        let after = reply.header("retry-after").map(str::parse::<f64>);
        assert!(reply.status() == 200 || after.is_some_and(|after| after.unwrap() <= 60.0));
    }
    assert!(run.upstreams[0].runs().len() <= before + 1);
}

#[tokio::test]
async fn invalid_cold_times_are_logged_and_do_no_harm() {
    let mut run = two_zones().start_ready().await;
    let mut report = run.upstreams[0].report("ready");
    report["ColdRemainingMs"] = json!(-5.0);
    run.store.put("servers", "i-carta-0", &report);
    run.change(|config| {
        config["Services"][0]["ColdPerS"] = json!(-1.0);
        config["Services"][0]["ColdStartS"] = json!("soon");
    });
    wait_until("both are logged", async || {
        let log = run.process.log();
        log.contains("ColdRemainingMs is -5") && log.contains("ColdPerS")
    })
    .await;
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
}
