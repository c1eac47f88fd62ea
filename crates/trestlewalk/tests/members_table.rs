//! The spread of the table among members of which some do not poll the platform.

mod support;

use {
    kernel::seeded_rng::rendezvous_score,
    serde_json::{Value, json},
    std::collections::BTreeSet,
    support::{Fleet, FleetPlan, RelayMode, TABLE, wait_until},
};

const ENTRIES: usize = 3;
const ZONE: &str = "gijon";

#[tokio::test]
async fn an_edit_that_only_an_instance_without_polls_holds_reaches_all_after_a_fork() {
    let mut fleet = start().await;
    let holder = quiet_entry(&fleet);
    platform_copy(&fleet, "snapshot").await;
    fleet
        .put_table(&TABLE.replace("tile,carta,,0,1", "tile,carta,,0,2"))
        .await;
    // From here on the holder reads nothing of the platform itself.
    fleet.platform_relay(&holder).set(RelayMode::Silent);
    fleet.pause(&holder).await;
    let mut others = fleet.entry_names();
    others.retain(|name| *name != holder);
    for name in &others {
        fleet.kill(name).await;
    }
    platform_copy(&fleet, "restore").await;
    let fork = fleet
        .commit_table(&TABLE.replace("report,redactor,sondeo,5", "report,redactor,sondeo,6"))
        .await;
    for name in &others {
        fleet.restart_entry(name).await;
    }
    for name in &others {
        let what = format!("{name} has the fork");
        wait_until(&what, async || fleet.version(name).await >= fork).await;
    }
    fleet.resume(&holder);
    wait_until("the platform has both edits", async || {
        let shown = shown(&fleet).await;
        shown.contains("tile,carta,,0,2") && shown.contains("report,redactor,sondeo,6")
    })
    .await;
    wait_until("all instances have one table", async || {
        digests(&fleet).await.len() == 1
    })
    .await;
}

async fn digests(fleet: &Fleet) -> BTreeSet<String> {
    let mut digests = BTreeSet::new();
    for entry in fleet.entry_names() {
        let reply = fleet.admin(&entry, "/table").send().await;
        digests.insert(reply.json::<Value>()["digest"].to_string());
    }
    digests
}

async fn platform_copy(fleet: &Fleet, call: &str) {
    let path = format!("/admin/{call}");
    let process = fleet.process("platform");
    let reply = process.post("admin", &path).json(&json!({})).send().await;
    assert!(reply.status.is_success(), "{path}: {}", reply.text());
}

/// The entry instance that does not poll while the two others live.
fn quiet_entry(fleet: &Fleet) -> String {
    let names = fleet.entry_names().into_iter();
    let quiet = names.min_by_key(|name| (rendezvous_score(ZONE, name), name.clone()));
    quiet.unwrap()
}

async fn shown(fleet: &Fleet) -> String {
    let address = format!("http://{}", fleet.platform_address());
    let args = ["table", "show", "--platform", &address];
    fleet.run(&args).await.stdout
}

async fn start() -> Fleet {
    let fleet = FleetPlan::new().entries(ENTRIES).plain(1).start().await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_heard(&fleet, &entry).await;
    }
    fleet
}

async fn wait_heard(fleet: &Fleet, entry: &str) {
    wait_until(&format!("{entry} hears all"), async || {
        let dump = fleet.dump(entry).await;
        let heard = dump["peer"]["members"]["heard"].as_array();
        heard.is_some_and(|heard| heard.len() == ENTRIES)
    })
    .await;
}
