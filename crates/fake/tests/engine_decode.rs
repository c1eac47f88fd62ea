//! Tests of an engine's decode places, transfers and batch in virtual time.

#[path = "support/virtual_engine.rs"]
mod virtual_engine;

use {
    engine::wire::StreamState,
    fake::{
        EngineFaults, EngineSettings, LengthSpread, expected_length,
        model::{EngineCall, EngineEvent, KvAnswer, RunEnd},
    },
    std::time::Duration,
    virtual_engine::{VirtualEngine, decode_call, decode_settings, found},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn engine_with(answer: KvAnswer) -> VirtualEngine {
    let mut engine = VirtualEngine::new(decode_settings());
    engine.answer = answer;
    engine
}

#[test]
fn a_call_takes_a_place_at_once_or_is_refused() {
    let mut engine = engine_with(found(1000.0));
    engine.submit(decode_call("a", "a"));
    engine.submit(decode_call("b", "b"));
    let refused = engine.submit(decode_call("c", "c"));
    assert_eq!(engine.error(refused).as_deref(), Some("full"));
    assert_eq!(engine.core.counters().peak_places, 2);
    assert!(!engine.core.counters().decode_runs.contains_key("c"));
}

#[test]
fn a_place_is_free_after_the_last_token() {
    let mut engine = engine_with(found(0.0));
    let first = engine.submit(decode_call("a", "a"));
    engine.advance(ms(41));
    assert_eq!(engine.end(first), Some(RunEnd::Finished));
    assert_eq!(engine.tokens(first), 4);
    assert_eq!(engine.core.counters().places_used, 0);
}

#[test]
fn each_further_stream_slows_the_batch_down() {
    let mut engine = engine_with(found(0.0));
    let long = |id: &str| EngineCall {
        max_tokens: 1000,
        ..decode_call(id, id)
    };
    let first = engine.submit(long("a"));
    engine.advance(ms(101));
    let alone = engine.tokens(first);
    engine.submit(long("b"));
    engine.advance(ms(150));
    let together = engine.tokens(first) - alone;
    assert_eq!(alone, 10);
    assert_eq!(together, 10);
}

#[test]
fn transfers_share_the_link() {
    let mut engine = engine_with(found(100.0));
    let first = engine.submit(decode_call("a", "a"));
    engine.advance(ms(50));
    engine.submit(decode_call("b", "b"));
    engine.advance(ms(99));
    assert_eq!(engine.states()[0].1, StreamState::Transferring);
    engine.advance(ms(2));
    assert_eq!(engine.states()[0].1, StreamState::Decoding);
    assert_eq!(engine.states()[1].1, StreamState::Transferring);
    assert_eq!(engine.tokens(first), 0);
    engine.advance(ms(50));
    assert_eq!(engine.core.counters().transfers, 2);
    assert_eq!(engine.released, [true, true]);
}

#[test]
fn a_kv_cache_that_is_gone_frees_the_place() {
    let cases = [
        (KvAnswer::Evicted, "evicted"),
        (KvAnswer::Mismatch, "bad_request"),
        (KvAnswer::Unreachable, "kv_unreachable"),
    ];
    for (answer, error) in cases {
        let mut engine = engine_with(answer);
        let run = engine.submit(decode_call("a", "a"));
        assert_eq!(engine.error(run).as_deref(), Some(error));
        assert_eq!(engine.core.counters().places_used, 0);
        assert!(engine.core.counters().decode_runs.is_empty());
    }
}

#[test]
fn a_cancel_frees_a_transferring_and_a_decoding_run() {
    let mut engine = engine_with(found(100.0));
    let first = engine.submit(decode_call("a", "a"));
    engine.advance(ms(101));
    let second = engine.submit(decode_call("b", "b"));
    let states: Vec<_> = engine
        .states()
        .into_iter()
        .map(|(_, state)| state)
        .collect();
    assert_eq!(states, [StreamState::Decoding, StreamState::Transferring]);
    engine.event(EngineEvent::Cancel(first));
    engine.event(EngineEvent::Cancel(second));
    assert_eq!(engine.end(first), Some(RunEnd::Cancelled));
    assert_eq!(engine.end(second), Some(RunEnd::Cancelled));
    assert_eq!(engine.released, [true, false]);
    assert_eq!(engine.core.counters().places_used, 0);
    engine.advance(ms(1000));
    assert_eq!(engine.core.counters().transfers, 1);
}

#[test]
fn a_stalled_transfer_ends_when_the_fault_does() {
    let mut engine = engine_with(found(100.0));
    engine.event(EngineEvent::Faults(EngineFaults {
        stall_transfers: true,
        ..EngineFaults::default()
    }));
    let run = engine.submit(decode_call("a", "a"));
    engine.advance(ms(5000));
    assert_eq!(engine.states()[0].1, StreamState::Transferring);
    engine.event(EngineEvent::Faults(EngineFaults::default()));
    engine.advance(ms(41));
    assert_eq!(engine.end(run), Some(RunEnd::Finished));
}

#[test]
fn a_batch_that_stalls_keeps_its_places_and_goes_on_later() {
    let mut engine = engine_with(found(0.0));
    let run = engine.submit(decode_call("a", "a"));
    engine.advance(ms(21));
    engine.event(EngineEvent::Faults(EngineFaults {
        stall_decoding: true,
        ..EngineFaults::default()
    }));
    engine.advance(ms(5000));
    assert_eq!(engine.tokens(run), 3);
    assert_eq!(engine.core.counters().places_used, 1);
    engine.event(EngineEvent::Faults(EngineFaults::default()));
    engine.advance(ms(11));
    assert_eq!(engine.end(run), Some(RunEnd::Finished));
}

#[test]
fn a_stream_without_a_connection_runs_on_and_its_hold_is_measured() {
    let mut engine = engine_with(found(0.0));
    let run = engine.submit(decode_call("a", "a"));
    engine.advance(ms(11));
    engine.event(EngineEvent::Disconnected(run));
    assert_eq!(engine.core.counters().places_without_connection, 1);
    engine.advance(ms(100));
    assert_eq!(engine.end(run), Some(RunEnd::Finished));
    let hold = engine.core.counters().longest_hold_after_disconnect;
    assert!(hold > ms(28) && hold <= ms(30), "{hold:?}");
}

#[test]
fn a_grace_ends_a_stream_unless_it_is_resumed() {
    let mut engine = VirtualEngine::new(EngineSettings {
        disconnect_grace: Some(ms(15)),
        ..decode_settings()
    });
    engine.answer = found(0.0);
    let lost = engine.submit(decode_call("lost", "a"));
    let resumed = engine.submit(decode_call("resumed", "b"));
    engine.event(EngineEvent::Disconnected(lost));
    engine.event(EngineEvent::Disconnected(resumed));
    engine.advance(ms(10));
    engine.event(EngineEvent::Reconnected(resumed));
    engine.advance(ms(100));
    assert_eq!(engine.end(lost), Some(RunEnd::Cancelled));
    assert_eq!(engine.end(resumed), Some(RunEnd::Finished));
}

#[test]
fn a_finished_stream_can_be_resumed_for_a_while() {
    let mut engine = engine_with(found(0.0));
    let run = engine.submit(decode_call("a", "a"));
    engine.advance(ms(41));
    assert_eq!(engine.core.find_run("a"), Some(run));
    assert!(!engine.core.holds_resources(run));
    engine.advance(ms(2000));
    assert_eq!(engine.core.find_run("a"), None);
}

#[test]
fn a_call_without_a_kv_cache_holds_its_place_while_it_reads() {
    let mut engine = engine_with(KvAnswer::Evicted);
    let call = EngineCall {
        import: None,
        ..decode_call("a", &"x".repeat(400))
    };
    let run = engine.submit(call);
    engine.advance(ms(50));
    assert_eq!(engine.states()[0].1, StreamState::Prefilling);
    assert_eq!(engine.core.counters().places_used, 1);
    engine.advance(ms(91));
    assert_eq!(engine.end(run), Some(RunEnd::Finished));
}

#[test]
fn lengths_spread_below_the_limit_and_depend_on_the_prompt_alone() {
    let spread = LengthSpread { least_share: 0.25 };
    let mut lengths = Vec::new();
    for number in 0..200 {
        let prompt = format!("prompt {number}");
        let length = expected_length(&prompt, 100, spread);
        assert_eq!(length, expected_length(&prompt, 100, spread));
        lengths.push(length);
    }
    let least = *lengths.iter().min().unwrap();
    let most = *lengths.iter().max().unwrap();
    assert!((25..35).contains(&least), "{least}");
    assert!((90..=100).contains(&most), "{most}");
    assert_eq!(expected_length("a", 100, LengthSpread::default()), 100);
}
