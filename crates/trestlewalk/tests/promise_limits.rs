//! The limit of a plain row holds across all entry instances.

mod support;

use {
    serde_json::Value,
    std::collections::BTreeMap,
    support::{Fleet, FleetPlan, wait_until},
    tokio::task::JoinSet,
};

const LIMIT: u64 = 4;
const LIMIT_REACHED_CODE: u16 = 2005;
const PATIENCE_ENDED_CODE: u16 = 2007;
const REPLICA: &str = "gijon-plain-1";
const ROWS: &str = "\
work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste
urgent,carta,,0,1,4,,1s,,5s,no,0,0
patient,carta,,1,1,4,,,,60s,no,0,0
short,carta,,1,1,3,,,,300ms,no,0,0
";

async fn start(delay_ms: u32) -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .plain(1)
        .plain_set(&format!("delay_ms={delay_ms}"));
    let fleet = plan.start().await;
    fleet.put_table(ROWS).await;
    for entry in fleet.entry_names() {
        fleet.wait_ready(&entry).await;
        wait_until("the limit is divided among three members", async || {
            let dump = fleet.dump(&entry).await;
            dump["flow"]["limit_members"] == 3
        })
        .await;
    }
    fleet
}

/// Sends `per_entry` concurrent requests to each entry instance and counts the result codes. Each refusal must carry
/// `retry-after`.
async fn send(fleet: &Fleet, work: &'static str, per_entry: usize) -> BTreeMap<u16, usize> {
    let mut tasks = JoinSet::new();
    for entry in fleet.entry_names() {
        for _ in 0..per_entry {
            let call = fleet.entry(&entry).post("/services/carta/slots").work(work);
            tasks.spawn(call.send());
        }
    }
    let mut codes = BTreeMap::new();
    for reply in tasks.join_all().await {
        let code = reply.code();
        assert!(
            code == 1000 || reply.headers.contains_key("retry-after"),
            "{code}"
        );
        *codes.entry(code).or_default() += 1;
    }
    codes
}

async fn counter(fleet: &Fleet, name: &str) -> u64 {
    let counters: Value = fleet.counters(REPLICA).await;
    counters[name].as_u64().unwrap()
}

#[tokio::test]
async fn urgent_requests_above_the_limit_are_refused_at_once_and_do_not_run() {
    let fleet = start(1000).await;
    let codes = send(&fleet, "urgent", 8).await;
    let ran = counter(&fleet, "runs").await;
    println!(
        "limits: urgent: {codes:?}, peak {}",
        counter(&fleet, "peak_in_progress").await
    );
    assert_eq!(codes.values().sum::<usize>(), 24);
    assert_eq!(codes.get(&1000).copied().unwrap_or(0) as u64, ran);
    assert_eq!(codes[&LIMIT_REACHED_CODE] as u64, 24 - ran);
    assert!(counter(&fleet, "peak_in_progress").await <= LIMIT);
}

#[tokio::test]
async fn patient_requests_above_the_limit_wait_and_all_are_answered() {
    let fleet = start(50).await;
    let codes = send(&fleet, "patient", 15).await;
    println!(
        "limits: patient: {codes:?}, peak {}",
        counter(&fleet, "peak_in_progress").await
    );
    assert_eq!(codes, BTreeMap::from([(1000, 45)]));
    assert_eq!(counter(&fleet, "peak_in_progress").await, LIMIT);
}

#[tokio::test]
async fn a_request_whose_patience_ends_in_the_queue_does_not_run() {
    let fleet = start(2000).await;
    let codes = send(&fleet, "short", 3).await;
    let ran = counter(&fleet, "runs").await;
    assert_eq!(ran, 3);
    assert_eq!(codes, BTreeMap::from([(1000, 3), (PATIENCE_ENDED_CODE, 6)]));
}
