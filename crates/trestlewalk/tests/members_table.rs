//! Propagation of the table among members, some of which do not poll the platform.

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
    let holder = non_polling_entry(&fleet);
    call_platform_admin(&fleet, "snapshot").await;
    fleet
        .put_table(&TABLE.replace("tile,carta,,0,1", "tile,carta,,0,2"))
        .await;
    // From here on the holder can't read the platform itself.
    fleet.platform_relay(&holder).set(RelayMode::Silent);
    fleet.pause(&holder).await;
    let mut others = fleet.entry_names();
    others.retain(|name| *name != holder);
    for name in &others {
        fleet.kill(name).await;
    }
    call_platform_admin(&fleet, "restore").await;
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
        let shown_table = shown_table(&fleet).await;
        shown_table.contains("tile,carta,,0,2") && shown_table.contains("report,redactor,sondeo,6")
    })
    .await;
    wait_until("all instances have one table", async || {
        table_digests(&fleet).await.len() == 1
    })
    .await;
}

#[tokio::test]
async fn an_instance_without_polls_knows_whether_the_platform_answers_the_others() {
    let fleet = start().await;
    let entry = non_polling_entry(&fleet);
    // Its own connection to the platform is blocked, so all it knows comes from its peers.
    fleet.platform_relay(&entry).set(RelayMode::Silent);
    wait_until("it is not a poller", async || {
        platform_dump(&fleet, &entry).await["poller"] == false
    })
    .await;
    for _ in 0..3 {
        let mut before = silent_ms(&fleet, &entry).await;
        wait_until("a peer reports an answer of the platform", async || {
            let silent = silent_ms(&fleet, &entry).await;
            std::mem::replace(&mut before, silent) > silent
        })
        .await;
    }
    fleet.set_faults("platform", json!({ "down": true })).await;
    for name in fleet.entry_names() {
        let what = format!("{name} reports that it is cut off");
        wait_until(&what, async || cut_off_since(&fleet, &name).await.is_some()).await;
        assert!(
            fleet
                .log(&name)
                .contains("the platform is silent; serving on")
        );
        let gauge = fleet.metric(&name, "platform_cut_off", &[]).await;
        assert_eq!(gauge, Some(1.0), "{name}");
    }
    fleet.set_faults("platform", json!({ "down": false })).await;
    for name in fleet.entry_names() {
        let what = format!("{name} reports that it is no longer cut off");
        wait_until(&what, async || cut_off_since(&fleet, &name).await.is_none()).await;
        assert!(fleet.log(&name).contains("the platform is heard again"));
    }
}

async fn cut_off_since(fleet: &Fleet, entry: &str) -> Option<u64> {
    let reply = fleet.admin(entry, "/table").send().await;
    reply.json::<Value>()["cut_off_since"].as_u64()
}

async fn table_digests(fleet: &Fleet) -> BTreeSet<String> {
    let mut table_digests = BTreeSet::new();
    for entry in fleet.entry_names() {
        let reply = fleet.admin(&entry, "/table").send().await;
        table_digests.insert(reply.json::<Value>()["digest"].to_string());
    }
    table_digests
}

async fn platform_dump(fleet: &Fleet, entry: &str) -> Value {
    fleet.dump(entry).await["platform"].clone()
}

async fn call_platform_admin(fleet: &Fleet, call: &str) {
    let path = format!("/admin/{call}");
    let process = fleet.process("platform");
    let reply = process.post("admin", &path).json(&json!({})).send().await;
    assert!(reply.status.is_success(), "{path}: {}", reply.text());
}

/// The entry instance that does not poll while the two others are alive: the lowest score by rendezvous hashing.
fn non_polling_entry(fleet: &Fleet) -> String {
    let names = fleet.entry_names().into_iter();
    let entry = names.min_by_key(|name| (rendezvous_score(ZONE, name), name.clone()));
    entry.unwrap()
}

async fn shown_table(fleet: &Fleet) -> String {
    let address = format!("http://{}", fleet.platform_address());
    let args = ["table", "show", "--platform", &address];
    fleet.run(&args).await.stdout
}

async fn silent_ms(fleet: &Fleet, entry: &str) -> u64 {
    let value = platform_dump(fleet, entry).await["silent_ms"].as_u64();
    value.unwrap_or(0)
}

async fn start() -> Fleet {
    let fleet = FleetPlan::new().entries(ENTRIES).plain(1).start().await;
    fleet.put_table(TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_members(&fleet, &entry).await;
    }
    fleet
}

async fn wait_members(fleet: &Fleet, entry: &str) {
    wait_until(&format!("{entry} hears all members"), async || {
        let dump = fleet.dump(entry).await;
        let heard = dump["peer"]["members"]["heard"].as_array();
        heard.is_some_and(|heard| heard.len() == ENTRIES)
    })
    .await;
}
