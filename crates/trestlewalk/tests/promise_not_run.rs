//! Plain services: a request that is answered as not run did not run, and one that must not be repeated runs at most
//! once.

mod support;

use {
    serde_json::{Value, json},
    std::collections::BTreeMap,
    support::{Fleet, FleetPlan, RelayMode, wait_until},
    tokio::task::JoinSet,
};

const ONCE: &str = "confirm";
const REPEATABLE: &str = "tile";
const REPLICAS: [&str; 2] = ["gijon-plain-1", "gijon-plain-2"];
const BATCH: usize = 40;

/// The result code of each request by its run key; 0 when the caller's connection was lost.
type Codes = BTreeMap<String, u16>;

async fn start(delay_ms: u32) -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .plain(2)
        .plain_set(&format!("delay_ms={delay_ms}"))
        .set("limits.first_byte=2s");
    let fleet = plan.start().await;
    fleet.put_table(support::TABLE).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
    }
    fleet
}

/// Sends a concurrent batch over all entry instances.
async fn send_batch(fleet: &Fleet, work: &'static str, batch: &str) -> Codes {
    let entries = fleet.entry_names();
    let mut tasks = JoinSet::new();
    for number in 0..BATCH {
        let key = format!("{batch}-{number}");
        let endpoint = fleet.entry(&entries[number % entries.len()]);
        tasks.spawn(async move {
            let call = endpoint
                .post("/services/carta/slots")
                .work(work)
                .body(key.clone());
            let reply = call.header("x-run-key", &key).try_send().await;
            (key, reply.map_or(0, |reply| reply.code()))
        });
    }
    tasks.join_all().await.into_iter().collect()
}

async fn runs(fleet: &Fleet, replicas: &[&str]) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for replica in replicas {
        let counters = fleet.counters(replica).await;
        for (key, count) in counters["runs_by_key"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

/// Sends a sequential batch of calls without a body, which may be retried.
async fn send_gets(fleet: &Fleet, batch: &str) -> Codes {
    let entries = fleet.entry_names();
    let mut codes = Codes::new();
    for number in 0..BATCH {
        let key = format!("{batch}-{number}");
        let endpoint = fleet.entry(&entries[number % entries.len()]);
        let call = endpoint.get("/services/carta/tile").work(REPEATABLE);
        let reply = call.header("x-run-key", &key).try_send().await;
        codes.insert(key, reply.map_or(0, |reply| reply.code()));
    }
    codes
}

/// Compares every result code with the runs that the replicas counted.
async fn check_codes(fleet: &Fleet, what: &str, work: &str, codes: &Codes) {
    let runs = runs(fleet, &REPLICAS).await;
    let mut tally: BTreeMap<(u16, u64), u32> = BTreeMap::new();
    for (key, code) in codes {
        let count = runs.get(key).copied().unwrap_or(0);
        *tally.entry((*code, count)).or_default() += 1;
        assert!(
            !is_not_run(*code) || count == 0,
            "{what}: {key}: {code}, and it ran"
        );
        assert!(
            *code != 1000 || count > 0,
            "{what}: {key}: answered, and never ran"
        );
        assert!(
            work != ONCE || count <= 1,
            "{what}: {key}: ran {count} times"
        );
    }
    println!("once: {what}, {work}: (code, runs) = requests: {tally:?}");
}

fn is_not_run(code: u16) -> bool {
    (2000..3000).contains(&code)
}

async fn set_faults(fleet: &Fleet, faults: &Value) {
    for replica in REPLICAS {
        fleet.set_faults(replica, faults.clone()).await;
    }
}

#[tokio::test]
async fn codes_agree_with_the_counters_under_each_fault_of_a_replica() {
    let fleet = start(0).await;
    let cases = [
        ("none", json!({})),
        ("close_after_read", json!({ "close_after_read": true })),
        ("drop_on_reuse", json!({ "drop_on_reuse": true })),
        ("refuse", json!({ "refuse": true })),
        ("garbage", json!({ "garbage": true })),
        ("drop_connections", json!({ "drop_connections": true })),
        ("none again", json!({})),
    ];
    for (what, faults) in &cases {
        set_faults(&fleet, faults).await;
        for work in [ONCE, REPEATABLE] {
            let codes = send_batch(&fleet, work, &format!("{what}-{work}")).await;
            check_codes(&fleet, what, work, &codes).await;
        }
    }
}

#[tokio::test]
async fn idle_connections_that_close_when_they_are_used_again_cost_a_repeatable_call_nothing() {
    let fleet = start(0).await;
    set_faults(&fleet, &json!({ "drop_on_reuse": true })).await;
    let codes = send_gets(&fleet, "idle").await;
    check_codes(&fleet, "idle connections closed", REPEATABLE, &codes).await;
    assert!(codes.values().all(|code| *code == 1000), "{codes:?}");
}

#[tokio::test]
async fn codes_agree_with_the_counters_while_the_ways_are_reset_again_and_again() {
    let fleet = start(5).await;
    for work in [ONCE, REPEATABLE] {
        let name = format!("resets-{work}");
        let batches = async {
            let mut codes = Codes::new();
            for round in 0..6 {
                codes.extend(send_batch(&fleet, work, &format!("{name}-{round}")).await);
            }
            codes
        };
        let resets = async {
            loop {
                for mode in [RelayMode::Reset, RelayMode::Open] {
                    for replica in REPLICAS {
                        fleet.upstream_relay(replica).set(mode);
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(7)).await;
                }
            }
        };
        let codes = tokio::select! {
            codes = batches => codes,
            () = resets => unreachable!("the resets have no end"),
        };
        for replica in REPLICAS {
            fleet.upstream_relay(replica).set(RelayMode::Open);
        }
        check_codes(&fleet, "resets", work, &codes).await;
    }
}

#[tokio::test]
async fn what_a_killed_replica_had_begun_is_not_called_not_run_or_run_again() {
    let mut fleet = start(400).await;
    let sending = send_batch(&fleet, ONCE, "killed");
    let killing = async {
        wait_until("the first replica runs calls", async || {
            fleet.counters(REPLICAS[0]).await["runs"].as_u64() > Some(5)
        })
        .await;
        fleet.upstream_relay(REPLICAS[0]).set(RelayMode::Reset);
        runs(&fleet, &REPLICAS[..1]).await
    };
    let (codes, begun) = tokio::join!(sending, killing);
    fleet.kill(REPLICAS[0]).await;
    let others = runs(&fleet, &REPLICAS[1..]).await;
    assert!(!begun.is_empty());
    for key in begun.keys() {
        assert!(!is_not_run(codes[key]), "{key}: {}", codes[key]);
        assert!(!others.contains_key(key), "{key} ran at both");
    }
}

#[tokio::test]
async fn a_killed_entry_instance_runs_nothing_twice() {
    let mut fleet = start(200).await;
    let endpoint = fleet.entry("gijon-1");
    let mut tasks = JoinSet::new();
    for number in 0..BATCH {
        let key = format!("dead-{number}");
        let call = endpoint
            .post("/services/carta/slots")
            .work(ONCE)
            .header("x-run-key", &key);
        tasks.spawn(async move { (key, call.try_send().await.map_or(0, |reply| reply.code())) });
    }
    wait_until("some calls run", async || {
        runs(&fleet, &REPLICAS).await.len() > 5
    })
    .await;
    fleet.kill("gijon-1").await;
    let codes: Codes = tasks.join_all().await.into_iter().collect();
    check_codes(&fleet, "entry killed", ONCE, &codes).await;
}

#[tokio::test]
async fn a_body_that_is_still_sent_when_the_replica_answers_spoils_no_later_answer() {
    let fleet = start(0).await;
    set_faults(&fleet, &json!({ "refuse": true })).await;
    let endpoint = fleet.entry("gijon-1");
    let body = vec![b'x'; 3 << 20];
    for number in 0..10 {
        let call = endpoint
            .post("/services/carta/large")
            .work(REPEATABLE)
            .body(body.clone());
        let key = format!("early-{number}");
        let reply = call.header("x-run-key", &key).try_send().await;
        let code = reply.map_or(0, |reply| reply.code());
        assert!(code != 1000, "{code}");
        let codes = Codes::from([(key, code)]);
        check_codes(&fleet, "answered early", REPEATABLE, &codes).await;
    }
    set_faults(&fleet, &json!({})).await;
    let codes = send_batch(&fleet, REPEATABLE, "after").await;
    check_codes(&fleet, "after early answers", REPEATABLE, &codes).await;
    assert!(codes.values().all(|code| *code == 1000), "{codes:?}");
}
