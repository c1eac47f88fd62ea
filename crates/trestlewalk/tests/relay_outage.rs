//! Outages of the store around upstreams that leave or whose entries lapse, with the times of a deployment.

mod relay_support;
mod support;

use {
    futures_util::future,
    relay_support::{RelayTest, ZoneRun},
    serde_json::json,
    std::time::{Duration, Instant},
    support::wait::wait_until,
    tokio::time,
};

/// How long after an outage of the store an instance is in touch with it again.
const STABLE_AFTER: Duration = Duration::from_millis(3_000);
/// Outages that end at different moments of an attempt to read the store.
const OUTAGES: [Duration; 6] = [
    Duration::from_millis(4_300),
    Duration::from_millis(4_900),
    Duration::from_millis(5_500),
    Duration::from_millis(6_100),
    Duration::from_millis(5_200),
    Duration::from_millis(6_300),
];
const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];

async fn start_zones() -> ZoneRun {
    let test = RelayTest::new()
        .plain("carta", 5)
        .route("/t/", "unsafe", "carta", &json!({}))
        .heartbeat("1200ms")
        .store_times("list_poll: 900ms, timeout: 700ms");
    let run = test.start_zones(&ZONES, 1).await;
    for index in 0..ZONES.len() {
        run.wait_ready(index).await;
    }
    run
}

/// Takes the store away for a time and returns when it was back.
async fn take_store_away(run: &ZoneRun, time: Duration) -> Instant {
    run.store.set_silent(true);
    time::sleep(time).await;
    run.store.set_silent(false);
    Instant::now()
}

/// Guards against work for an upstream that was removed just before an outage, once the store is stable again.
#[tokio::test]
async fn what_was_removed_before_an_outage_gets_no_work_once_the_store_is_stable_again() {
    let late = future::join_all(OUTAGES.map(async |outage| {
        let run = start_zones().await;
        let reads = run.store.calls("/rows-get");
        wait_until("the list is read", async || {
            run.store.calls("/rows-get") > reads
        })
        .await;
        run.store.remove("servers", "i-carta-0");
        let back = take_store_away(&run, outage).await;
        run.send_until("/t/1", back + STABLE_AFTER).await;
        let before = run.upstreams[0].runs().len();
        run.send_until("/t/1", back + 2 * STABLE_AFTER).await;
        (outage, run.upstreams[0].runs().len() - before)
    }))
    .await;
    assert!(late.iter().all(|(_, late)| *late == 0), "{late:?}");
}

/// Guards against refusals while all entries have lapsed in an outage and the upstreams live: they report within 1.2 s.
#[tokio::test]
async fn what_lapsed_in_an_outage_and_lives_is_served_all_the_while() {
    let run = start_zones().await;
    for outage in [OUTAGES[0], OUTAGES[5]] {
        run.store.set_silent(true);
        time::sleep(outage).await;
        for upstream in &run.upstreams {
            run.store.remove("servers", &upstream.id);
        }
        run.store.set_silent(false);
        let back = Instant::now();
        run.send_until("/t/1", back + Duration::from_millis(1_200))
            .await;
        for upstream in &run.upstreams {
            run.store
                .put("servers", &upstream.id, &upstream.report("ready"));
        }
        run.send_until("/t/1", back + 2 * STABLE_AFTER).await;
    }
}
