//! An idempotency key runs a request at most once across separate entry instances, also while the platform fails.

mod support;

use {
    serde_json::json,
    support::{CallReply, Fleet, FleetPlan, KEY_HEADER, RelayMode, start_ready, wait_until},
};

const ENTRIES: [&str; 3] = ["gijon-1", "gijon-2", "gijon-3"];
const KEY: &str = "slot-7";
const PLAIN: &str = "gijon-plain-1";

async fn start() -> Fleet {
    start_ready(FleetPlan::new().entries(3).plain(1)).await
}

async fn confirm(fleet: &Fleet, entry: &str) -> CallReply {
    let call = fleet.confirm(entry, "slot").header(KEY_HEADER, KEY);
    call.send().await
}

#[tokio::test]
async fn submissions_of_a_key_at_all_instances_at_once_run_once_and_get_one_answer() {
    let fleet = start().await;
    let [first, second, third] = ENTRIES.map(|entry| confirm(&fleet, entry));
    let replies = tokio::join!(first, second, third);
    for reply in [&replies.0, &replies.1, &replies.2] {
        assert_eq!(reply.code(), 1000, "{}", reply.text());
        assert_eq!(reply.body, replies.0.body);
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_second_instance_waits_for_the_run_of_the_first() {
    let fleet = start().await;
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let call = |entry| {
        let call = fleet.confirm(entry, "slot").header(KEY_HEADER, KEY);
        tokio::spawn(call.try_send())
    };
    let first = call("gijon-1");
    wait_until("the relay holds the running call", async || {
        relay.held() > 0
    })
    .await;
    let second = call("gijon-2");
    wait_until("the repetition is attached", async || {
        let dump = fleet.ticket_dump("gijon-1").await;
        dump["happenings"]["attached"] == 1
    })
    .await;
    relay.set(RelayMode::Open);
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_eq!(first.unwrap().body, second.unwrap().body);
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_claim_whose_reply_is_lost_is_recognised() {
    let fleet = start().await;
    for (turn, entry) in ENTRIES.iter().enumerate() {
        let key = format!("lost-{turn}");
        fleet
            .set_faults("platform", json!({ "lose_next_replies": 1 }))
            .await;
        for _ in 0..2 {
            let call = fleet.confirm(entry, &key).header(KEY_HEADER, &key);
            let reply = call.send().await;
            assert_eq!(reply.code(), 1000, "{}", reply.text());
        }
        assert_eq!(fleet.runs(&key).await, 1);
    }
    assert_eq!(fleet.counters("platform").await["lost_replies"], 3);
}

#[tokio::test]
async fn with_the_platform_down_a_key_is_refused_as_not_run_and_runs_later() {
    let fleet = start().await;
    fleet.set_faults("platform", json!({ "down": true })).await;
    let reply = confirm(&fleet, "gijon-1").await;
    assert_eq!((reply.status.as_u16(), reply.code()), (503, 2010));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs("slot").await, 0);
    fleet.set_faults("platform", json!({})).await;
    for entry in ENTRIES {
        assert_eq!(confirm(&fleet, entry).await.code(), 1000);
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_claim_that_was_written_and_not_confirmed_never_runs_and_gives_way() {
    let fleet = start().await;
    // The write is committed, its reply is lost, and the platform is unreachable afterwards.
    let relay = fleet.platform_relay("gijon-1");
    fleet
        .set_faults("platform", json!({ "reply_delay_ms": 600_000 }))
        .await;
    let call = fleet.confirm("gijon-1", "slot").header(KEY_HEADER, KEY);
    let refused = tokio::spawn(call.try_send());
    wait_until("the claim is written", async || {
        fleet.counters("platform").await["transactions_committed"].as_u64() > Some(1)
    })
    .await;
    relay.set(RelayMode::Reset);
    let refused = refused.await.unwrap().unwrap();
    assert_eq!(refused.code(), 2010, "{}", refused.text());
    fleet.set_faults("platform", json!({})).await;
    let reply = confirm(&fleet, "gijon-2").await;
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_key_with_another_request_is_taken() {
    let fleet = start().await;
    assert_eq!(confirm(&fleet, "gijon-1").await.code(), 1000);
    let other = fleet.confirm("gijon-2", "other").body("kiln 8");
    let reply = other.header(KEY_HEADER, KEY).send().await;
    assert_eq!((reply.status.as_u16(), reply.code()), (409, 2016));
    assert_eq!(fleet.runs("other").await, 0);
}

#[tokio::test]
async fn two_callers_have_each_their_own_keys() {
    let fleet = start().await;
    for (caller, run_key) in [("Bearer studio-a", "a"), ("Bearer studio-b", "b")] {
        let call = fleet.confirm("gijon-1", run_key);
        let call = call.header("authorization", caller).header(KEY_HEADER, KEY);
        assert_eq!(call.send().await.code(), 1000);
        assert_eq!(fleet.runs(run_key).await, 1);
    }
}
