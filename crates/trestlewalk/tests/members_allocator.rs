//! Kills and freezes the allocator of a cell under load and measures how soon the cell serves again, which calls are
//! lost and by how much a row's limit is exceeded.

mod support;

use {
    serde_json::Value,
    std::time::Instant,
    support::{Fleet, FleetPlan, MemberLoad, TABLE, model_work::long_prompt, wait_until},
};

const CALLERS: usize = 12;
const DECODE: &str = "gijon-decode-1";
const ENTRIES: usize = 3;
/// The limit of the row that is called.
const LIMIT: u64 = 4;
/// After a change of allocator the grants of the old one still run, and the new one may grant as many before it
/// receives reports of them.
const OVERSHOOT_BOUND: u64 = 2 * LIMIT;
const PATIENT: &str = "report";
const TOKENS: u32 = 16;

#[tokio::test]
async fn a_killed_allocator_is_followed_by_another_that_keeps_to_the_limit() {
    let mut fleet = start().await;
    let load = load(&fleet);
    load.wait_answered(20).await;
    let peak_before = peak(&fleet).await;
    let (allocator, other) = roles(&fleet).await;
    load.remove(&allocator);
    fleet.kill(&allocator).await;
    let served = time_to_serve(&fleet, &other).await;
    load.wait_answered(20).await;
    let report = load.close().await;
    println!("members: allocator killed: serves again after {served}");
    println!("members: allocator killed: {report:?}");
    check_peaks("killed", peak_before, peak(&fleet).await);
    assert!(report.lost_except(&allocator).is_empty(), "{report:?}");
    check_no_double_decode(&fleet).await;
}

#[tokio::test]
async fn a_frozen_allocator_takes_a_new_life_and_its_old_grants_run_nothing_twice() {
    let fleet = start().await;
    let load = load(&fleet);
    load.wait_answered(20).await;
    let peak_before = peak(&fleet).await;
    let (allocator, other) = roles(&fleet).await;
    let incarnation_before = incarnation(&fleet, &allocator).await;
    load.remove(&allocator);
    fleet.pause(&allocator).await;
    let served = time_to_serve(&fleet, &other).await;
    wait_until("the frozen allocator is taken for failed", async || {
        let metric = fleet.metric(&other, "member_gone_total", &[]).await;
        metric.unwrap_or(0.0) >= 1.0
    })
    .await;
    fleet.resume(&allocator);
    wait_until("it restarts with a greater incarnation", async || {
        incarnation(&fleet, &allocator).await > incarnation_before
    })
    .await;
    fleet.wait_allocator_agreed().await;
    load.add(&fleet, &allocator);
    load.wait_answered(20).await;
    let report = load.close().await;
    println!("members: allocator frozen: serves again after {served}");
    println!("members: allocator frozen: {report:?}");
    check_peaks("frozen", peak_before, peak(&fleet).await);
    assert!(report.lost_except(&allocator).is_empty(), "{report:?}");
    check_no_double_decode(&fleet).await;
}

fn check_peaks(what: &str, peak_before: u64, peak_after: u64) {
    println!(
        "members: allocator {what}: peak {peak_before} before, {peak_after} after, limit {LIMIT}"
    );
    assert!(
        peak_before <= LIMIT,
        "{peak_before} ran at once before the change of allocator"
    );
    assert!(peak_after <= OVERSHOOT_BOUND, "{peak_after} ran at once");
}

/// Checks that no prompt was decoded twice.
async fn check_no_double_decode(fleet: &Fleet) {
    let counters = fleet.counters(DECODE).await;
    let runs = counters["decode_runs_by_prompt"].as_object().unwrap();
    let decoded_twice = runs.values().filter(|count| count.as_u64() > Some(1));
    assert_eq!(decoded_twice.count(), 0, "{runs:?}");
}

async fn incarnation(fleet: &Fleet, entry: &str) -> u64 {
    let dump = fleet.dump(entry).await;
    dump["peer"]["members"]["incarnation"].as_u64().unwrap_or(0)
}

fn load(fleet: &Fleet) -> MemberLoad {
    MemberLoad::start(fleet, CALLERS, |endpoint, number| {
        endpoint.completion(PATIENT, &long_prompt(number, 20), TOKENS, false)
    })
}

async fn peak(fleet: &Fleet) -> u64 {
    let counters: Value = fleet.counters(DECODE).await;
    counters["peak_places"].as_u64().unwrap()
}

/// The allocator and another entry instance.
async fn roles(fleet: &Fleet) -> (String, String) {
    let allocator = fleet.allocator("gijon-1").await;
    let mut others = fleet.entry_names();
    others.retain(|name| *name != allocator);
    (allocator, others.remove(0))
}

async fn start() -> Fleet {
    let fleet = FleetPlan::new()
        .entries(ENTRIES)
        .prefill(1)
        .decode(1)
        .engine_set("decode_base_us=10000")
        .engine_set("eviction_ms=10000")
        .start()
        .await;
    let limited = format!("report,redactor,sondeo,5,1,{LIMIT},");
    fleet
        .put_table(&TABLE.replace("report,redactor,sondeo,5,1,,", &limited))
        .await;
    wait_all_serving(&fleet).await;
    fleet.wait_allocator_agreed().await;
    fleet
}

/// Sends a request and returns how long its answer takes.
async fn time_to_serve(fleet: &Fleet, entry: &str) -> String {
    let started = Instant::now();
    let prompt = long_prompt(900_000, 20);
    let call = fleet.entry(entry).completion(PATIENT, &prompt, 1, false);
    let reply = call.send().await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    format!("{:?}", started.elapsed())
}

/// Waits until every instance sees all instances serving, because the allocator may change until then.
async fn wait_all_serving(fleet: &Fleet) {
    for entry in fleet.entry_names() {
        let what = format!("{entry} sees all instances serving");
        wait_until(&what, async || {
            serving_count(fleet, &entry).await == ENTRIES
        })
        .await;
    }
}

/// Number of members in state `serving`, as an entry instance sees them.
async fn serving_count(fleet: &Fleet, entry: &str) -> usize {
    let dump = fleet.dump(entry).await;
    let heard = dump["peer"]["members"]["heard"].as_array().unwrap();
    let states = heard.iter().filter_map(|member| member["state"].as_str());
    states
        .filter(|state| state.eq_ignore_ascii_case("serving"))
        .count()
}
