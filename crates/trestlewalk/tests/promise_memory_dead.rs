//! Engine memory is freed after the entry instance that held it, or the allocator as well, is killed or frozen.

mod support;

use {
    std::time::Duration,
    support::{
        Fleet, FleetPlan, SseReply,
        model_work::{DONE, error_code, long_prompt, median_and_max},
        wait_until,
    },
    tokio::task::JoinHandle,
};

const DECODE: &str = "gijon-decode-1";
const ENGINES: [&str; 2] = [PREFILL, DECODE];
const PATIENT: &str = "report";
const PREFILL: &str = "gijon-prefill-1";
/// Length of a prompt whose prefill takes longer than any test.
const LONG_PROMPT_TOKENS: usize = 20_000;

async fn start() -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .prefill(1)
        .decode(1)
        .engine_set("eviction_ms=120000")
        .engine_set("claim_limit_ms=120000")
        .engine_set("prefill_rate=200")
        .engine_set("keep_on_disconnect=true");
    Fleet::serving(plan).await
}

/// The allocator and two other entry instances.
async fn roles(fleet: &Fleet) -> (String, Vec<String>) {
    let allocator = fleet.allocator("gijon-1").await;
    let mut others = fleet.entry_names();
    others.retain(|name| *name != allocator);
    (allocator, others)
}

async fn open_stream(fleet: &Fleet, entry: &str, number: usize) -> SseReply {
    let prompt = long_prompt(number, 10);
    let call = fleet.entry(entry).completion(PATIENT, &prompt, 4000, true);
    let mut reply = call.stream().await;
    assert!(reply.next_event().await.is_some(), "a first token");
    reply
}

async fn start_prefill(fleet: &Fleet, entry: &str, number: usize) -> JoinHandle<()> {
    let prompt = long_prompt(number, LONG_PROMPT_TOKENS);
    let call = fleet.entry(entry).completion(PATIENT, &prompt, 4, false);
    let caller = tokio::spawn(async move {
        let _ = call.try_send().await;
    });
    wait_until("the prompt is being prefilled", async || {
        fleet.held_streams(PREFILL).await == 1
    })
    .await;
    caller
}

fn print_samples(what: &str, samples: Vec<Duration>) {
    let count = samples.len();
    let (median, max) = median_and_max(samples);
    println!("freed: {what}: n {count}, p50 {median:?}, worst {max:?}");
}

#[tokio::test]
async fn a_killed_entry_instances_reading_and_streams_are_freed() {
    let mut fleet = start().await;
    let mut samples = Vec::new();
    for round in 0..3 {
        let (_, others) = roles(&fleet).await;
        let victim = &others[round % 2];
        let stream = open_stream(&fleet, victim, round).await;
        let prefilling = start_prefill(&fleet, victim, round).await;
        fleet.kill(victim).await;
        samples.push(fleet.wait_idle(&ENGINES).await);
        drop((stream, prefilling));
        fleet.restart_entry(victim).await;
        fleet.wait_allocator_agreed().await;
    }
    print_samples("entry killed", samples);
}

#[tokio::test]
async fn what_a_killed_allocator_held_itself_is_freed() {
    let mut fleet = start().await;
    let (allocator, others) = roles(&fleet).await;
    let stream = open_stream(&fleet, &allocator, 0).await;
    let other = open_stream(&fleet, &others[0], 1).await;
    fleet.kill(&allocator).await;
    let started = std::time::Instant::now();
    wait_until("the stream of the killed allocator is freed", async || {
        fleet.held_streams(DECODE).await == 1
    })
    .await;
    print_samples("allocator killed", vec![started.elapsed()]);
    assert_eq!(fleet.in_phase(&others[0], "decoding").await, 1);
    drop((stream, other));
    fleet.wait_idle(&ENGINES).await;
}

#[tokio::test]
async fn an_entry_instance_and_the_allocator_killed_together_leave_nothing() {
    let mut fleet = start().await;
    let (allocator, others) = roles(&fleet).await;
    let stream = open_stream(&fleet, &others[0], 0).await;
    let own = open_stream(&fleet, &allocator, 1).await;
    let prefilling = start_prefill(&fleet, &others[0], 2).await;
    fleet.kill(&others[0]).await;
    fleet.kill(&allocator).await;
    let freed = fleet.wait_idle(&ENGINES).await;
    print_samples("entry and allocator killed", vec![freed]);
    drop((stream, own, prefilling));
    let call = fleet
        .entry(&others[1])
        .completion(PATIENT, "still there?", 4, false);
    let reply = call.send().await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
}

#[tokio::test]
async fn a_frozen_entry_instances_streams_are_freed_and_its_callers_get_a_true_end() {
    let fleet = start().await;
    let (_, others) = roles(&fleet).await;
    let victim = &others[0];
    let mut stream = open_stream(&fleet, victim, 0).await;
    let prompt = long_prompt(1, 10);
    let call = fleet
        .entry(victim)
        .completion(PATIENT, &prompt, 4000, false);
    let json_reply = tokio::spawn(call.try_send());
    wait_until("both decode", async || {
        fleet.in_phase(victim, "decoding").await == 2
    })
    .await;
    let prefilling = start_prefill(&fleet, victim, 2).await;
    fleet.pause(victim).await;
    let freed = fleet.wait_idle(&ENGINES).await;
    print_samples("entry frozen", vec![freed]);
    fleet.resume(victim);
    let events = stream.all_events().await;
    assert_ne!(events.last().map(String::as_str), Some(DONE));
    assert!(error_code(&events) >= 3000, "{:?}", events.last());
    let reply = json_reply.await.unwrap().unwrap();
    let is_accurate = reply.code() == 1000 || reply.code() >= 3000;
    assert!(is_accurate, "{}", reply.text());
    prefilling.await.unwrap();
    fleet.wait_allocator_agreed().await;
    let call = fleet
        .entry(victim)
        .completion(PATIENT, "and now?", 4, false);
    let reply = call.send().await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    fleet.wait_idle(&ENGINES).await;
}

#[tokio::test]
async fn a_frozen_allocator_that_comes_back_leaves_nothing_and_holds_nobody_up() {
    let fleet = start().await;
    let (allocator, others) = roles(&fleet).await;
    let stream = open_stream(&fleet, &allocator, 0).await;
    fleet.pause(&allocator).await;
    let call = fleet
        .entry(&others[0])
        .completion(PATIENT, "who grants?", 4, false);
    let reply = call.send().await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    fleet.wait_idle(&ENGINES).await;
    fleet.resume(&allocator);
    drop(stream);
    fleet.wait_allocator_agreed().await;
    for entry in fleet.entry_names() {
        let call = fleet
            .entry(&entry)
            .completion(PATIENT, "and now?", 4, false);
        let reply = call.send().await;
        assert_eq!(reply.code(), 1000, "{entry}: {}", reply.text());
    }
    fleet.wait_idle(&ENGINES).await;
}
