//! A graceful close lets running and queued requests finish; a forced close counts the requests that it cuts off.

mod support;

use {
    serde_json::json,
    support::{
        CallReply, Fleet, FleetPlan,
        answer_check::{check_json, check_stream},
        model_work::{error_code, expected_text, long_prompt},
        wait_until,
    },
    tokio::task::JoinSet,
};

const CLOSING_CODE: u16 = 2008;
const CUT_CODE: u16 = 3006;
/// The exit code of result codes 3xxx.
const CUT_EXIT_STATUS: i32 = 30;
const DECODE: &str = "gijon-decode-1";
const ENGINES: [&str; 2] = ["gijon-prefill-1", DECODE];
const PATIENT: &str = "report";
const TOKENS: u32 = 200;

/// A fleet with two decode places, so that most requests are queued.
fn plan() -> FleetPlan {
    FleetPlan::new()
        .entries(3)
        .prefill(1)
        .decode(1)
        .engine_set("decode_places=2")
        .engine_set("decode_base_us=3000")
        .engine_set("decode_slope_us=100")
}

/// Starts requests at an entry instance, alternately streamed and not; each task checks its answer and returns the
/// code.
fn start_requests(fleet: &Fleet, entry: &str, numbers: std::ops::Range<usize>) -> JoinSet<u64> {
    let endpoint = fleet.entry(entry);
    let mut tasks = JoinSet::new();
    for number in numbers {
        tasks.spawn(async move {
            let prompt = long_prompt(number, 30);
            let expected = expected_text(&prompt, TOKENS);
            let stream = number % 2 == 0;
            let call = endpoint.completion(PATIENT, &prompt, TOKENS, stream);
            if !stream {
                return check_json(&call.send().await, &expected);
            }
            let mut reply = call.stream().await;
            if reply.code() != 1000 {
                return u64::from(reply.code());
            }
            check_stream(&reply.all_events().await, &expected)
        });
    }
    tasks
}

async fn wait_mixed(fleet: &Fleet, entry: &str) {
    wait_until("some requests decode and some are queued", async || {
        let dump = fleet.dump(entry).await;
        let requests = &dump["flow"]["requests"];
        requests["decoding"].as_u64() > Some(0) && requests["queued"].as_u64() > Some(1)
    })
    .await;
}

async fn wait_closing(fleet: &Fleet, entry: &str) {
    wait_until("the instance is closing", async || {
        let reply = fleet.admin(entry, "/ready").try_send().await;
        reply.is_ok_and(|reply| reply.text().contains("closing"))
    })
    .await;
}

async fn send_short_request(fleet: &Fleet, entry: &str) -> Result<CallReply, String> {
    let call = fleet.entry(entry).completion(PATIENT, "one more", 4, false);
    call.try_send().await
}

async fn check_graceful(fleet: &mut Fleet, entry: &str) {
    let entries = fleet.entry_names();
    let other = entries.iter().find(|name| *name != entry).unwrap().clone();
    let mut own_requests = start_requests(fleet, entry, 0..10);
    wait_mixed(fleet, entry).await;
    let other_requests = start_requests(fleet, &other, 10..14);
    fleet.set_faults("platform", json!({ "down": true })).await;
    fleet.terminate(entry);
    wait_closing(fleet, entry).await;
    let refusal = send_short_request(fleet, entry).await.unwrap();
    assert_eq!(refusal.code(), CLOSING_CODE, "{}", refusal.text());
    assert!(
        refusal.headers.contains_key("retry-after"),
        "{:?}",
        refusal.headers
    );
    let mut codes = Vec::new();
    while let Some(code) = own_requests.join_next().await {
        codes.push(code.unwrap());
    }
    assert_eq!(codes, [1000; 10], "at the closing instance");
    assert_eq!(
        other_requests.join_all().await,
        [1000; 4],
        "at another instance"
    );
    assert_eq!(fleet.wait_exit(entry).await.code(), Some(0));
    assert_eq!(
        send_short_request(fleet, &other).await.unwrap().code(),
        1000,
        "the other instances keep serving"
    );
    fleet.wait_idle(&ENGINES).await;
}

#[tokio::test]
async fn the_allocator_closes_under_streams_and_a_queue_while_the_platform_is_down() {
    let mut fleet = Fleet::serving(plan()).await;
    let allocator = fleet.allocator("gijon-1").await;
    check_graceful(&mut fleet, &allocator).await;
}

#[tokio::test]
async fn another_instance_closes_under_streams_and_a_queue_while_the_platform_is_down() {
    let mut fleet = Fleet::serving(plan()).await;
    let allocator = fleet.allocator("gijon-1").await;
    let entries = fleet.entry_names();
    let entry = entries.iter().find(|name| **name != allocator).unwrap();
    check_graceful(&mut fleet, entry).await;
}

#[tokio::test]
async fn the_only_instance_closes_under_streams_and_a_queue() {
    let mut fleet = Fleet::serving(plan().entries(1)).await;
    let own_requests = start_requests(&fleet, "gijon-1", 0..8);
    wait_mixed(&fleet, "gijon-1").await;
    fleet.terminate("gijon-1");
    assert_eq!(own_requests.join_all().await, [1000; 8]);
    assert_eq!(fleet.wait_exit("gijon-1").await.code(), Some(0));
}

#[tokio::test]
async fn a_plain_call_under_way_ends_whole() {
    let mut fleet = Fleet::serving(plan().plain(1).plain_set("delay_ms=700")).await;
    let call = fleet
        .entry("gijon-1")
        .post("/services/carta/slots")
        .work("confirm")
        .body("kiln");
    let call = tokio::spawn(call.header("x-answer-size", "3000000").send());
    wait_until("the call runs", async || {
        fleet.counters("gijon-plain-1").await["in_progress"] == 1
    })
    .await;
    fleet.terminate("gijon-1");
    let reply = call.await.unwrap();
    assert_eq!((reply.code(), reply.body.len()), (1000, 3_000_000));
    assert_eq!(fleet.wait_exit("gijon-1").await.code(), Some(0));
}

#[tokio::test]
async fn the_close_limit_ends_what_is_left_and_counts_it() {
    let mut fleet = Fleet::serving(plan().set("limits.close=1s")).await;
    fleet
        .set_faults(DECODE, json!({ "stall_decoding": true }))
        .await;
    let endpoint = fleet.entry("gijon-1");
    let first = endpoint.completion(PATIENT, "stays", TOKENS, true);
    let first = tokio::spawn(first.send());
    let second = endpoint.completion(PATIENT, "stays too", TOKENS, false);
    let second = tokio::spawn(second.send());
    let third = tokio::spawn(endpoint.completion(PATIENT, "waits", TOKENS, false).send());
    wait_until(
        "two requests hold the decode places and one is queued",
        async || {
            let dump = fleet.dump("gijon-1").await;
            let requests = &dump["flow"]["requests"];
            requests["transferring"] == 2 && requests["queued"] == 1
        },
    )
    .await;
    fleet.terminate("gijon-1");
    let mut codes = Vec::new();
    for call in [first, second, third] {
        codes.push(call.await.unwrap().code());
    }
    codes.sort_unstable();
    assert_eq!(codes, [CLOSING_CODE, CUT_CODE, CUT_CODE]);
    assert_eq!(
        fleet.wait_exit("gijon-1").await.code(),
        Some(CUT_EXIT_STATUS)
    );
    let log = fleet.log("gijon-1");
    assert!(log.contains("the close limit cut 3 requests off"), "{log}");
    assert_eq!(
        fleet.counter_sum("gijon-prefill-1", "prefill_runs").await,
        2
    );
    fleet.wait_idle(&ENGINES).await;
}

#[tokio::test]
async fn a_second_signal_ends_it_at_once_and_counts_what_it_cut() {
    let mut fleet = Fleet::serving(plan()).await;
    let prompt = long_prompt(0, 30);
    let call = fleet
        .entry("gijon-1")
        .completion(PATIENT, &prompt, 4000, true);
    let mut reply = call.stream().await;
    let mut events = vec![reply.next_event().await.unwrap()];
    fleet.terminate("gijon-1");
    wait_closing(&fleet, "gijon-1").await;
    fleet.terminate("gijon-1");
    events.extend(reply.all_events().await);
    assert!(
        reply.is_truncated || error_code(&events) >= 3000,
        "{:?}",
        events.last()
    );
    assert!(!events.iter().any(|event| event == "[DONE]"));
    assert_eq!(
        fleet.wait_exit("gijon-1").await.code(),
        Some(CUT_EXIT_STATUS)
    );
    let log = fleet.log("gijon-1");
    assert!(log.contains("a second signal cut 1 requests off"), "{log}");
    fleet.wait_idle(&ENGINES).await;
}
