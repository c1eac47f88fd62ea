//! `explain` tells from the logs alone why a request failed.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, UpstreamMode, caller::fresh_id, relay_test::STREAM_HEADERS},
    serde_json::{Value, json},
    std::{fs, time::Duration},
    support::{Test, wait::wait_until},
    tokio::net::TcpStream,
};

#[tokio::test]
async fn a_lost_and_a_refused_request_are_told_from_their_ids() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    run.upstreams[0].set(UpstreamMode::Reset);
    run.call_with("POST", "/t/1", "00a1", "", "x").await;
    run.upstreams[0].set(UpstreamMode::Shed);
    run.call_with("POST", "/t/1", "00a2", "", "x").await;
    run.call_with("POST", "/none", "00a3", "", "x").await;
    wait_until("the lines are written", async || {
        run.process.log().contains("00a3")
    })
    .await;
    let log = format!("no log line\nhost-1 {}", run.process.log());
    let explain = |id: &str, reason: &str| {
        Test::new()
            .file("front-1.log", log.clone())
            .args(["explain", "--id", id, "front-1.log"])
            .stdout_has(reason)
            .run();
    };
    explain(
        "00a1",
        "ended with 3001, outcome unknown: the connection to the upstream was lost; the last step, in ms from its start:",
    );
    explain("00a1", "run i-carta-0 lost: ");
    explain("00a1", "table_version: 7");
    explain("00a1", "before: ");
    explain(
        "00a2",
        "ended with 2011, not run: the upstream refused the request; the last step",
    );
    explain("00a2", "run i-carta-0 not run: 503");
    explain(
        "00a3",
        "ended with 2001, not run: the table has no such kind of work; no upstream was called",
    );
    explain("00ff", "no line about 00ff");
    explain("00ff", "1 of them no log lines");
}

// Guards against a rejection, or a loss, of which the log doesn't tell over which connection it came, so that the copy of an
// earlier answer can't be told from an answer.
#[tokio::test]
async fn a_rejection_and_a_loss_are_told_with_their_connections() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let reply = run.call_with("POST", "/t/1", "00c1", "", "x").await;
    assert_eq!(reply.status(), 200);
    run.upstreams[0].set(UpstreamMode::Shed);
    run.call_with("POST", "/t/1", "00c2", "", "x").await;
    run.upstreams[0].set(UpstreamMode::Reset);
    run.call_with("POST", "/t/1", "00c3", "", "x").await;
    let steps = |id| steps(&run.process.log(), id);
    wait_until("the lines are written", async || {
        steps("00c2").is_some() && steps("00c3").is_some()
    })
    .await;
    let rejection = steps("00c2").unwrap();
    let (_, connection) = rejection
        .split_once("run i-carta-0 not run: 503, answer 2 of connection ")
        .expect(&rejection);
    let serial: u64 = connection.trim_end_matches(';').parse().unwrap();
    assert!(serial > 0);
    let loss = steps("00c3").unwrap();
    assert!(
        loss.contains(&format!(", answer 3 of connection {serial} missing;")),
        "{loss}"
    );
}

// Guards against a request that went to two upstreams and left no line, since the second one served it in time.
#[tokio::test]
async fn a_request_that_was_sent_twice_is_always_logged() {
    let run = RelayTest::new()
        .plain("carta", 2)
        .route("/t/", "unsafe", "carta", &json!({"MaxAttempts": 2}))
        .start_ready()
        .await;
    run.upstreams[0].set(UpstreamMode::Shed);
    let mut rejected = Vec::new();
    wait_until("several rejected requests", async || {
        let reply = run.call("POST", "/t/1", "x").await;
        assert_eq!(reply.status(), 200);
        let state = run.upstreams[0].state.lock().unwrap();
        let ids = state
            .received
            .iter()
            .map(|call| call.message.header("x-request-id"));
        rejected = ids.map(|id| id.unwrap().to_owned()).collect();
        rejected.len() >= 6
    })
    .await;
    wait_until("a line for each of them", async || {
        let log = run.process.log();
        rejected.iter().all(|id| ended_line(&log, id).is_some())
    })
    .await;
    for id in &rejected {
        let line = ended_line(&run.process.log(), id).unwrap();
        assert_eq!(
            (&line["code"], &line["calls"]),
            (&json!(1000), &json!(2)),
            "{line}"
        );
        let steps = line["steps"].as_str().unwrap();
        assert!(
            steps.contains("run i-carta-0 not run: 503, answer "),
            "{line}"
        );
    }
    let counted = run.metric_lines("trestlewalk_relay_not_run_total").await;
    let count =
        |reason, calls| format!("trestlewalk_relay_not_run_total{{reason=\"{reason}\"}} {calls}");
    let expected = [
        count("blocked", 0),
        count("rejected", rejected.len()),
        count("rejected_unnamed", 0),
        count("unsent", 0),
    ];
    assert_eq!(counted, expected);
}

// Guards against a refusal of which nothing was written, and whose line says that something was.
#[tokio::test]
async fn a_request_that_found_no_connection_is_logged_without_calls() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    run.upstreams[0].crash();
    wait_until("the upstream accepts no connection", async || {
        TcpStream::connect(run.upstreams[0].address).await.is_err()
    })
    .await;
    let reply = run.call_with("POST", "/t/1", "00d1", "", "x").await;
    assert_eq!(reply.status(), 503);
    assert!(run.upstreams[0].received().is_empty());
    wait_until("the line is written", async || {
        ended_line(&run.process.log(), "00d1").is_some()
    })
    .await;
    let line = ended_line(&run.process.log(), "00d1").unwrap();
    assert_eq!(line["calls"], 0, "{line}");
    let steps = line["steps"].as_str().unwrap();
    assert!(steps.contains("run i-carta-0 not sent: "), "{line}");
    let counted = run.metric_lines("trestlewalk_relay_not_run_total").await;
    let unsent = "trestlewalk_relay_not_run_total{reason=\"unsent\"} 1";
    assert!(counted.iter().any(|line| line == unsent), "{counted:?}");
}

#[tokio::test]
async fn a_log_that_cannot_be_read_is_a_clear_error() {
    Test::new()
        .args(["explain", "--id", "00a1", "nowhere.log"])
        .stderr_has("nowhere.log: can't read the file")
        .status(51)
        .run();
}

#[tokio::test]
async fn a_line_without_end_is_counted_and_not_kept() {
    let log = format!(
        "{}\n{{\"message\":\"x\",\"timestamp\":\"t\"}}\n",
        "y".repeat(300_000)
    );
    Test::new()
        .file("long.log", log)
        .args(["explain", "--id", "00a1", "long.log"])
        .stdout_has("2 lines read, 1 of them no log lines")
        .run();
}

#[tokio::test]
async fn the_metrics_page_lists_every_metric_of_the_request_path() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "safe", "carta", &json!({}))
        .start_ready()
        .await;
    run.upstreams[0].state_rate_limit(Some("100"));
    assert_eq!(run.call("GET", "/t/1", "").await.status(), 200);
    let text = run.process.get("admin", "/metrics").send().await.text();
    let mut exposed = metric_names(&text);
    exposed.extend(scheduler_metrics().await);
    exposed.sort();
    exposed.dedup();
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = fs::read_to_string(page).unwrap();
    let mut documented: Vec<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `trestlewalk_relay_"))
        .filter_map(|line| line.split('`').next())
        .map(|name| format!("trestlewalk_relay_{name}"))
        .collect();
    documented.sort();
    assert_eq!(documented, exposed);
}

#[tokio::test]
async fn a_stream_that_paused_too_long_is_told_with_its_longest_pause() {
    let run = RelayTest::new()
        .engines("redactor", 1, 0)
        .route(
            "/s/",
            "streaming",
            "redactor",
            &json!({"TargetGapMs": 100, "TargetLatencyMs": 60_000, "TimeoutMs": 60_000}),
        )
        .start_ready()
        .await;
    run.upstreams[0].set(UpstreamMode::PauseAfter(2, Duration::from_millis(250)));
    run.call_with("POST", "/s/1", "00b1", STREAM_HEADERS, "x")
        .await;
    wait_until("the line is written", async || {
        run.process.log().contains("00b1")
    })
    .await;
    Test::new()
        .file("front-1.log", run.process.log())
        .args(["explain", "--id", "00b1", "front-1.log"])
        .stdout_has("longest_pause_ms: 2")
        .stdout_has("pause_target_ms: 100")
        .stdout_has(", late by a pause between events; the last step")
        .run();
}

/// The line that ends a request.
fn ended_line(log: &str, id: &str) -> Option<Value> {
    let mut lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.find(|line| line["message"] == "request ended" && line["request"] == id)
}

/// The steps in the line that ends a request; `None` without that line.
fn steps(log: &str, id: &str) -> Option<String> {
    let line = ended_line(log, id)?;
    Some(line["steps"].as_str()?.to_owned())
}

/// The metrics of an instance that schedules decode places, some of which others don't have.
async fn scheduler_metrics() -> Vec<String> {
    let run = RelayTest::new()
        .engines("redactor", 1, 1)
        .route(
            "/note/",
            "streaming",
            "redactor",
            &json!({"TargetGapMs": 3000}),
        )
        .start_zone(1)
        .await;
    run.wait_ready(0).await;
    let mut text = String::new();
    wait_until("the engines are scheduled", async || {
        run.send_as(&fresh_id(), 0, "/note/1", STREAM_HEADERS).await;
        let process = &run.instances[0].process;
        text = process.get("admin", "/metrics").send().await.text();
        text.contains("trestlewalk_relay_engine_tokens{")
    })
    .await;
    metric_names(&text)
}

fn metric_names(text: &str) -> Vec<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|line| line.split(' ').next());
    names.map(str::to_owned).collect()
}
