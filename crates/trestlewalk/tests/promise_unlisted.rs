//! A request is served by an engine that its own entry instance does not list yet.

mod support;

use {
    plat::InstanceKind,
    serde_json::json,
    support::{
        Fleet, FleetPlan, RelayMode,
        answer_check::check_json,
        model_work::{expected_text, long_prompt},
        wait_until,
    },
};

/// The instance that rendezvous hashing names for the cell once both instances serve.
const ALLOCATOR: &str = "gijon-2";
const DECODE: &str = "gijon-decode-1";
const ENTRY: &str = "gijon-1";
const FIRST: &str = "gijon-prefill-1";
const SECOND: &str = "gijon-prefill-2";

async fn lists(fleet: &Fleet, entry: &str, upstream: &str) -> bool {
    let dump = fleet.dump(entry).await;
    dump["flow"]["upstreams"][upstream].is_object()
}

/// Waits until both instances have the cell's final allocator. They may agree on the other one for a moment.
async fn wait_allocator(fleet: &Fleet) {
    for entry in [ALLOCATOR, ENTRY] {
        wait_until("the cell has its final allocator", async || {
            fleet.allocator(entry).await == ALLOCATOR
        })
        .await;
    }
}

// Guards against a grant of an engine that the allocator lists and the entry instance of the request does not yet.
#[tokio::test]
async fn an_engine_that_only_the_allocator_lists_yet_holds_nobody_up() {
    let plan = FleetPlan::new()
        .entries(2)
        .prefill(1)
        .decode(1)
        .engine_set("decode_base_us=2000")
        .engine_set("eviction_ms=30000");
    let mut fleet = Fleet::serving(plan).await;
    wait_allocator(&fleet).await;
    fleet.set_faults(DECODE, json!({ "refuse": true })).await;
    let prompt = long_prompt(0, 30);
    let call = fleet.entry(ENTRY).completion("report", &prompt, 8, false);
    let answer = tokio::spawn(call.send());
    wait_until("the KV cache waits", async || {
        fleet.held_streams(FIRST).await == 1 && fleet.in_phase(ENTRY, "prefilling").await == 0
    })
    .await;

    fleet.platform_relay(ENTRY).set(RelayMode::Silent);
    fleet
        .start_upstream(SECOND, "gijon", InstanceKind::Prefill)
        .await;
    wait_until("the allocator lists the second engine", async || {
        lists(&fleet, ALLOCATOR, SECOND).await
    })
    .await;
    fleet.kill(FIRST).await;
    wait_until("the second engine prefills the prompt", async || {
        answer.is_finished() || fleet.counter_sum(SECOND, "prefill_runs").await >= 1
    })
    .await;
    assert!(!lists(&fleet, ENTRY, SECOND).await);

    fleet.platform_relay(ENTRY).set(RelayMode::Open);
    fleet.set_faults(DECODE, json!({})).await;
    let reply = answer.await.unwrap();
    let code = check_json(&reply, &expected_text(&prompt, 8));
    assert_eq!(code, 1000, "{}", reply.text());
}
