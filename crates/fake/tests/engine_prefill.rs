//! Tests of an engine's prefill queue, prefix cache and evictions in virtual time.

#[path = "support/virtual_engine.rs"]
mod virtual_engine;

use {
    engine::wire::{EngineOrder, OrderKind, StreamState, engine_role::EngineRole},
    fake::{
        EngineFaults, EngineSettings, block_hashes,
        model::{EngineCall, EngineEvent, RunEnd, core_prefill::ExportError},
    },
    std::{sync::Arc, time::Duration},
    virtual_engine::{VirtualEngine, prefill_call, prefill_settings, prompt_of},
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn handle(engine: &VirtualEngine, run: u64) -> u64 {
    match engine.end(run) {
        Some(RunEnd::Exported(handle)) => handle,
        other => panic!("run {run} is not exported: {other:?}"),
    }
}

fn digest(prompt: &str) -> String {
    fake::expected_answer::prompt_digest(prompt)
}

#[test]
fn prompts_are_read_one_after_the_other_at_the_rate() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let first = engine.submit(prefill_call("a", &prompt_of("a", 100)));
    let second = engine.submit(prefill_call("b", &prompt_of("b", 50)));
    engine.advance(ms(99));
    assert_eq!(engine.end(first), None);
    engine.advance(ms(2));
    handle(&engine, first);
    assert_eq!(engine.end(second), None);
    engine.advance(ms(50));
    handle(&engine, second);
    assert_eq!(engine.core.counters().prompt_tokens_read, 150);
}

#[test]
fn several_readers_share_the_rate() {
    let settings = EngineSettings {
        readers: 2,
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    let first = engine.submit(prefill_call("a", &prompt_of("a", 100)));
    let second = engine.submit(prefill_call("b", &prompt_of("b", 50)));
    engine.advance(ms(99));
    assert_eq!(engine.end(second), None);
    engine.advance(ms(2));
    handle(&engine, second);
    assert_eq!(engine.end(first), None);
    engine.advance(ms(50));
    handle(&engine, first);
}

#[test]
fn the_queue_goes_by_priority_and_then_by_age() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let calls = [("first", 5), ("late", 5), ("urgent", -1), ("later", 5)];
    let mut runs = Vec::new();
    for (id, priority) in calls {
        let call = EngineCall {
            priority,
            ..prefill_call(id, &prompt_of(id, 100))
        };
        runs.push(engine.submit(call));
    }
    for expected in [0, 2, 1, 3] {
        engine.advance(ms(101));
        handle(&engine, runs[expected]);
    }
}

#[test]
fn a_full_queue_refuses() {
    let settings = EngineSettings {
        queue_limit: 1,
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    engine.submit(prefill_call("a", &prompt_of("a", 100)));
    let waiting = engine.submit(prefill_call("b", &prompt_of("b", 100)));
    let refused = engine.submit(prefill_call("c", &prompt_of("c", 100)));
    assert_eq!(engine.error(refused).as_deref(), Some("full"));
    engine.event(EngineEvent::Cancel(waiting));
    let taken = engine.submit(prefill_call("d", &prompt_of("d", 100)));
    assert_eq!(engine.error(taken), None);
}

#[test]
fn cached_blocks_are_not_read_again() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let history = prompt_of("h", 128);
    engine.submit(prefill_call("a", &history));
    engine.advance(ms(129));
    let longer = format!("{history}{}", prompt_of("q", 10));
    let run = engine.submit(prefill_call("b", &longer));
    engine.advance(ms(11));
    handle(&engine, run);
    assert_eq!(engine.core.counters().prompt_tokens_read, 138);
}

#[test]
fn the_least_recently_used_blocks_go_first_and_tails_before_heads() {
    let settings = EngineSettings {
        cache_blocks: 3,
        cache_event_delay: Duration::ZERO,
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    let old = prompt_of("a", 128);
    engine.submit(prefill_call("a", &old));
    engine.advance(ms(129));
    let before = engine.core.cache_events(engine.now(), 0);
    assert_eq!(before.stored, block_hashes(&old));
    engine.submit(prefill_call("b", &prompt_of("b", 128)));
    engine.advance(ms(129));
    let after = engine.core.cache_events(engine.now(), before.next);
    assert_eq!(after.evicted, block_hashes(&old)[1..]);
}

#[test]
fn cache_events_show_late_and_with_gaps() {
    let settings = EngineSettings {
        cache_event_delay: ms(500),
        cache_gap_probability: 0.5,
        seed: 7,
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    engine.submit(prefill_call("a", &prompt_of("a", 64 * 100)));
    engine.advance(ms(6401));
    assert!(engine.core.cache_events(engine.now(), 0).stored.is_empty());
    engine.advance(ms(500));
    let shown = engine.core.cache_events(engine.now(), 0).stored.len();
    assert!(shown > 0 && shown < 100, "{shown}");
}

#[test]
fn an_export_is_evicted_unless_it_is_claimed() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let lost = prompt_of("a", 100);
    let kept = prompt_of("b", 100);
    let first = engine.submit(prefill_call("a", &lost));
    let second = engine.submit(prefill_call("b", &kept));
    engine.advance(ms(201));
    let kept_handle = handle(&engine, second);
    let record = engine.core.find_export(kept_handle, &digest(&kept));
    assert_eq!(record.unwrap().tokens, 100);
    engine.event(EngineEvent::KvClaimed(kept_handle));
    engine.advance(ms(1000));
    let gone = engine
        .core
        .find_export(handle(&engine, first), &digest(&lost));
    assert_eq!(gone, Err(ExportError::Evicted));
    assert!(engine.core.find_export(kept_handle, &digest(&kept)).is_ok());
    engine.event(EngineEvent::KvReleased {
        handle: kept_handle,
        used: true,
    });
    assert!(engine.core.streams().is_empty());
    assert_eq!(engine.core.counters().evicted, 1);
    assert_eq!(engine.core.counters().prompt_tokens_wasted, 100);
}

#[test]
fn an_export_outlives_the_connection_of_its_call() {
    let settings = EngineSettings {
        keep_on_disconnect: false,
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    let prompt = prompt_of("a", 100);
    let run = engine.submit(prefill_call("a", &prompt));
    engine.advance(ms(101));
    engine.event(EngineEvent::Disconnected(run));
    let export = engine
        .core
        .find_export(handle(&engine, run), &digest(&prompt));
    assert!(export.is_ok());
}

#[test]
fn a_cancel_frees_a_waiting_a_reading_and_an_exported_run() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let exported = engine.submit(prefill_call("exported", &prompt_of("a", 100)));
    let reading = engine.submit(prefill_call("reading", &prompt_of("b", 100)));
    let waiting = engine.submit(prefill_call("waiting", &prompt_of("c", 100)));
    engine.advance(ms(141));
    let states: Vec<_> = engine
        .states()
        .into_iter()
        .map(|(_, state)| state)
        .collect();
    let expected = [
        StreamState::Exported,
        StreamState::Prefilling,
        StreamState::Waiting,
    ];
    assert_eq!(states, expected);
    for run in [waiting, reading, exported] {
        engine.event(EngineEvent::Cancel(run));
    }
    assert!(engine.states().is_empty());
    assert_eq!(engine.end(waiting), Some(RunEnd::Cancelled));
    assert_eq!(engine.end(reading), Some(RunEnd::Cancelled));
    let counters = engine.core.counters();
    assert_eq!(counters.prompt_tokens_read, 141);
    assert_eq!(counters.prompt_tokens_wasted, 141);
    assert_eq!(counters.cancelled, 3);
}

#[test]
fn a_held_request_id_is_refused_and_a_free_one_is_taken_again() {
    let mut engine = VirtualEngine::new(prefill_settings());
    let prompt = prompt_of("a", 100);
    let run = engine.submit(prefill_call("a", &prompt));
    let second = engine.submit(prefill_call("a", &prompt));
    assert_eq!(engine.error(second).as_deref(), Some("duplicate"));
    engine.event(EngineEvent::Cancel(run));
    let third = engine.submit(prefill_call("a", &prompt));
    assert_eq!(engine.error(third), None);
}

#[test]
fn the_load_report_lags() {
    let settings = EngineSettings {
        load_lag: ms(250),
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    engine.advance(ms(1000));
    engine.submit(prefill_call("a", &prompt_of("a", 1000)));
    engine.event(EngineEvent::Faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    }));
    engine.advance(ms(249));
    let early = engine.core.load(engine.now());
    assert_eq!((early.prefill_tokens, early.leaving), (0, false));
    engine.advance(ms(1));
    let late = engine.core.load(engine.now());
    assert_eq!((late.prefill_tokens, late.leaving), (1000, true));
}

#[test]
fn an_engine_that_ignores_fencing_numbers_carries_old_orders_out() {
    for checks_fence in [false, true] {
        let settings = EngineSettings {
            checks_fence,
            load_lag: Duration::ZERO,
            ..prefill_settings()
        };
        let mut engine = VirtualEngine::new(settings);
        let load = EngineOrder {
            fence: 9,
            kind: OrderKind::LoadModel {
                model: Arc::from("carta"),
            },
        };
        assert!(engine.core.check_order(engine.now(), &load).is_ok());
        let change = EngineOrder {
            fence: 8,
            kind: OrderKind::ChangeRole {
                role: EngineRole::Decode,
            },
        };
        let checked = engine.core.check_order(engine.now(), &change);
        assert_eq!(checked.is_ok(), !checks_fence);
    }
}

#[test]
fn a_change_of_role_takes_its_time_and_refuses_meanwhile() {
    let settings = EngineSettings {
        load_lag: Duration::ZERO,
        role_change: ms(100),
        ..prefill_settings()
    };
    let mut engine = VirtualEngine::new(settings);
    let running = engine.submit(prefill_call("running", &prompt_of("a", 50)));
    engine.event(EngineEvent::Order(EngineOrder {
        fence: 1,
        kind: OrderKind::ChangeRole {
            role: EngineRole::Decode,
        },
    }));
    let refused = engine.submit(prefill_call("refused", &prompt_of("b", 50)));
    assert_eq!(engine.error(refused).as_deref(), Some("wrong_role"));
    engine.advance(ms(101));
    handle(&engine, running);
    assert_eq!(engine.core.load(engine.now()).role, EngineRole::Decode);
}
