//! Tests of the engine client against the engine's stand-in.

use {
    engine::{
        CallCause, CompletionEngine, ModelEngine, TokenEvent, TokenSource,
        wire::{CompletionCall, EngineOrder, KvTransferParams, OrderKind, engine_role::EngineRole},
    },
    fake::{
        EngineFaults, EngineSettings, StandInEngine, block_hashes, expected_answer::expected_text,
    },
    std::{sync::Arc, time::Duration},
};

/// Longer than any test runs.
const LONG: Duration = Duration::from_secs(3600);

fn client() -> CompletionEngine {
    CompletionEngine::builder()
        .connect(LONG)
        .control(LONG)
        .idle(LONG)
        .prefill(LONG)
        .build()
}

async fn start(role: EngineRole) -> StandInEngine {
    let settings = EngineSettings::builder()
        .cache_event_delay(Duration::ZERO)
        .eviction(LONG)
        .finished_keep(LONG)
        .load_lag(Duration::ZERO)
        .role(role)
        .build();
    StandInEngine::start(settings).await.unwrap()
}

fn prompt() -> String {
    "sounding gap off Ribadeo, line 12. ".repeat(20)
}

fn call(params: Option<KvTransferParams>) -> CompletionCall {
    CompletionCall {
        kv_transfer_params: params,
        max_tokens: Some(6),
        model: Arc::from("redactor"),
        prompt: Arc::from(prompt()),
        stream: true,
        ..CompletionCall::default()
    }
}

fn keep_kv() -> KvTransferParams {
    KvTransferParams {
        do_remote_decode: true,
        ..KvTransferParams::default()
    }
}

async fn read_text<T: TokenSource>(mut tokens: T) -> Result<String, CallCause> {
    let mut answer = String::new();
    loop {
        match tokens.next().await.map_err(|error| error.cause)? {
            TokenEvent::Done { .. } => return Ok(answer),
            TokenEvent::Token { text, .. } => answer.push_str(&text),
        }
    }
}

#[tokio::test]
async fn a_request_goes_through_both_pools() {
    let (prefill_engine, decode_engine) = (
        start(EngineRole::Prefill).await,
        start(EngineRole::Decode).await,
    );
    let client = client();
    let first = call(Some(keep_kv()));
    let reply = client.prefill(prefill_engine.address(), "r1", &first).await;
    let second = call(Some(reply.unwrap().params));
    let tokens = client.decode(decode_engine.address(), "r1", &second).await;
    let text = read_text(tokens.unwrap()).await.unwrap();
    assert_eq!(text, expected_text(&prompt(), 6));
    let events = client
        .cache_events(prefill_engine.address(), 0)
        .await
        .unwrap();
    assert_eq!(events.stored, block_hashes(&prompt()));
    let load = client.load(decode_engine.address()).await.unwrap();
    assert_eq!(load.decode_used, 0);
    assert!(
        client
            .streams(decode_engine.address())
            .await
            .unwrap()
            .is_empty()
    );
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn a_cut_stream_is_lost_and_its_rest_comes_by_resuming() {
    let engine = start(EngineRole::Decode).await;
    engine.set_faults(EngineFaults {
        stop_after_tokens: Some(2),
        ..EngineFaults::default()
    });
    let client = client();
    let tokens = client.decode(engine.address(), "r1", &call(None)).await;
    let cut = read_text(tokens.unwrap()).await;
    assert_eq!(cut, Err(CallCause::Lost));
    engine.set_faults(EngineFaults::default());
    let rest = client.resume(engine.address(), "r1", 2).await.unwrap();
    let rest = read_text(rest).await.unwrap();
    let head = expected_text(&prompt(), 2);
    assert_eq!(head + &rest, expected_text(&prompt(), 6));
    engine.close().await;
}

#[tokio::test]
async fn refusals_are_known_as_not_run() {
    let engine = start(EngineRole::Decode).await;
    let client = client();
    let cases = [
        (
            EngineFaults {
                refuse: true,
                ..EngineFaults::default()
            },
            CallCause::Full,
        ),
        (
            EngineFaults {
                leaving: true,
                ..EngineFaults::default()
            },
            CallCause::Leaving,
        ),
    ];
    for (faults, cause) in cases {
        engine.set_faults(faults);
        let refused = client.decode(engine.address(), "r1", &call(None)).await;
        let error = refused.err().unwrap();
        assert_eq!(error.cause, cause);
        assert!(!error.may_have_run);
    }
    assert!(engine.counters().decode_runs.is_empty());
    engine.close().await;
}

#[tokio::test]
async fn a_lost_answer_may_have_run_and_garbage_too() {
    let engine = start(EngineRole::Decode).await;
    let client = client();
    engine.set_faults(EngineFaults {
        close_after_read: true,
        ..EngineFaults::default()
    });
    let lost = client.decode(engine.address(), "r1", &call(None)).await;
    assert!(lost.err().unwrap().may_have_run);
    engine.set_faults(EngineFaults {
        garbage: true,
        ..EngineFaults::default()
    });
    let tokens = client.decode(engine.address(), "r2", &call(None)).await;
    let garbled = read_text(tokens.unwrap()).await;
    assert_eq!(garbled, Err(CallCause::Garbled));
    engine.close().await;
}

#[tokio::test]
async fn repeated_chunks_are_dropped() {
    let engine = start(EngineRole::Decode).await;
    engine.set_faults(EngineFaults {
        duplicate_chunks: true,
        ..EngineFaults::default()
    });
    let tokens = client().decode(engine.address(), "r1", &call(None)).await;
    let text = read_text(tokens.unwrap()).await.unwrap();
    assert_eq!(text, expected_text(&prompt(), 6));
    engine.close().await;
}

#[tokio::test]
async fn orders_with_an_old_fencing_number_are_refused() {
    let engine = start(EngineRole::Decode).await;
    let client = client();
    let order = |fence| EngineOrder {
        fence,
        kind: OrderKind::ChangeRole {
            role: EngineRole::Decode,
        },
    };
    assert!(client.order(engine.address(), &order(5)).await.is_ok());
    assert!(client.order(engine.address(), &order(4)).await.is_err());
    assert!(client.order(engine.address(), &order(5)).await.is_ok());
    engine.close().await;
}
