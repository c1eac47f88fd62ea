//! A graceful close while requests run.

mod support;

use {
    serde_json::{Value, json},
    support::{CallReply, Fleet, FleetPlan, RelayMode, SseReply, TABLE, wait_until},
    tokio::task::JoinHandle,
    trestlewalk::admin::ReadyReply,
};

const DONE_MARKER: &str = "[DONE]";
const ENTRY: &str = "gijon-1";
const PLAIN: &str = "gijon-plain-1";
/// One token a second: no stream ends by itself within the test.
const SLOW_DECODE: &str = "decode_base_us=1000000";
const TOKENS: u32 = 40;

#[tokio::test]
async fn a_running_call_is_answered_in_full_before_the_process_ends() {
    let mut fleet = start(FleetPlan::new().plain(1)).await;
    let call = held_call(&fleet).await;
    close(&fleet).await;
    assert!(!call.is_finished());
    release(&fleet);
    let reply = call.await.unwrap().unwrap();
    assert_eq!((reply.status.as_u16(), reply.code()), (200, 1000));
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(0));
}

#[tokio::test]
async fn a_running_stream_ends_whole_before_the_process_ends() {
    let mut fleet = start(FleetPlan::new().prefill(1).decode(1).plain(1)).await;
    let mut stream = open_stream(&fleet).await;
    fleet.terminate(ENTRY);
    let events = stream.all_events().await;
    assert_eq!(events.last().map(String::as_str), Some(DONE_MARKER));
    assert!(!stream.is_truncated);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(0));
}

#[tokio::test]
async fn a_new_request_is_refused_as_not_run_during_the_close() {
    let fleet = start(FleetPlan::new().plain(1)).await;
    let _call = held_call(&fleet).await;
    close(&fleet).await;
    let reply = tile(&fleet).await.unwrap();
    assert_eq!((reply.status.as_u16(), reply.code()), (503, 2008));
}

#[tokio::test]
async fn the_close_limit_cuts_a_request_off_and_the_exit_code_says_so() {
    let plan = FleetPlan::new().plain(1).set("limits.close=100ms");
    let mut fleet = start(plan).await;
    let call = held_call(&fleet).await;
    fleet.terminate(ENTRY);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(30));
    let reply = call.await.unwrap().unwrap();
    assert_eq!((reply.status.as_u16(), reply.code()), (502, 3006));
}

#[tokio::test]
async fn the_close_limit_tells_a_running_stream_why_it_ends() {
    let plan = FleetPlan::new().prefill(1).decode(1).plain(1);
    let plan = plan.set("limits.close=100ms");
    let mut fleet = start(plan.engine_set(SLOW_DECODE)).await;
    let mut stream = open_stream(&fleet).await;
    fleet.terminate(ENTRY);
    let events = stream.all_events().await;
    let last: Value = serde_json::from_str(events.last().unwrap()).unwrap();
    assert_eq!(last["error"]["code"], 3006, "{last}");
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(30));
}

#[tokio::test]
async fn a_second_signal_ends_the_process_at_once() {
    let mut fleet = start(FleetPlan::new().plain(1)).await;
    let _call = held_call(&fleet).await;
    close(&fleet).await;
    fleet.terminate(ENTRY);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(30));
    assert!(
        fleet
            .log(ENTRY)
            .contains("a second signal cut 1 requests off")
    );
}

#[tokio::test]
async fn a_second_signal_does_nothing_where_the_settings_say_so() {
    let plan = FleetPlan::new()
        .plain(1)
        .set("limits.second_signal=ignored");
    let mut fleet = start(plan).await;
    let call = held_call(&fleet).await;
    close(&fleet).await;
    fleet.terminate(ENTRY);
    release(&fleet);
    assert_eq!(call.await.unwrap().unwrap().code(), 1000);
    assert_eq!(fleet.wait_exit(ENTRY).await.code(), Some(0));
}

/// Sends SIGTERM and waits until the instance reports that it is closing.
async fn close(fleet: &Fleet) {
    fleet.terminate(ENTRY);
    wait_until("the instance is closing", async || {
        let reply = fleet.admin(ENTRY, "/ready").send().await;
        let ready: ReadyReply = reply.json();
        ready.reasons.contains_key("closing")
    })
    .await;
}

/// Sends a call that the relay in front of the service holds until [`release`].
async fn held_call(fleet: &Fleet) -> JoinHandle<Result<CallReply, String>> {
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let call = fleet.entry(ENTRY).get("/services/carta/tile").work("tile");
    let call = tokio::spawn(call.try_send());
    wait_until("the relay holds the call", async || relay.held() > 0).await;
    call
}

/// Opens a stream and reads its first event.
async fn open_stream(fleet: &Fleet) -> SseReply {
    let body = json!({ "prompt": "soundings", "max_tokens": TOKENS, "stream": true });
    let call = fleet.entry(ENTRY).post("/v1/completions").work("assist");
    let mut stream = call.json(&body).stream().await;
    assert_eq!(stream.code(), 1000);
    assert!(stream.next_event().await.is_some());
    stream
}

fn release(fleet: &Fleet) {
    fleet.upstream_relay(PLAIN).set(RelayMode::Open);
}

/// Starts a fleet and waits until its table is in force and the service answers.
async fn start(plan: FleetPlan) -> Fleet {
    let fleet = plan.start().await;
    fleet.put_table(TABLE).await;
    fleet.wait_ready(ENTRY).await;
    wait_until("a call is answered", async || {
        tile(&fleet).await.is_ok_and(|reply| reply.code() == 1000)
    })
    .await;
    fleet
}

async fn tile(fleet: &Fleet) -> Result<CallReply, String> {
    let call = fleet.entry(ENTRY).get("/services/carta/tile");
    call.work("tile").try_send().await
}
