//! Instances of one zone share snapshots of the store: one instance reads for all, and none depends on it.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, ZoneRun},
    serde_json::json,
    std::time::Duration,
    support::{relay_mode::RelayMode, wait::wait_until},
};

async fn start_zone() -> ZoneRun {
    let run = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "safe", "carta", &json!({}))
        .start_zone(3)
        .await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    run
}

fn add_route(run: &mut ZoneRun, prefix: &str) {
    run.change(|config| {
        let mut route = config["Routes"][0].clone();
        route["Prefix"] = json!(prefix);
        config["Routes"].as_array_mut().unwrap().push(route);
    });
}

fn others(reader: usize) -> impl Iterator<Item = usize> {
    (0..3).filter(move |index| *index != reader)
}

#[tokio::test]
async fn one_instance_reads_the_store_for_its_zone() {
    let mut run = start_zone().await;
    run.wait_single_reader().await;
    add_route(&mut run, "/new/");
    for index in 0..3 {
        run.wait_status(index, "/new/1", 200).await;
    }
    run.store
        .put("servers", "i-carta-0", &run.upstreams[0].report("draining"));
    for index in 0..3 {
        wait_until("the draining upstream gets no work", async || {
            let before = run.upstreams[0].runs().len();
            for _ in 0..6 {
                run.status(index, "/t/1").await;
            }
            run.upstreams[0].runs().len() == before
        })
        .await;
    }
}

#[tokio::test]
async fn an_instance_that_the_store_turns_away_goes_on_by_the_readings_of_others() {
    let mut run = start_zone().await;
    let reader = run.wait_single_reader().await;
    for index in others(reader) {
        run.instances[index].store_relay.set(RelayMode::Reset);
    }
    add_route(&mut run, "/new/");
    for index in 0..3 {
        run.wait_status(index, "/new/1", 200).await;
    }
}

#[tokio::test]
async fn when_the_reader_is_turned_away_or_dies_another_takes_its_place() {
    let mut run = start_zone().await;
    let reader = run.wait_single_reader().await;
    run.instances[reader].store_relay.set(RelayMode::Reset);
    add_route(&mut run, "/new/");
    for index in others(reader) {
        run.wait_status(index, "/new/1", 200).await;
    }
    run.instances[reader].store_relay.set(RelayMode::Open);
    run.wait_status(reader, "/new/1", 200).await;
    run.instances[reader].process.kill().await;
    add_route(&mut run, "/newer/");
    for index in others(reader) {
        run.wait_status(index, "/newer/1", 200).await;
    }
}

/// A reader whose watch of the routes hangs still gets the routes that another instance has read.
#[tokio::test]
async fn a_reader_that_the_store_leaves_without_an_answer_takes_the_routes_of_others() {
    let mut run = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "safe", "carta", &json!({}))
        .poll("300s")
        .start_zone(3)
        .await;
    for index in 0..3 {
        run.wait_status(index, "/t/1", 200).await;
    }
    let reader = run.wait_single_reader().await;
    run.instances[reader].store_relay.set(RelayMode::Silent);
    add_route(&mut run, "/new/");
    run.wait_status(reader, "/new/1", 200).await;
}

#[tokio::test]
async fn a_reader_that_wakes_from_a_long_pause_brings_nothing_old_back() {
    let mut run = start_zone().await;
    let reader = run.wait_single_reader().await;
    run.instances[reader].process.pause().await;
    add_route(&mut run, "/new/");
    run.store.remove("servers", "i-carta-0");
    let gone = async |index: usize| {
        let before = run.upstreams[0].runs().len();
        for _ in 0..6 {
            run.status(index, "/t/1").await;
        }
        run.upstreams[0].runs().len() == before
    };
    for index in others(reader) {
        run.wait_status(index, "/new/1", 200).await;
        wait_until("the upstream is gone", async || gone(index).await).await;
    }
    run.instances[reader]
        .process
        .signal(rustix::process::Signal::CONT);
    run.wait_status(reader, "/new/1", 200).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in others(reader) {
        assert_eq!(run.status(index, "/new/1").await, 200);
        assert!(gone(index).await);
    }
}

#[tokio::test]
async fn the_directory_lists_the_instances_of_zones_whose_first_reads_nothing_itself() {
    let zones = ["gijon", "ferrol", "aviles"];
    let run = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "safe", "carta", &json!({}))
        .start_zones(&zones, 2)
        .await;
    for (index, zone) in zones.iter().enumerate() {
        wait_until("both instances are listed", async || {
            let rows = run.store.rows("trestlewalk");
            let key = format!("peers/zone/{zone}");
            let row = rows.iter().find(|(of, _)| *of == key);
            let names = [index * 2 + 1, index * 2 + 2].map(|number| format!("\"front-{number}\""));
            row.is_some_and(|(_, row)| names.iter().all(|name| row.contains(name)))
        })
        .await;
    }
}
