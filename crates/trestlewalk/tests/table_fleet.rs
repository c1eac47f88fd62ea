//! Separate processes: an accepted edit comes into force in every availability zone and never reverts.

mod support;

use {
    serde_json::{Value, json},
    std::{collections::BTreeSet, fs},
    support::{Fleet, FleetPlan, TABLE, wait_until},
};

async fn start(entries: usize) -> Fleet {
    let plan = FleetPlan::new().zones(&["gijon", "santander", "ferrol"]);
    let fleet = plan.entries(entries).start().await;
    fleet.put_table(TABLE).await;
    fleet
}

/// Runs `trestlewalk table` with the fleet's addresses and returns the exit code and the output.
async fn run_table(fleet: &Fleet, command: &[&str]) -> (i32, String) {
    let platform = format!("http://{}", fleet.platform_address());
    let mut instances = Vec::new();
    for entry in fleet.entry_names() {
        instances.push(fleet.process(&entry).address("admin").to_string());
    }
    let instances = instances.join(",");
    let mut args = vec!["table"];
    args.extend(command);
    args.extend(["--platform", &platform, "--instances", &instances]);
    let output = fleet.run(&args).await;
    (output.status, format!("{}{}", output.stdout, output.stderr))
}

/// Applies the shown table with `from` replaced by `to`.
async fn edit(fleet: &Fleet, from: &str, to: &str, options: &[&str]) -> (i32, String) {
    let platform = format!("http://{}", fleet.platform_address());
    let shown_table = fleet.run(&["table", "show", "--platform", &platform]).await;
    assert!(shown_table.stdout.contains(from), "{}", shown_table.stdout);
    let file = fleet.folder().join("work.csv");
    fs::write(&file, shown_table.stdout.replace(from, to)).unwrap();
    let mut args = vec!["apply", "work.csv"];
    args.extend(options);
    run_table(fleet, &args).await
}

async fn table_digests(fleet: &Fleet) -> BTreeSet<String> {
    let mut table_digests = BTreeSet::new();
    for entry in fleet.entry_names() {
        let reply = fleet.admin(&entry, "/table").send().await;
        table_digests.insert(reply.json::<Value>()["digest"].to_string());
    }
    table_digests
}

async fn shown_table(fleet: &Fleet) -> String {
    let platform = format!("http://{}", fleet.platform_address());
    fleet
        .run(&["table", "show", "--platform", &platform])
        .await
        .stdout
}

async fn call_platform_admin(fleet: &Fleet, call: &str) {
    let path = format!("/admin/{call}");
    let call = fleet
        .process("platform")
        .post("admin", &path)
        .json(&json!({}));
    let reply = call.send().await;
    assert!(reply.status.is_success(), "{path}: {}", reply.text());
}

#[tokio::test]
async fn an_accepted_edit_comes_into_force_in_every_zone() {
    let fleet = start(3).await;
    let (exit, output) = edit(
        &fleet,
        "tile,carta,,0,1",
        "tile,carta,,0,2",
        &["--wait", "60s"],
    )
    .await;
    assert_eq!(exit, 0, "{output}");
    for zone in ["ferrol", "gijon", "santander"] {
        let line = format!("{zone}: in force after ");
        assert!(output.contains(&line), "{output}");
    }
    println!("{output}");
    assert_eq!(table_digests(&fleet).await.len(), 1);
}

#[tokio::test]
async fn a_zone_that_is_cut_off_is_told_and_has_the_edit_when_it_is_back() {
    let fleet = start(1).await;
    fleet.isolate_zone("ferrol");
    let (exit, output) = edit(
        &fleet,
        "tile,carta,,0,1",
        "tile,carta,,0,2",
        &["--wait", "5s"],
    )
    .await;
    assert_eq!(exit, 55, "{output}");
    assert!(output.contains("gijon: in force after "), "{output}");
    assert!(
        output.contains("ferrol: not in force: it still has version "),
        "{output}"
    );
    let version = fleet.version("gijon-1").await;
    assert!(fleet.version("ferrol-1").await < version);
    fleet.rejoin_zone("ferrol");
    fleet.wait_version(version).await;
}

#[tokio::test]
async fn a_platform_put_back_to_an_older_copy_gets_the_accepted_edits_back() {
    let fleet = start(2).await;
    call_platform_admin(&fleet, "snapshot").await;
    let (exit, output) = edit(
        &fleet,
        "tile,carta,,0,1",
        "tile,carta,,0,2",
        &["--wait", "60s"],
    )
    .await;
    assert_eq!(exit, 0, "{output}");
    let version = fleet.version("gijon-1").await;
    call_platform_admin(&fleet, "restore").await;
    wait_until("the platform has the edit again", async || {
        shown_table(&fleet).await.contains("tile,carta,,0,2")
    })
    .await;
    for entry in fleet.entry_names() {
        assert!(fleet.version(&entry).await >= version, "{entry} went back");
    }
}

#[tokio::test]
async fn an_edit_on_a_platform_that_went_back_and_the_lost_one_both_stand() {
    let mut fleet = start(2).await;
    call_platform_admin(&fleet, "snapshot").await;
    let (exit, output) = edit(
        &fleet,
        "tile,carta,,0,1",
        "tile,carta,,0,2",
        &["--wait", "60s"],
    )
    .await;
    assert_eq!(exit, 0, "{output}");
    call_platform_admin(&fleet, "restore").await;
    // Commits without the command line, which would wait for the write-back first.
    let fork = fleet
        .commit_table(&TABLE.replace("report,redactor,sondeo,5", "report,redactor,sondeo,6"))
        .await;
    fleet.kill("ferrol-2").await;
    fleet.restart_entry("ferrol-2").await;
    fleet.wait_version(fork).await;
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
