//! All open connections to the store go silent at once, while new ones work.

mod relay_support;
mod support;

use {
    futures_util::future,
    relay_support::{RelayTest, ZoneRun},
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time,
};

/// How long the instances have run when the connections go silent: young ones have many idle connections.
const AGES: [Duration; 8] = [
    Duration::from_millis(4_000),
    Duration::from_millis(4_150),
    Duration::from_millis(4_300),
    Duration::from_millis(4_500),
    Duration::from_millis(4_700),
    Duration::from_millis(5_000),
    Duration::from_millis(5_300),
    Duration::from_millis(7_000),
];
const CHANGE_AFTER: Duration = Duration::from_millis(500);
const INSTANCES: usize = 3;
/// How long the store takes for an answer, so that calls overlap as an instance starts.
const STORE_PAUSE: Duration = Duration::from_millis(5);
/// How long after the silence the instances are in touch with the store again.
const STABLE_AFTER: Duration = Duration::from_millis(3_000);

async fn start_zone() -> ZoneRun {
    let test = RelayTest::new()
        .plain("carta", 3)
        .plain("carta-new", 3)
        .route("/t/", "unsafe", "carta", &json!({}))
        .heartbeat("1200ms")
        .orders()
        .poll("2s")
        .store_times("list_poll: 900ms, timeout: 700ms");
    let mut run = test.start_zone(INSTANCES).await;
    run.store.set_pause(STORE_PAUSE);
    run.restart_all().await;
    for index in 0..INSTANCES {
        run.wait_ready(index).await;
    }
    run
}

/// The number of requests that upstreams of the service before the change have run.
fn old_runs(run: &ZoneRun) -> usize {
    let old = run.upstreams.iter().filter(|upstream| {
        upstream.id.starts_with("i-carta-") && !upstream.id.starts_with("i-carta-new")
    });
    old.map(|upstream| upstream.runs().len()).sum()
}

/// Guards against routes that stay old while an instance tries its silent connections to the store one after the other.
#[tokio::test]
async fn a_change_is_followed_although_all_open_connections_to_the_store_went_silent() {
    let late = future::join_all(AGES.map(async |age| {
        let mut run = start_zone().await;
        time::sleep(age).await;
        for instance in &run.instances {
            instance.store_relay.silence_open();
        }
        let silent = Instant::now();
        time::sleep(CHANGE_AFTER).await;
        run.change(|config| config["Routes"][0]["Service"] = json!("carta-new"));
        run.send_until("/t/1", silent + STABLE_AFTER).await;
        let before = old_runs(&run);
        run.send_until("/t/1", silent + 2 * STABLE_AFTER).await;
        (age, old_runs(&run) - before)
    }))
    .await;
    assert!(late.iter().all(|(_, late)| *late == 0), "{late:?}");
}
