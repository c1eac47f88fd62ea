//! Checks the invariants of an engine under random calls, cancellations, disconnects and faults.

#[path = "support/virtual_engine.rs"]
mod virtual_engine;

use {
    engine::wire::engine_role::EngineRole,
    fake::{
        EngineFaults, EngineSettings,
        model::{EngineCall, EngineEvent, KvAnswer, RunId},
    },
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest},
        test_runner::RngSeed,
    },
    std::{collections::BTreeSet, time::Duration},
    virtual_engine::{
        VirtualEngine, decode_call, decode_settings, found, prefill_call, prefill_settings,
        prompt_of,
    },
};

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Answer(u8),
    Cancel(u64),
    Disconnect(u64),
    Fault(u8),
    Reconnect(u64),
    Submit {
        id: u8,
        import: bool,
        priority: i32,
        tokens: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..400_u64).prop_map(Step::Advance),
        1 => (0..4_u8).prop_map(Step::Answer),
        2 => (0..30_u64).prop_map(Step::Cancel),
        2 => (0..30_u64).prop_map(Step::Disconnect),
        1 => (0..5_u8).prop_map(Step::Fault),
        1 => (0..30_u64).prop_map(Step::Reconnect),
        6 => (0..8_u8, any::<bool>(), -2..3, 1..300_usize).prop_map(
            |(id, import, priority, tokens)| Step::Submit { id, import, priority, tokens }
        ),
    ]
}

fn fault(number: u8) -> EngineFaults {
    EngineFaults {
        extra_tokens: u32::from(number == 1),
        leaving: number == 2,
        refuse: number == 3,
        stall_transfers: number == 4,
        ..EngineFaults::default()
    }
}

fn answer(number: u8) -> KvAnswer {
    match number {
        0 => KvAnswer::Evicted,
        1 => KvAnswer::Unreachable,
        bytes => found(f64::from(bytes) * 50.0),
    }
}

struct FuzzedEngine {
    engine: VirtualEngine,
    is_prefill: bool,
    runs: Vec<RunId>,
    settings: EngineSettings,
}

impl FuzzedEngine {
    fn new(settings: EngineSettings) -> Self {
        Self {
            engine: VirtualEngine::new(settings.clone()),
            is_prefill: settings.role == EngineRole::Prefill,
            runs: Vec::new(),
            settings,
        }
    }

    fn check(&self) {
        let counters = self.engine.core.counters();
        assert!(counters.places_used <= self.settings.decode_places);
        assert!(counters.places_without_connection <= counters.places_used);
        assert!(counters.prompt_tokens_wasted <= counters.prompt_tokens_read);
        let states = self.engine.states();
        let ids: BTreeSet<_> = states.iter().map(|(id, _)| id).collect();
        assert_eq!(ids.len(), states.len(), "an id is held twice");
        if !self.is_prefill {
            assert_eq!(states.len(), counters.places_used as usize);
        }
    }

    fn close(mut self) {
        let event = EngineEvent::Faults(EngineFaults::default());
        self.engine.event(event);
        self.engine.advance(Duration::from_secs(3600));
        self.check();
        assert!(self.engine.states().is_empty());
        for run in self.runs {
            assert!(self.engine.end(run).is_some(), "run {run} has no end");
        }
        assert_eq!(self.engine.core.next_wake(), None);
    }

    fn submit(&mut self, call: EngineCall) {
        let run = self.engine.submit(call);
        self.runs.push(run);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.engine.advance(Duration::from_millis(millis)),
            Step::Answer(number) => self.engine.answer = answer(number),
            Step::Cancel(run) => self.engine.event(EngineEvent::Cancel(run)),
            Step::Disconnect(run) => self.engine.event(EngineEvent::Disconnected(run)),
            Step::Fault(number) => self.engine.event(EngineEvent::Faults(fault(number))),
            Step::Reconnect(run) => self.engine.event(EngineEvent::Reconnected(run)),
            Step::Submit {
                id,
                import,
                priority,
                tokens,
            } => {
                let prompt = prompt_of(&format!("{}", id % 3), tokens);
                let id = format!("r{id}");
                let call = match self.is_prefill {
                    false => decode_call(&id, &prompt),
                    true => prefill_call(&id, &prompt),
                };
                let import = call.import.clone().filter(|_| import);
                self.submit(EngineCall {
                    import,
                    priority,
                    ..call
                });
            }
        }
    }
}

fn settings() -> impl Strategy<Value = EngineSettings> {
    let base = prop_oneof![Just(prefill_settings()), Just(decode_settings())];
    (base, any::<bool>(), 1..4_usize, 0..8_usize).prop_map(
        |(settings, keep_on_disconnect, readers, cache_blocks)| EngineSettings {
            cache_blocks,
            keep_on_disconnect,
            queue_limit: 4,
            readers,
            ..settings
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_engine_frees_what_it_takes(settings in settings(), steps in vec(step(), 1..80)) {
        let mut engine = FuzzedEngine::new(settings);
        for step in steps {
            engine.apply(step);
            engine.check();
        }
        engine.close();
    }
}
