//! `trestlewalk serve`: startup, the admin server and signals.

mod support;

use {
    hyper::StatusCode,
    rustix::process::Signal,
    serde_json::Value,
    support::{FleetPlan, FleetProcess, Test},
    trestlewalk::admin::{ReadyReply, TableStatus},
};

const ENTRY: &str = "gijon-1";

#[tokio::test]
async fn the_ready_line_names_the_instance_and_its_real_addresses() {
    let fleet = FleetPlan::new().start().await;
    let process: &FleetProcess = fleet.process(ENTRY);
    for field in ["admin", "callers", "peers"] {
        assert_ne!(process.address(field).port(), 0, "{field}");
    }
    assert_eq!(process.ready_line()["instance"], ENTRY);
}

#[tokio::test]
async fn an_instance_without_a_table_is_live_and_not_ready_and_says_why() {
    let fleet = FleetPlan::new().start().await;
    assert_eq!(fleet.admin(ENTRY, "/live").send().await.status, 200);
    let reply = fleet.admin(ENTRY, "/ready").send().await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    let ready: ReadyReply = reply.json();
    assert!(!ready.ready);
    assert!(ready.reasons.contains_key("table"), "{ready:?}");
}

#[tokio::test]
async fn an_instance_without_a_table_refuses_requests_as_not_run() {
    let fleet = FleetPlan::new().start().await;
    let call = fleet.entry(ENTRY).get("/services/carta/tile");
    let reply = call.work("chart-tile").send().await;
    assert_eq!((reply.status.as_u16(), reply.code()), (503, 2009));
}

#[tokio::test]
async fn the_admin_server_tells_the_version_of_the_table() {
    let fleet = FleetPlan::new().start().await;
    let status: TableStatus = fleet.admin(ENTRY, "/table").send().await.json();
    assert_eq!((&*status.instance, &*status.zone), (ENTRY, "gijon"));
    assert_eq!(status.version, 0);
}

#[tokio::test]
async fn the_admin_server_shows_metrics_and_the_state_dump() {
    let fleet = FleetPlan::new().start().await;
    let labels = ["instance=\"gijon-1\"", "zone=\"gijon\""];
    let info = fleet.metric(ENTRY, "trestlewalk_process_info", &labels);
    assert_eq!(info.await, Some(1.0));
    let missing = fleet.metric(ENTRY, "trestlewalk_process_info", &["zone=\"riga\""]);
    assert_eq!(missing.await, None);
    let dump = fleet.dump(ENTRY).await;
    assert_eq!(dump["process"]["identity"]["instance"], ENTRY);
    assert_eq!(dump["process"]["settings"]["limits"]["body"], "4MiB");
    for hidden in ["secret", "PRIVATE KEY"] {
        assert!(!dump.to_string().contains(hidden), "{dump}");
    }
}

#[tokio::test]
async fn dump_prints_the_state_of_an_instance() {
    let fleet = FleetPlan::new().start().await;
    let address = fleet.process(ENTRY).address("admin").to_string();
    let output = fleet.run(&["dump", &address]).await;
    assert_eq!(output.status, 0, "{}", output.stderr);
    let dump: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(dump["process"]["identity"]["zone"], "gijon");
}

#[tokio::test]
async fn a_later_life_has_a_greater_incarnation() {
    let mut fleet = FleetPlan::new().start().await;
    let earlier = incarnation(&fleet.dump(ENTRY).await);
    fleet.kill(ENTRY).await;
    fleet.restart_entry(ENTRY).await;
    assert!(incarnation(&fleet.dump(ENTRY).await) > earlier);
}

#[tokio::test]
async fn sigterm_closes_an_idle_instance_with_exit_code_0() {
    let mut fleet = FleetPlan::new().start().await;
    fleet.terminate(ENTRY);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(0));
}

#[tokio::test]
async fn sigint_closes_as_sigterm_does() {
    let mut fleet = FleetPlan::new().start().await;
    fleet.process(ENTRY).signal(Signal::INT);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(0));
}

#[tokio::test]
async fn the_steps_of_a_close_come_in_their_order() {
    let mut fleet = FleetPlan::new().set("log.format=json").start().await;
    fleet.terminate(ENTRY);
    fleet.wait_exit(ENTRY).await;
    let steps: Vec<String> = fleet
        .log(ENTRY)
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap())
        .filter_map(|line| line["fields"]["step"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(steps, ["request path", "background work", "admin server"]);
}

#[tokio::test]
async fn an_address_that_is_taken_is_named_with_its_field() {
    let fleet = FleetPlan::new().start().await;
    for field in ["admin", "callers", "peers"] {
        let address = fleet.process(ENTRY).address(field);
        let setting = format!("listen.{field}={address}");
        let args = ["serve", "--settings", "gijon-1.yaml", "--set", &setting];
        let output = fleet.run(&args).await;
        let message = format!("listen.{field}: can't listen at {address}: ");
        assert!(output.stderr.contains(&message), "{}", output.stderr);
        assert_eq!(output.status, 1);
    }
}

#[tokio::test]
async fn a_key_file_that_is_not_there_is_named() {
    let fleet = FleetPlan::new().start().await;
    let keys = "keys={authority: nowhere.pem, certificate: c.pem, key: k.key}";
    let args = ["serve", "--settings", "gijon-1.yaml", "--set", keys];
    let output = fleet.run(&args).await;
    let message = "nowhere.pem: can't read the file";
    assert!(output.stderr.contains(message), "{}", output.stderr);
    assert_eq!(output.status, 51);
}

#[tokio::test]
async fn a_key_that_is_none_is_told() {
    let fleet = FleetPlan::new().start().await;
    let keys = "keys={test: {authority: a, certificate: c, key: k}}";
    let args = ["serve", "--settings", "gijon-1.yaml", "--set", keys];
    let output = fleet.run(&args).await;
    let message = "the links to peers can't be opened: the peer keys can't be used: ";
    assert!(output.stderr.contains(message), "{}", output.stderr);
    assert_eq!(output.status, 51);
}

#[test]
fn faulty_settings_start_nothing() {
    Test::new()
        .file("a.yaml", "instance: a\n")
        .args(["serve", "--settings", "a.yaml"])
        .stdout("")
        .stderr_has("a.yaml:1: zone: missing")
        .status(51)
        .run();
}

fn incarnation(dump: &Value) -> u64 {
    dump["process"]["identity"]["incarnation"].as_u64().unwrap()
}
