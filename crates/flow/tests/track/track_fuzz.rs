//! Random failures on both sides. Every request must end once everything works again.

use {
    crate::track_world::{DECODE, OpenRequest, PREFILL, TrackWorld},
    admit::AdmitEvent,
    engine::CallCause,
    flow::{FlowAction, FlowCore, FlowEvent, cell_notice::CellGrant, flow_event::CallFailure},
    kernel::UpstreamId,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    route::UpstreamRole,
};

const CASES: u32 = 300;
const MAX_TOKENS: u32 = 2;
/// More rounds than any request needs for its retries and tokens.
const ROUNDS: usize = 400;
const SECOND_PREFILL: &str = "p2";
const SEED: u64 = 11;

/// One step. Indexes select among the requests.
#[derive(Clone, Debug)]
enum TrackStep {
    /// The session breaks with the messages in flight, and a new one opens.
    Break,
    CallFails(usize, CallCause, bool),
    CallSucceeds(usize),
    CallerGone(usize),
    EngineBack(bool),
    EngineGone(bool),
    /// Grants are lost until the session breaks.
    LoseGrants,
    /// A further prefill engine.
    SecondBack,
    SecondGone,
    Submit(bool),
}

/// The current call of a request's driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OpenCall {
    Decode,
    None,
    Prefill,
    Resume,
    Stream,
}

struct TrackFlow {
    call: OpenCall,
    core: FlowCore,
    is_ended: bool,
    request: OpenRequest,
}

struct FuzzWorld {
    flows: Vec<TrackFlow>,
    /// Whether grants were lost since the session opened.
    is_lossy: bool,
    world: TrackWorld,
}

impl FuzzWorld {
    fn new() -> Self {
        Self {
            flows: Vec::new(),
            is_lossy: false,
            world: TrackWorld::new(),
        }
    }

    fn run(&mut self, step: TrackStep) {
        match step {
            TrackStep::Break => self.reopen(),
            TrackStep::CallFails(at, cause, ran) => self.finish_call(at, Some((cause, ran))),
            TrackStep::CallSucceeds(at) => self.finish_call(at, None),
            TrackStep::CallerGone(at) => self.apply(at, FlowEvent::CallerGone),
            TrackStep::EngineBack(is_decode) => self.engine_up(is_decode),
            TrackStep::EngineGone(is_decode) => self.engine_gone(engine(is_decode).0),
            TrackStep::LoseGrants => {
                self.is_lossy = true;
                self.world.set_broken(true);
            }
            TrackStep::SecondBack => self.world.engine_up(SECOND_PREFILL, UpstreamRole::Prefill),
            TrackStep::SecondGone => self.engine_gone(SECOND_PREFILL),
            TrackStep::Submit(repeat) => self.submit(repeat),
        }
        self.take_grants();
    }

    /// Runs without failures until all requests have ended.
    fn settle(&mut self) {
        if self.is_lossy {
            self.reopen();
        }
        for is_decode in [true, false] {
            self.engine_up(is_decode);
        }
        for _ in 0..ROUNDS {
            self.take_grants();
            for at in 0..self.flows.len() {
                self.finish_call(at, None);
            }
            if self.flows.iter().all(|flow| flow.is_ended) {
                return;
            }
            self.world.finish_transfer();
        }
        let waiting = self.flows.iter().filter(|flow| !flow.is_ended);
        let phases: Vec<_> = waiting.map(|flow| flow.core.phase().clone()).collect();
        panic!("requests have not ended: {phases:?}");
    }

    fn engine_up(&mut self, is_decode: bool) {
        let (name, role) = engine(is_decode);
        self.world.engine_up(name, role);
        self.world.report_load(name);
    }

    fn engine_gone(&mut self, name: &str) {
        let gone: UpstreamId = name.into();
        self.world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    }

    fn reopen(&mut self) {
        self.is_lossy = false;
        self.world.set_broken(false);
        self.world.open_session();
    }

    fn submit(&mut self, repeat: bool) {
        let core = FlowCore::builder()
            .max_tokens(MAX_TOKENS)
            .repeat(repeat)
            .retries(2)
            .stream(false)
            .build();
        let request = self.world.submit();
        self.flows.push(TrackFlow {
            call: OpenCall::None,
            core,
            is_ended: false,
            request,
        });
    }

    /// Ends the call of a request, if it has one.
    fn finish_call(&mut self, at: usize, failure: Option<(CallCause, bool)>) {
        let Some(at) = at.checked_rem(self.flows.len()) else {
            return;
        };
        let failure = failure.map(|(cause, may_have_run)| CallFailure {
            cause,
            may_have_run,
        });
        let flow = &mut self.flows[at];
        let event = match (flow.call, failure) {
            (OpenCall::None, _) => return,
            (OpenCall::Decode | OpenCall::Resume, None) => {
                flow.call = OpenCall::Stream;
                return;
            }
            (OpenCall::Decode | OpenCall::Stream, Some(failure)) => {
                FlowEvent::DecodeFailed(failure)
            }
            (OpenCall::Prefill, None) => FlowEvent::PrefillDone,
            (OpenCall::Prefill, Some(failure)) => FlowEvent::PrefillFailed(failure),
            (OpenCall::Resume, Some(failure)) => FlowEvent::ResumeFailed(failure),
            (OpenCall::Stream, None) if flow.core.tokens() < MAX_TOKENS => FlowEvent::Token,
            (OpenCall::Stream, None) => FlowEvent::StreamDone,
        };
        if event != FlowEvent::Token {
            flow.call = OpenCall::None;
        }
        self.apply(at, event);
    }

    fn take_grants(&mut self) {
        for at in 0..self.flows.len() {
            while self.flows[at].call == OpenCall::None && !self.flows[at].is_ended {
                let Some(grant) = self.flows[at].request.next_grant() else {
                    break;
                };
                let event = match grant {
                    CellGrant::Decode(decode) => FlowEvent::GrantDecode(decode),
                    CellGrant::Prefill(prefill) => FlowEvent::GrantPrefill(prefill),
                    CellGrant::Refuse { code, retry_after } => {
                        FlowEvent::Refused { code, retry_after }
                    }
                    CellGrant::Resync => panic!("Resync is answered by the request table"),
                };
                self.apply(at, event);
            }
        }
    }

    fn apply(&mut self, at: usize, event: FlowEvent) {
        let Some(at) = at.checked_rem(self.flows.len()) else {
            return;
        };
        for action in self.flows[at].core.on_event(event) {
            self.act(at, action);
        }
        self.world.pump();
    }

    fn act(&mut self, at: usize, action: FlowAction) {
        let flow = &mut self.flows[at];
        let hub = &self.world.hub;
        match action {
            FlowAction::Cancel { .. } | FlowAction::Restart => {}
            FlowAction::Decode(_) => flow.call = OpenCall::Decode,
            FlowAction::Fail(_) => {
                hub.forget(&flow.request.key);
                flow.call = OpenCall::None;
                flow.is_ended = true;
            }
            FlowAction::Finish => flow.is_ended = true,
            FlowAction::Notify(notice) => hub.notify(&flow.request.key, notice),
            FlowAction::Prefill(_) => flow.call = OpenCall::Prefill,
            FlowAction::Resume { .. } => flow.call = OpenCall::Resume,
            FlowAction::Submit => hub.resubmit(&flow.request.key),
        }
    }
}

fn engine(is_decode: bool) -> (&'static str, UpstreamRole) {
    match is_decode {
        true => (DECODE, UpstreamRole::Decode),
        false => (PREFILL, UpstreamRole::Prefill),
    }
}

fn any_cause() -> impl Strategy<Value = CallCause> {
    prop_oneof![
        Just(CallCause::Evicted),
        Just(CallCause::Full),
        Just(CallCause::Garbled),
        Just(CallCause::Lost),
        Just(CallCause::Silent),
        Just(CallCause::Unlisted),
    ]
}

fn any_step() -> impl Strategy<Value = TrackStep> {
    let at = 0..16_usize;
    prop_oneof![
        2 => Just(TrackStep::Break),
        6 => (at.clone(), any_cause(), any::<bool>())
            .prop_map(|(at, cause, ran)| TrackStep::CallFails(at, cause, ran)),
        12 => at.clone().prop_map(TrackStep::CallSucceeds),
        1 => at.prop_map(TrackStep::CallerGone),
        3 => any::<bool>().prop_map(TrackStep::EngineBack),
        3 => any::<bool>().prop_map(TrackStep::EngineGone),
        2 => Just(TrackStep::LoseGrants),
        6 => any::<bool>().prop_map(TrackStep::Submit),
    ]
}

/// Like [`any_step`], with a second prefill engine, so that a request may be granted one while it is in a call to the
/// other.
fn any_step_of_two() -> impl Strategy<Value = TrackStep> {
    prop_oneof![
        10 => any_step(),
        2 => Just(TrackStep::SecondBack),
        1 => Just(TrackStep::SecondGone),
    ]
}

fn check_all_end(step: impl Strategy<Value = TrackStep>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&vec(step, 1..60), |steps| {
        let mut world = FuzzWorld::new();
        for step in steps {
            world.run(step);
        }
        world.settle();
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

// Guards against a request that one side dropped while the other waits for it.
#[test]
fn every_request_ends_once_sessions_and_engines_are_well() {
    check_all_end(any_step());
}

// Guards against a notice or an announcement that is taken for one about another engine's grant.
#[test]
fn every_request_ends_with_two_prefill_engines() {
    check_all_end(any_step_of_two());
}
