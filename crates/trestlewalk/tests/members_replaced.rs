//! A rolling replacement of all entry instances of an availability zone under load loses no request.

mod support;

use {
    std::time::Instant,
    support::{Fleet, FleetPlan, MemberLoad, TABLE, model_work::long_prompt, wait_until},
};

const CALLERS: usize = 8;
const ENTRIES: usize = 3;
const ZONE: &str = "gijon";

#[tokio::test]
async fn a_zone_whose_instances_are_replaced_loses_no_request() {
    let mut fleet = start().await;
    let models = MemberLoad::start(&fleet, CALLERS, |endpoint, number| {
        endpoint.completion("report", &long_prompt(number, 20), 8, false)
    });
    let calls = MemberLoad::start(&fleet, CALLERS, |endpoint, _| {
        endpoint.get("/services/carta/tile").work("tile")
    });
    for number in 1..=ENTRIES {
        let started = Instant::now();
        let old = format!("{ZONE}-{number}");
        let new = format!("{ZONE}-{}", number + ENTRIES);
        fleet.start_entry(&new, ZONE).await;
        fleet.wait_ready(&new).await;
        let ready = started.elapsed();
        for load in [&models, &calls] {
            load.add(&fleet, &new);
            load.wait_answered(CALLERS).await;
        }
        fleet.terminate(&old);
        wait_until("the old instance is not ready", async || {
            let reply = fleet.admin(&old, "/ready").try_send().await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 503)
        })
        .await;
        models.remove(&old);
        calls.remove(&old);
        assert_eq!(fleet.wait_exit(&old).await.code(), Some(0), "{old}");
        println!(
            "members: {old} replaced: new one ready after {ready:?}, whole change {:?}",
            started.elapsed()
        );
        models.wait_answered(CALLERS).await;
        calls.wait_answered(CALLERS).await;
    }
    let models = models.close().await;
    let calls = calls.close().await;
    println!("members: replaced: model work {models:?}");
    println!("members: replaced: plain calls {calls:?}");
    assert!(models.lost.is_empty(), "{models:?}");
    assert!(calls.lost.is_empty(), "{calls:?}");
}

async fn start() -> Fleet {
    let fleet = FleetPlan::new()
        .entries(ENTRIES)
        .plain(2)
        .prefill(1)
        .decode(1)
        .start()
        .await;
    fleet.put_table(TABLE).await;
    fleet.wait_allocator_agreed().await;
    fleet
}
