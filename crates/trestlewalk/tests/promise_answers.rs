//! Each caller gets the complete answer to its own request or an error, and never a truncated answer presented as
//! complete, duplicated tokens or tokens of another request.

mod support;

use {
    serde_json::{Value, json},
    support::{
        Fleet, FleetPlan, RelayMode,
        answer_check::{AnswerCounts, RequestMix, check_json, check_stream},
        model_work::{expected_text, long_prompt},
        wait_until,
    },
};

const DECODE_ENGINES: [&str; 2] = ["gijon-decode-1", "gijon-decode-2"];
const ENTRY: &str = "gijon-1";
const ONCE: &str = "single";
const PATIENT: &str = "report";
/// A decode engine that is started during a test.
const SPARE_ENGINE: &str = "gijon-decode-3";
const PREFILL_ENGINES: [&str; 2] = ["gijon-prefill-1", "gijon-prefill-2"];

async fn start() -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .prefill(2)
        .decode(2)
        .engine_set("decode_base_us=2000")
        .engine_set("decode_slope_us=50")
        .engine_set("eviction_ms=20000")
        .engine_set("finished_keep_ms=30000")
        .set("limits.idle=2s");
    Fleet::serving(plan).await
}

async fn set_decode_faults(fleet: &Fleet, faults: Value) {
    for engine in DECODE_ENGINES {
        fleet.set_faults(engine, faults.clone()).await;
    }
}

async fn run_with(fleet: &Fleet, work: &str, faults: Value) -> AnswerCounts {
    set_decode_faults(fleet, faults.clone()).await;
    let counts = RequestMix::new(work, 36, 40).run(fleet).await;
    println!("answers: {work}, {faults}: {counts:?}");
    counts
}

/// Waits until a decode engine has generated more than 20 tokens and returns it.
async fn busy_engine(fleet: &Fleet) -> &'static str {
    let mut busy = None;
    wait_until("a decode engine is busy", async || {
        for engine in DECODE_ENGINES {
            if fleet.counters(engine).await["tokens_generated"].as_u64() > Some(20) {
                busy = Some(engine);
            }
        }
        busy.is_some()
    })
    .await;
    busy.unwrap()
}

#[tokio::test]
async fn interleaved_answers_of_all_styles_are_whole() {
    let fleet = start().await;
    let counts = RequestMix::new(PATIENT, 120, 64).run(&fleet).await;
    assert_eq!(counts.complete, 120, "{counts:?}");
}

#[tokio::test]
async fn connections_cut_in_mid_stream_are_taken_up_without_gap_or_repeat() {
    let fleet = start().await;
    let counts = run_with(&fleet, PATIENT, json!({ "stop_after_tokens": 7 })).await;
    assert_eq!(counts.complete, 36, "{counts:?}");
    let counts = run_with(&fleet, ONCE, json!({ "stop_after_tokens": 1 })).await;
    assert_eq!(counts.complete, 36, "{counts:?}");
}

#[tokio::test]
async fn doubled_chunks_reach_nobody() {
    let fleet = start().await;
    let faults = json!({ "duplicate_chunks": true, "stop_after_tokens": 11 });
    let counts = run_with(&fleet, PATIENT, faults).await;
    assert_eq!(counts.complete, 36, "{counts:?}");
}

#[tokio::test]
async fn answers_that_cannot_be_read_or_are_too_long_are_never_passed_on_as_whole() {
    let fleet = start().await;
    for faults in [json!({ "extra_tokens": 3 }), json!({ "garbage": true })] {
        for work in [PATIENT, ONCE] {
            let counts = run_with(&fleet, work, faults.clone()).await;
            assert_eq!(counts.complete, 0, "{faults}: {counts:?}");
            let is_unknown = |code: &u64| *code >= 3000;
            assert!(counts.codes.iter().all(is_unknown), "{counts:?}");
        }
    }
    let counts = run_with(&fleet, PATIENT, json!({})).await;
    assert_eq!(counts.complete, 36, "{counts:?}");
}

#[tokio::test]
async fn a_way_that_resets_in_mid_stream_loses_no_token() {
    let fleet = start().await;
    let mix = RequestMix::new(ONCE, 24, 300);
    let resets = async {
        busy_engine(&fleet).await;
        for engine in DECODE_ENGINES {
            fleet.upstream_relay(engine).set(RelayMode::Reset);
        }
        tokio::task::yield_now().await;
        for engine in DECODE_ENGINES {
            fleet.upstream_relay(engine).set(RelayMode::Open);
        }
    };
    let (counts, ()) = tokio::join!(mix.run(&fleet), resets);
    println!("answers: reset in mid-stream: {counts:?}");
    // A decode call whose answer has not begun may be lost with its connection.
    assert!(counts.codes.iter().all(|code| *code >= 3000), "{counts:?}");
    assert!(counts.complete >= 12, "{counts:?}");
}

#[tokio::test]
async fn late_chunks_of_a_given_up_attempt_reach_nobody() {
    let fleet = start().await;
    let prompt = long_prompt(0, 30);
    let call = fleet.entry(ENTRY).completion(PATIENT, &prompt, 800, false);
    let waiting = tokio::spawn(call.send());
    let engine = busy_engine(&fleet).await;
    fleet.upstream_relay(engine).set(RelayMode::Silent);
    let other = DECODE_ENGINES
        .into_iter()
        .find(|other| *other != engine)
        .unwrap();
    wait_until("the other engine runs another attempt", async || {
        fleet.counter_sum(other, "decode_runs").await == 1
    })
    .await;
    fleet.upstream_relay(engine).set(RelayMode::Open);
    let reply = waiting.await.unwrap();
    assert_eq!(check_json(&reply, &expected_text(&prompt, 800)), 1000);
    fleet.wait_idle(&DECODE_ENGINES).await;
}

#[tokio::test]
async fn a_killed_decode_engine_truncates_no_answer() {
    let mut fleet = start().await;
    let prompt = long_prompt(0, 30);
    let expected = expected_text(&prompt, 4000);
    let endpoint = fleet.entry(ENTRY);
    let mut stream = endpoint
        .completion(PATIENT, &prompt, 4000, true)
        .stream()
        .await;
    let mut events = vec![stream.next_event().await.unwrap()];
    let repeatable = tokio::spawn(endpoint.completion(PATIENT, &prompt, 4000, false).send());
    let once = tokio::spawn(endpoint.completion(ONCE, &prompt, 4000, false).send());
    wait_until("all three decode", async || {
        fleet.in_phase(ENTRY, "decoding").await == 3
    })
    .await;
    fleet
        .start_upstream(SPARE_ENGINE, "gijon", plat::InstanceKind::Decode)
        .await;
    wait_until("the spare engine is used", async || {
        let call = endpoint.completion(PATIENT, "who is free?", 4, false);
        assert_eq!(call.send().await.code(), 1000);
        fleet.counter_sum(SPARE_ENGINE, "decode_runs").await > 0
    })
    .await;
    for engine in DECODE_ENGINES {
        fleet.kill(engine).await;
    }
    events.extend(stream.all_events().await);
    let code = check_stream(&events, &expected);
    assert_eq!(code, 3003, "a stream that had begun ends with an error");
    assert_eq!(check_json(&once.await.unwrap(), &expected), 3003);
    let reply = repeatable.await.unwrap();
    assert_eq!(check_json(&reply, &expected), 1000, "{}", reply.text());
}

#[tokio::test]
async fn a_prefill_engine_that_dies_while_its_kv_cache_waits_holds_nobody_up() {
    let mut fleet = start().await;
    set_decode_faults(&fleet, json!({ "refuse": true })).await;
    let prompt = long_prompt(0, 30);
    let endpoint = fleet.entry(ENTRY);
    let repeatable = tokio::spawn(endpoint.completion(PATIENT, &prompt, 8, false).send());
    let once = tokio::spawn(endpoint.completion(ONCE, &prompt, 8, false).send());
    wait_until("both KV caches wait at the prefill engines", async || {
        let mut held = 0;
        for engine in PREFILL_ENGINES {
            held += fleet.held_streams(engine).await;
        }
        held == 2 && fleet.in_phase(ENTRY, "prefilling").await == 0
    })
    .await;
    for engine in PREFILL_ENGINES {
        fleet.kill(engine).await;
    }
    fleet
        .start_upstream("gijon-prefill-3", "gijon", plat::InstanceKind::Prefill)
        .await;
    let once = once.await.unwrap();
    assert_eq!(check_json(&once, ""), 3008, "{}", once.text());
    set_decode_faults(&fleet, json!({})).await;
    let reply = repeatable.await.unwrap();
    assert_eq!(
        check_json(&reply, &expected_text(&prompt, 8)),
        1000,
        "{}",
        reply.text()
    );
}
