//! Tickets and keys run a request at most once while entry instances are killed, frozen or partitioned.

mod support;

use {
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        CallReply, Fleet, FleetPlan, HttpCall, KEY_HEADER, RelayMode, TABLE, TICKET_HEADER,
        start_ready, wait_until,
    },
    tokio::task::JoinHandle,
};

const DECODE: &str = "gijon-decode-1";
const ORIGIN: &str = "gijon-1";
const PLAIN: &str = "gijon-plain-1";
const CONFIRM: &str = "confirm,carta,,0,1,,,1s,,5s";
const CONFIRM_LIMITED: &str = "confirm,carta,,0,1,1,,,,60s";
const OTHER: &str = "gijon-2";

#[tokio::test]
async fn after_the_origin_is_killed_in_a_run_its_ticket_runs_nowhere() {
    let mut fleet = start_ready(FleetPlan::new().entries(3).plain(1)).await;
    let ticket = fleet.mint(ORIGIN).await;
    let at = |fleet: &Fleet, entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    let call = run_and_hold(&fleet, at(&fleet, OTHER)).await;
    fleet.kill(ORIGIN).await;
    let reply = call.await.unwrap().unwrap();
    assert_eq!((reply.status.as_u16(), reply.code()), (502, 3004));
    for entry in [OTHER, "gijon-3"] {
        let reply = at(&fleet, entry).send().await;
        assert_eq!(reply.code(), 3004, "{entry}: {}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn after_the_origin_is_killed_in_a_run_its_key_runs_nowhere() {
    let mut fleet = start_ready(FleetPlan::new().entries(3).plain(1)).await;
    let at = |fleet: &Fleet, entry| fleet.confirm(entry, "slot").header(KEY_HEADER, "key");
    let call = run_and_hold(&fleet, at(&fleet, ORIGIN)).await;
    fleet.kill(ORIGIN).await;
    assert!(call.await.unwrap().is_err());
    for entry in [OTHER, "gijon-3"] {
        let reply = at(&fleet, entry).send().await;
        assert_eq!(reply.code(), 3004, "{entry}: {}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_later_life_of_the_origin_does_not_run_the_tickets_of_the_earlier_one() {
    let mut fleet = start_ready(FleetPlan::new().entries(2).plain(1)).await;
    let ticket = fleet.mint(ORIGIN).await;
    fleet.kill(ORIGIN).await;
    fleet.restart_entry(ORIGIN).await;
    fleet.wait_ready(ORIGIN).await;
    for entry in [ORIGIN, OTHER] {
        let call = fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
        assert_eq!(call.send().await.code(), 3004);
    }
    assert_eq!(fleet.runs("slot").await, 0);
}

#[tokio::test]
async fn an_origin_that_was_frozen_past_the_tickets_end_sends_nothing_any_more() {
    const LIFETIME_MS: u64 = 700;
    let plan = FleetPlan::new().entries(2).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan.engine_set("decode_base_us=1000000")).await;
    let holder_body = json!({ "prompt": "the whole harbour", "max_tokens": 64, "stream": true });
    let call = fleet.entry(OTHER).post("/v1/completions").work("single");
    let mut holder = call.json(&holder_body).stream().await;
    assert!(holder.next_event().await.is_some());
    let ticket = fleet.mint_for(ORIGIN, LIFETIME_MS).await;
    let minted = Instant::now();
    let body = json!({ "prompt": "the late one", "max_tokens": 4 });
    let call = || {
        let call = fleet.entry(ORIGIN).post("/v1/completions").work("single");
        call.header(TICKET_HEADER, &ticket).json(&body)
    };
    let queued = tokio::spawn(call().try_send());
    wait_until("the request is queued", async || {
        fleet.ticket_dump(ORIGIN).await["records"] == 1
    })
    .await;
    fleet.pause(ORIGIN).await;
    wait_until("the ticket's end", async || {
        minted.elapsed() > Duration::from_millis(LIFETIME_MS + 2)
    })
    .await;
    drop(holder);
    wait_until("the place is free", async || {
        fleet.counters(DECODE).await["places_used"] == 0
    })
    .await;
    fleet.resume(ORIGIN);
    let reply = queued.await.unwrap().unwrap();
    // Its prompt may have been prefilled before the freeze.
    assert!([3008, 4001].contains(&reply.code()), "{}", reply.text());
    assert_eq!(call().send().await.code(), reply.code());
    let runs = &fleet.counters(DECODE).await["decode_runs"];
    assert_eq!(runs.as_object().map(|runs| runs.len()), Some(1), "{runs}");
}

#[tokio::test]
async fn a_call_that_waits_past_its_tickets_end_is_refused_as_not_run() {
    const LIFETIME_MS: u64 = 200;
    let fleet = start_ready(FleetPlan::new().plain(1)).await;
    fleet
        .put_table(&TABLE.replace(CONFIRM, CONFIRM_LIMITED))
        .await;
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let first = tokio::spawn(fleet.confirm(ORIGIN, "first").try_send());
    wait_until("the relay holds the first call", async || relay.held() > 0).await;
    let ticket = fleet.mint_for(ORIGIN, LIFETIME_MS).await;
    let minted = Instant::now();
    let call = || fleet.confirm(ORIGIN, "late").header(TICKET_HEADER, &ticket);
    let late = tokio::spawn(call().try_send());
    wait_until("the ticket's end", async || {
        minted.elapsed() > Duration::from_millis(LIFETIME_MS + 2)
    })
    .await;
    assert!(!late.is_finished());
    relay.set(RelayMode::Open);
    assert_eq!(first.await.unwrap().unwrap().code(), 1000);
    let late = late.await.unwrap().unwrap();
    assert_eq!(late.code(), 4001, "{}", late.text());
    assert_eq!(call().send().await.code(), 4001);
    assert_eq!(fleet.runs("late").await, 0);
}

#[tokio::test]
async fn a_frozen_origin_leaves_the_outcome_unknown_and_runs_no_second_time() {
    let fleet = start_ready(FleetPlan::new().entries(2).plain(1)).await;
    let ticket = fleet.mint(ORIGIN).await;
    let at = |entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    let call = run_and_hold(&fleet, at(OTHER)).await;
    fleet.pause(ORIGIN).await;
    let reply = call.await.unwrap().unwrap();
    assert_eq!(reply.code(), 3004, "{}", reply.text());
    fleet.resume(ORIGIN);
    wait_until("the origin answers", async || {
        let reply = at(OTHER).send().await;
        reply.code() != 3004
    })
    .await;
    let reply = at(ORIGIN).send().await;
    assert!([1000, 3003].contains(&reply.code()), "{}", reply.text());
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn on_the_other_side_of_a_cut_a_ticket_waits_for_its_origin() {
    let fleet = two_zones().await;
    let ticket = fleet.mint("gijon-1").await;
    let at = |entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    fleet.partition_zones("gijon", "ferrol");
    let reply = at("ferrol-1").send().await;
    assert_eq!(reply.code(), 3004, "{}", reply.text());
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs("slot").await, 0);
    let first = at("gijon-2").send().await;
    assert_eq!(first.code(), 1000, "{}", first.text());
    assert_eq!(at("ferrol-2").send().await.code(), 3004);
    fleet.heal_zones("gijon", "ferrol");
    wait_until("the origin is reached again", async || {
        let reply = at("ferrol-1").send().await;
        reply.code() == 1000 && reply.body == first.body
    })
    .await;
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn on_the_other_side_of_a_cut_a_key_waits_for_its_origin() {
    let fleet = two_zones().await;
    let at = |entry| fleet.confirm(entry, "slot").header(KEY_HEADER, "key");
    let first = at("gijon-1").send().await;
    assert_eq!(first.code(), 1000, "{}", first.text());
    fleet.partition_zones("gijon", "ferrol");
    assert_eq!(at("ferrol-1").send().await.code(), 3004);
    fleet.heal_zones("gijon", "ferrol");
    wait_until("the origin is reached again", async || {
        let reply = at("ferrol-1").send().await;
        reply.code() == 1000 && reply.body == first.body
    })
    .await;
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn an_answer_that_is_lost_after_the_run_is_not_asked_for_again() {
    let fleet = start_ready(FleetPlan::new().entries(2).plain(1)).await;
    let ticket = fleet.mint(ORIGIN).await;
    let at = |entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    let faults = json!({ "close_after_read": true });
    fleet.set_faults(PLAIN, faults).await;
    assert_eq!(at(OTHER).send().await.code(), 3001);
    fleet.set_faults(PLAIN, json!({})).await;
    for entry in [ORIGIN, OTHER] {
        assert_eq!(at(entry).send().await.code(), 3001);
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_refused_request_stays_refused_under_its_ticket() {
    let fleet = start_ready(FleetPlan::new().entries(2).plain(1)).await;
    let ticket = fleet.mint(ORIGIN).await;
    let at = |entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    fleet.set_faults(PLAIN, json!({ "refuse": true })).await;
    assert_eq!(at(OTHER).send().await.code(), 2011);
    fleet.set_faults(PLAIN, json!({})).await;
    for entry in [ORIGIN, OTHER] {
        assert_eq!(at(entry).send().await.code(), 2011);
    }
    assert_eq!(fleet.runs("slot").await, 0);
}

/// Sends a call that the service runs and whose answer the relay holds.
async fn run_and_hold(fleet: &Fleet, call: HttpCall) -> JoinHandle<Result<CallReply, String>> {
    let relay = fleet.upstream_relay(PLAIN);
    fleet.set_faults(PLAIN, json!({ "delay_ms": 400 })).await;
    let call = tokio::spawn(call.try_send());
    wait_until("the service runs the call", async || {
        fleet.counters(PLAIN).await["in_progress"] == 1
    })
    .await;
    relay.set(RelayMode::Silent);
    wait_until("the relay holds the answer", async || {
        relay.held() > 0 && fleet.counters(PLAIN).await["in_progress"] == 0
    })
    .await;
    fleet.set_faults(PLAIN, json!({})).await;
    relay.set(RelayMode::Silent);
    call
}

async fn two_zones() -> Fleet {
    let plan = FleetPlan::new().zones(&["gijon", "ferrol"]).entries(2);
    start_ready(plan.plain(1)).await
}
