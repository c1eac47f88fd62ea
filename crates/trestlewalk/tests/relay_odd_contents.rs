//! Entries of other writers under sound names, with contents of any kind, at an instance that reads the store and behind it.
//!
//! Guards against a number, a port or a depth that ends a process, or keeps it from following the list.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, ZoneRun},
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
    tokio::time,
};

const ZONES: [&str; 2] = ["gijon", "santander"];
/// Tables that others write to, or that another writer may reach.
const TABLES: [&str; 5] = [
    "servers",
    "op",
    "status",
    "trestlewalk",
    "trestlewalk-crashes",
];
/// Fields of a report, and one that nobody reads.
const FIELDS: [&str; 10] = [
    "Address",
    "ColdRemainingMs",
    "Sequence",
    "Service",
    "Slots",
    "Stage",
    "State",
    "Version",
    "Zone",
    "other",
];
/// Depths around the limit of the parser, and far beyond it.
const DEPTHS: [usize; 4] = [100, 127, 128, 100_000];
/// How often all entries are written again.
const REWRITES: usize = 5;

fn odd_values() -> Vec<String> {
    let mut values: Vec<String> = [
        "null",
        "true",
        "\"\"",
        "\"\\u0000\"",
        "\"\\ud800\"",
        "0",
        "-1",
        "1.5",
        "1e400",
        "-1e400",
        "1e-400",
        "NaN",
        "18446744073709551615",
        "18446744073709551616",
        "[]",
        "{}",
        "\"127.0.0.1\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:65536\"",
        "\"127.0.0.1:70000\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:18446744073709551616\"",
        "\"[::1]:1\"",
    ]
    .map(str::to_owned)
    .into();
    values.push("9".repeat(400));
    values.push(format!("\"{}\"", "x".repeat(100_000)));
    for depth in DEPTHS {
        values.push(format!("{}{}", "[".repeat(depth), "]".repeat(depth)));
        values.push("[".repeat(depth));
        values.push("{\"a\":".repeat(depth));
    }
    values
}

/// A report with each odd value in each field, and as the whole.
fn odd_contents() -> Vec<String> {
    let values = odd_values();
    let mut contents = values.clone();
    let report = json!({"Service": "otra", "Address": "127.0.0.1:1", "Zone": "gijon", "Slots": 8, "State": "ready", "Sequence": 3});
    for field in FIELDS {
        let mut rest = report.clone();
        rest.as_object_mut().unwrap().remove(field);
        let rest = rest.to_string();
        let rest = rest.trim_start_matches('{');
        contents.extend(
            values
                .iter()
                .map(|value| format!("{{\"{field}\":{value},{rest}")),
        );
    }
    contents
}

async fn start() -> ZoneRun {
    let test = RelayTest::new()
        .plain("carta", 3)
        .route("/t/", "unsafe", "carta", &json!({}));
    let run = test.start_zones(&ZONES, 1).await;
    for index in 0..ZONES.len() {
        run.wait_ready(index).await;
    }
    run
}

async fn check_served(run: &ZoneRun, context: &str) {
    for index in 0..ZONES.len() {
        let reply = run.send(index, "POST", "/t/1", "", "x").await;
        assert_eq!(reply.status(), 200, "{context:.200}");
    }
}

/// Removes an upstream from the list, or lists it again, and waits until both instances follow.
async fn check_followed(run: &ZoneRun) {
    let upstream = &run.upstreams[0];
    for is_listed in [false, true] {
        match is_listed {
            true => run
                .store
                .put("servers", &upstream.id, &upstream.report("ready")),
            false => run.store.remove("servers", &upstream.id),
        }
        for index in 0..ZONES.len() {
            wait_until("the list is followed", async || {
                let before = upstream.runs().len();
                for _ in 0..8 {
                    run.send(index, "POST", "/t/1", "", "x").await;
                }
                (upstream.runs().len() > before) == is_listed
            })
            .await;
        }
    }
}

#[tokio::test]
async fn no_content_of_an_entry_stops_an_instance_or_its_list() {
    let run = start().await;
    let contents = odd_contents();
    for content in &contents {
        run.store.put_text("servers", "i-odd", content);
        time::sleep(Duration::from_millis(10)).await;
        check_served(&run, content).await;
    }
    for (number, content) in contents.iter().step_by(37).enumerate() {
        run.store.put_text("servers", "i-odd", content);
        check_followed(&run).await;
        check_served(&run, &number.to_string()).await;
    }
}

/// Guards also against a line in the log for each reading of each entry.
#[tokio::test]
async fn many_odd_entries_in_all_tables_are_read_over_and_logged_once() {
    let mut run = start().await;
    let contents = odd_contents();
    let write_all = |run: &ZoneRun| {
        for (number, content) in contents.iter().step_by(5).enumerate() {
            let table = TABLES[number % TABLES.len()];
            run.store
                .put_text(table, &format!("i-odd-{number}"), content);
        }
    };
    for _ in 0..REWRITES {
        write_all(&run);
        check_followed(&run).await;
    }
    let entries = contents.len() / 5 / TABLES.len() + 1;
    let mut logged = 0;
    for instance in &run.instances {
        let log = instance.process.log();
        let lines = log
            .lines()
            .filter(|line| line.contains("a row of the list"));
        let lines = lines.count();
        assert!(lines <= entries, "{lines} of {entries}");
        logged += lines;
    }
    assert!(logged > 0);
    run.restart_all().await;
    for index in 0..ZONES.len() {
        run.wait_ready(index).await;
    }
    check_followed(&run).await;
}
