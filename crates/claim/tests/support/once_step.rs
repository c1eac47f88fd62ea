//! The steps of the at-most-once simulation.

use {
    super::flaky_rows::CallFault,
    proptest::{collection::vec, prelude::*},
    std::ops::Range,
};

#[derive(Clone, Debug)]
pub(crate) enum OnceStep {
    /// Time passes; requests between two steps are suspended meanwhile.
    Advance(u64),
    /// An instance crashes and restarts with a new incarnation.
    Crash(usize),
    /// A message arrives; `copy` also leaves it in the network.
    Deliver {
        copy: bool,
        message: usize,
    },
    DropMessage(usize),
    /// A request progresses by several steps without a fault, and is dispatched if permitted.
    Finish(usize),
    /// An instance hands its tickets over and starts to close.
    HandOver {
        from: usize,
        to: usize,
    },
    /// A late write takes effect.
    ApplyLateWrite(usize),
    /// An instance learns the successor of a closed incarnation.
    LearnSuccessor {
        at: usize,
        hand_over: usize,
    },
    Mint(usize),
    /// A request progresses by one step.
    Progress {
        fault: CallFault,
        late: bool,
        pick: u8,
        request: usize,
    },
    SubmitKey {
        at: usize,
        key: usize,
    },
    SubmitTicket {
        at: usize,
        ticket: usize,
    },
    Sweep {
        at: usize,
        late: bool,
    },
    /// The wall clock of an instance is set to another time.
    WallJump {
        at: usize,
        ms: u64,
    },
}

impl OnceStep {
    pub(crate) fn any() -> impl Strategy<Value = Self> {
        let at = || 0..3_usize;
        let some = || 0..6_usize;
        let fault = prop_oneof![
            6 => Just(CallFault::None),
            1 => Just(CallFault::LostCall),
            1 => Just(CallFault::LostReply),
        ];
        // Most faults show close to the expiry of tickets and claims and to the end of their retention.
        let pauses = vec![1, 1, 200, 200, 900, 999, 1001, 1100, 2100];
        let late = proptest::bool::weighted(0.1);
        prop_oneof![
            4 => proptest::sample::select(pauses).prop_map(Self::Advance),
            2 => at().prop_map(Self::Crash),
            14 => (some(), proptest::bool::weighted(0.2))
                .prop_map(|(message, copy)| Self::Deliver { copy, message }),
            1 => some().prop_map(Self::DropMessage),
            10 => some().prop_map(Self::Finish),
            2 => (at(), at()).prop_map(|(from, to)| Self::HandOver { from, to }),
            1 => some().prop_map(Self::ApplyLateWrite),
            2 => (at(), some()).prop_map(|(at, hand_over)| Self::LearnSuccessor { at, hand_over }),
            5 => at().prop_map(Self::Mint),
            14 => (some(), fault, late, any::<u8>()).prop_map(|(request, fault, late, pick)| {
                Self::Progress { fault, late, pick, request }
            }),
            6 => (at(), 0..2_usize).prop_map(|(at, key)| Self::SubmitKey { at, key }),
            9 => (at(), some()).prop_map(|(at, ticket)| Self::SubmitTicket { at, ticket }),
            2 => (at(), any::<bool>()).prop_map(|(at, late)| Self::Sweep { at, late }),
            1 => (at(), 0..9_000_u64).prop_map(|(at, ms)| Self::WallJump { at, ms }),
        ]
    }

    /// Steps around one hand-over: few tickets, duplicated messages, submissions at all instances.
    fn around_hand_overs() -> impl Strategy<Value = Self> {
        let at = || 0..3_usize;
        let two = || 0..2_usize;
        prop_oneof![
            1 => proptest::sample::select(vec![1, 900, 1100]).prop_map(Self::Advance),
            1 => at().prop_map(Self::Crash),
            8 => (0..4_usize, proptest::bool::weighted(0.4))
                .prop_map(|(message, copy)| Self::Deliver { copy, message }),
            4 => two().prop_map(Self::Finish),
            2 => (at(), at()).prop_map(|(from, to)| Self::HandOver { from, to }),
            2 => (at(), two()).prop_map(|(at, hand_over)| Self::LearnSuccessor { at, hand_over }),
            1 => at().prop_map(Self::Mint),
            6 => (at(), two()).prop_map(|(at, ticket)| Self::SubmitTicket { at, ticket }),
        ]
    }

    /// Steps around one key: late writes, sweeps and wrong wall clocks.
    fn around_keys() -> impl Strategy<Value = Self> {
        let at = || 0..3_usize;
        let late = || proptest::bool::weighted(0.3);
        prop_oneof![
            3 => proptest::sample::select(vec![1, 500, 1001, 1030]).prop_map(Self::Advance),
            2 => (0..3_usize).prop_map(|message| Self::Deliver { copy: false, message }),
            4 => (0..3_usize).prop_map(Self::Finish),
            2 => (0..2_usize).prop_map(Self::ApplyLateWrite),
            6 => (0..3_usize, late(), 1..4_u8).prop_map(|(request, late, pick)| Self::Progress {
                fault: CallFault::None, late, pick, request,
            }),
            4 => at().prop_map(|at| Self::SubmitKey { at, key: 0 }),
            3 => (at(), late()).prop_map(|(at, late)| Self::Sweep { at, late }),
            1 => (at(), 0..9_000_u64).prop_map(|(at, ms)| Self::WallJump { at, ms }),
        ]
    }

    /// Sequences of all steps, or of the steps around hand-overs or keys only.
    pub(crate) fn sequences(length: Range<usize>) -> impl Strategy<Value = Vec<Self>> {
        prop_oneof![
            vec(Self::any(), length.clone()),
            vec(Self::around_hand_overs(), length.clone()),
            vec(Self::around_keys(), length),
        ]
    }
}
