//! The store comes back from an older copy: its versions go back and are given out again.
//!
//! Guards against instances that pass over all that the store says until its versions have passed the former ones, and
//! against what the older copy brings back.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, ZoneRun},
    serde_json::{Value, json},
    std::time::Duration,
    support::wait::wait_until,
};

/// The time within which a change has to be in force at every instance.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// More instances than those that read the store by themselves when they have no news.
const MANY: usize = 8;
/// The number of writes that the store loses.
const LOST_WRITES: usize = 200;

async fn zone(count: usize) -> ZoneRun {
    let run = RelayTest::new()
        .plain("carta", 3)
        .route("/t/", "safe", "carta", &json!({}))
        .start_zone(count)
        .await;
    for index in 0..count {
        run.wait_status(index, "/t/1", 200).await;
    }
    run
}

fn add_route(config: &mut Value, name: &str) {
    let mut route = config["Routes"][0].clone();
    route["Name"] = json!(name);
    route["Prefix"] = json!(format!("/{name}/"));
    config["Routes"].as_array_mut().unwrap().push(route);
}

impl ZoneRun {
    /// Writes rows of no importance, so that the version rises.
    fn write_status(&self) {
        for _ in 0..LOST_WRITES {
            self.store.put("status", "reports", &json!({}));
        }
    }

    /// Waits until all instances have read what the store says now.
    async fn settle(&self) {
        tokio::time::sleep(CHANGE_BOUND).await;
    }

    /// How many requests an upstream has received.
    fn received(&self, upstream: usize) -> usize {
        self.upstreams[upstream].received().len()
    }

    /// Whether the directory in the store has the last instance.
    fn lists_members(&self) -> bool {
        let rows = self.store.rows("trestlewalk");
        let mut zones = rows
            .iter()
            .filter(|(key, _)| key.starts_with("peers/zone/"));
        zones.any(|(_, members)| members.contains("front-3"))
    }

    /// Sends requests to all instances.
    async fn send_some(&self) {
        for number in 0..30 {
            assert_eq!(self.status(number % 3, "/t/1").await, 200);
        }
    }
}

// Guards against lists that are passed over until the versions given out again have passed the former ones.
#[tokio::test]
async fn an_upstream_that_leaves_after_a_restore_gets_no_work() {
    let run = zone(3).await;
    let copy = run.store.copy();
    run.write_status();
    run.settle().await;
    run.store.restore(&copy);
    run.settle().await;
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    run.settle().await;
    let before = run.received(0);
    run.send_some().await;
    assert_eq!(run.received(0), before);
}

// Guards against instances that wait for a version above one of before the restore. The operators write the newest
// configuration again, and then a newer one.
#[tokio::test]
async fn a_configuration_written_after_a_restore_comes_into_force() {
    let mut run = zone(MANY).await;
    let copy = run.store.copy();
    run.write_status();
    run.change(|config| add_route(config, "before"));
    run.settle().await;
    for index in 0..MANY {
        assert_eq!(run.status(index, "/before/1").await, 200, "{index}");
    }
    run.store.restore(&copy);
    run.store.put("op", "config", &run.config);
    run.settle().await;
    run.change(|config| add_route(config, "after"));
    run.settle().await;
    for index in 0..MANY {
        assert_eq!(run.status(index, "/before/1").await, 200, "{index}");
        assert_eq!(run.status(index, "/after/1").await, 200, "{index}");
    }
}

// Guards against a change that reverts while the store shows the configuration before it.
#[tokio::test]
async fn a_configuration_does_not_revert_with_the_store() {
    let mut run = zone(3).await;
    let copy = run.store.copy();
    run.change(|config| add_route(config, "before"));
    run.settle().await;
    run.store.restore(&copy);
    for _ in 0..8 {
        for index in 0..3 {
            assert_eq!(run.status(index, "/before/1").await, 200, "{index}");
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

// Guards against work for an upstream that the copy shows as it was before it left.
#[tokio::test]
async fn an_upstream_that_left_before_a_restore_gets_no_work_after_it() {
    let run = zone(3).await;
    let copy = run.store.copy();
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    run.store.remove("servers", "i-carta-1");
    run.settle().await;
    run.store.restore(&copy);
    let before = (run.received(0), run.received(1));
    for _ in 0..8 {
        run.send_some().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!((run.received(0), run.received(1)), before);
}

// Guards against the loss of upstreams that the copy lacks until they have reported again.
#[tokio::test]
async fn an_upstream_that_came_before_a_restore_keeps_its_work() {
    let run = zone(3).await;
    let reports = [1, 2].map(|index| run.upstreams[index].report("ready"));
    run.store.remove("servers", "i-carta-1");
    run.store.remove("servers", "i-carta-2");
    run.settle().await;
    let copy = run.store.copy();
    run.store.put("servers", "i-carta-1", &reports[0]);
    run.store.put("servers", "i-carta-2", &reports[1]);
    run.settle().await;
    run.store.restore(&copy);
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    run.send_some().await;
}

// Guards against an answer of before the restore that arrives after one of after it, on another connection.
#[tokio::test]
async fn an_answer_of_an_earlier_era_is_not_used() {
    let run = zone(1).await;
    let copy = run.store.copy();
    run.store.restore(&copy);
    run.settle().await;
    run.store.state_earlier_era(true);
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    run.settle().await;
    let before = run.received(0);
    for _ in 0..30 {
        assert_eq!(run.status(0, "/t/1").await, 200);
    }
    assert!(run.received(0) > before);
    run.store.state_earlier_era(false);
    run.settle().await;
    let before = run.received(0);
    for _ in 0..30 {
        assert_eq!(run.status(0, "/t/1").await, 200);
    }
    assert_eq!(run.received(0), before);
}

// Guards against rows of the instances' own that are lost for good, since they count as written.
#[tokio::test]
async fn crash_reports_and_members_are_written_again_after_a_restore() {
    let run = zone(3).await;
    wait_until("the members are in the store", async || run.lists_members()).await;
    let mut copy = run.store.copy();
    copy.clear_table("trestlewalk");
    run.store.put_text(
        "trestlewalk-crashes",
        "0123456789abcdef0123456789abcdef/i-gone",
        "\"early\"",
    );
    run.settle().await;
    run.store.restore(&copy);
    wait_until("the report is in the store again", async || {
        run.store.rows("trestlewalk-crashes").len() == 1
    })
    .await;
    wait_until("the members are in the store again", async || {
        run.lists_members()
    })
    .await;
}
