//! Partitions between availability zones and between a zone and the platform.

mod support;

use support::{Fleet, FleetPlan, TABLE, wait_until};

const ENTRIES: usize = 2;
const ZONES: [&str; 2] = ["gijon", "ferrol"];

#[tokio::test]
async fn both_sides_of_a_cut_notice_it_and_its_end() {
    let fleet = start().await;
    fleet.partition_zones("gijon", "ferrol");
    for entry in ["gijon-1", "ferrol-1"] {
        wait_partition_noticed(&fleet, entry, true).await;
    }
    fleet.heal_zones("gijon", "ferrol");
    for entry in ["gijon-1", "ferrol-1"] {
        wait_partition_noticed(&fleet, entry, false).await;
        wait_members(&fleet, entry, ENTRIES * ZONES.len()).await;
    }
}

#[tokio::test]
async fn an_isolated_zone_serves_on_with_its_table_and_takes_the_next_when_it_is_back() {
    let fleet = start().await;
    let earlier = fleet.version("gijon-1").await;
    fleet.isolate_zone("gijon");
    let later = fleet.commit_table(&TABLE.replace("1s", "2s")).await;
    for entry in ["ferrol-1", "ferrol-2"] {
        wait_version(&fleet, entry, later).await;
    }
    assert_eq!(fleet.version("gijon-1").await, earlier);
    let call = fleet.entry("gijon-1").get("/services/carta/tile");
    assert_eq!(call.work("tile").send().await.code(), 1000);
    fleet.rejoin_zone("gijon");
    for entry in ["gijon-1", "gijon-2"] {
        wait_version(&fleet, entry, later).await;
    }
}

/// Starts two availability zones whose members all know each other and have a table in force.
async fn start() -> Fleet {
    let fleet = FleetPlan::new()
        .zones(&ZONES)
        .entries(ENTRIES)
        .plain(1)
        .start()
        .await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_members(&fleet, &entry, ENTRIES * ZONES.len()).await;
    }
    fleet
}

async fn wait_partition_noticed(fleet: &Fleet, entry: &str, is_partitioned: bool) {
    wait_until(
        &format!("{entry} reports cut: {is_partitioned}"),
        async || {
            let dump = fleet.dump(entry).await;
            dump["peer"]["members"]["zones"][0]["cut"] == is_partitioned
        },
    )
    .await;
}

async fn wait_members(fleet: &Fleet, entry: &str, count: usize) {
    wait_until(&format!("{entry} hears {count} members"), async || {
        let dump = fleet.dump(entry).await;
        let heard = dump["peer"]["members"]["heard"].as_array();
        heard.is_some_and(|heard| heard.len() == count)
    })
    .await;
}

async fn wait_version(fleet: &Fleet, entry: &str, version: u64) {
    wait_until(&format!("{entry} has version {version}"), async || {
        fleet.version(entry).await == version
    })
    .await;
}
