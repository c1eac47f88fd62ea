//! A request is answered although its decode engine is taken for failed during the call to it.

mod support;

use {
    serde_json::json,
    std::time::Duration,
    support::{Fleet, FleetPlan, RelayMode, model_work::long_prompt, wait_until},
};

const DECODE: &str = "gijon-decode-1";
const ENTRY: &str = "gijon-1";
/// Longer than the time after which an engine without load reports is taken for failed.
const ENGINE_SILENCE: Duration = Duration::from_secs(8);

async fn start() -> Fleet {
    let plan = FleetPlan::new()
        .entries(1)
        .prefill(1)
        .decode(1)
        .engine_set("decode_base_us=2000")
        .engine_set("eviction_ms=30000")
        .set("limits.idle=40s");
    Fleet::serving(plan).await
}

// Guards against a request that waits forever for a decode place: the allocator dropped the request together with the
// engine, and the engine then refused the call.
#[tokio::test]
async fn a_request_that_an_engine_refuses_after_it_was_held_for_gone_is_answered() {
    for (at, work) in ["single", "report"].into_iter().enumerate() {
        let fleet = start().await;
        let endpoint = fleet.entry(ENTRY);
        let prompt = long_prompt(at, 20);
        let earlier = endpoint
            .completion(work, "is it served?", 4, false)
            .send()
            .await;
        assert_eq!(earlier.code(), 1000, "{work}: {}", earlier.text());
        fleet.set_faults(DECODE, json!({ "refuse": true })).await;
        fleet.upstream_relay(DECODE).set(RelayMode::Silent);
        let answer = tokio::spawn(endpoint.completion(work, &prompt, 4, false).send());
        wait_until("the decode engine is called", async || {
            fleet.in_phase(ENTRY, "transferring").await == 1
        })
        .await;
        tokio::time::sleep(ENGINE_SILENCE).await;
        fleet.upstream_relay(DECODE).set(RelayMode::Open);
        wait_until("the engine refuses", async || {
            fleet.counter_sum(DECODE, "refused").await >= 1
        })
        .await;
        fleet.set_faults(DECODE, json!({})).await;
        let reply = answer.await.unwrap();
        assert_eq!(reply.code(), 1000, "{work}: {}", reply.text());
    }
}
