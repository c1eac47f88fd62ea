//! Simulates three processes, one lease row and two engines in virtual time.

use {
    kernel::UpstreamId,
    lease::{
        GateVerdict, LeaseAction, LeaseCore, LeaseEvent, LeaseRecord, LeaseSettings, OrderGate,
    },
    plat::{StoredRow, Transaction, TransactionReply},
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const LIFE_MS: u64 = 1000;
const ORDER_MS: u64 = 2500;
const MILLION: u64 = 1_000_000;
const STEPS_PER_TICK: usize = 3;
/// Each process's clock: where it starts, milliseconds, and its rate.
const CLOCKS: [(u64, u64); 3] = [(0, 991_000), (90_000, 1_000_000), (7, 1_009_000)];

/// The fate of one call to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallFate {
    Done,
    Late,
    LostCall,
    LostReply,
}

#[derive(Clone, Debug)]
pub(crate) enum LeaseStep {
    /// Time passes; processes between two steps are suspended meanwhile.
    Advance(u64),
    /// The process ticks until it waits, and every call is answered.
    TickUntilIdle(usize),
    Crash(usize),
    /// A late write takes effect.
    ApplyLateWrite(usize),
    Order {
        answered: bool,
        checks_fence: bool,
        process: usize,
        duration_ms: u64,
    },
    Release(usize),
    /// The process handles its pending reply, or ticks, and makes its next call.
    Step(usize, CallFate),
}

impl LeaseStep {
    pub(crate) fn any() -> impl Strategy<Value = Self> {
        let fate = prop_oneof![
            6 => Just(CallFate::Done),
            1 => Just(CallFate::Late),
            1 => Just(CallFate::LostCall),
            1 => Just(CallFate::LostReply),
        ];
        let rarely = || prop_oneof![2 => Just(false), 1 => Just(true)];
        let duration_ms = prop_oneof![1 => 1..ORDER_MS, 2 => Just(ORDER_MS)];
        let order = (rarely(), rarely(), 0..3_usize, duration_ms);
        // Most faults show close to the ends of leases and orders.
        let delays = [1_u64, 20, 335, 500, 950, 985, 1000, 1012, 1030, 2500];
        let delay = prop_oneof![4 => proptest::sample::select(delays.to_vec()), 1 => 0..1100_u64];
        prop_oneof![
            5 => delay.prop_map(Self::Advance),
            6 => (0..3_usize).prop_map(Self::TickUntilIdle),
            1 => (0..3_usize).prop_map(Self::Crash),
            1 => (0..4_usize).prop_map(Self::ApplyLateWrite),
            5 => order.prop_map(|(answered, checks_fence, process, duration_ms)| Self::Order {
                answered, checks_fence, process, duration_ms,
            }),
            1 => (0..3_usize).prop_map(Self::Release),
            6 => (0..3_usize, fate).prop_map(|(process, fate)| Self::Step(process, fate)),
        ]
    }
}

/// One order that an engine carried out.
#[derive(Debug)]
pub(crate) struct DoneOrder {
    checks_fence: bool,
    ends_ms: u64,
    fence: u64,
    holder: String,
    starts_ms: u64,
}

struct Process {
    core: LeaseCore,
    gate: OrderGate,
    pending: Option<LeaseEvent>,
    holder: String,
}

pub(crate) struct LeaseSimulation {
    base: Instant,
    pub(crate) fault: Option<String>,
    late: Vec<Transaction>,
    incarnations: u64,
    now_ms: u64,
    pub(crate) orders: Vec<DoneOrder>,
    processes: Vec<Process>,
    row: Option<StoredRow>,
}

impl LeaseSimulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            base: Instant::now(),
            fault: None,
            late: Vec::new(),
            incarnations: 0,
            now_ms: 0,
            orders: Vec::new(),
            processes: Vec::new(),
            row: None,
        };
        for _ in CLOCKS {
            let process = simulation.start();
            simulation.processes.push(process);
        }
        simulation
    }

    pub(crate) fn apply(&mut self, step: LeaseStep) {
        match step {
            LeaseStep::Advance(ms) => self.now_ms += ms,
            LeaseStep::TickUntilIdle(process) => {
                for _ in 0..STEPS_PER_TICK {
                    self.apply(LeaseStep::Step(process, CallFate::Done));
                }
            }
            LeaseStep::Crash(process) => self.processes[process] = self.start(),
            LeaseStep::ApplyLateWrite(index) => {
                if index < self.late.len() {
                    let transaction = self.late.swap_remove(index);
                    self.commit(&transaction);
                }
            }
            LeaseStep::Order {
                answered,
                checks_fence,
                process,
                duration_ms,
            } => self.order(process, checks_fence, answered, duration_ms),
            LeaseStep::Release(process) => {
                let now = self.clock(process);
                if self.processes[process].gate.is_idle(now) {
                    self.handle_event(process, LeaseEvent::Release, CallFate::Done);
                }
            }
            LeaseStep::Step(process, fate) => {
                let pending = self.processes[process].pending.take();
                self.handle_event(process, pending.unwrap_or(LeaseEvent::Tick), fate);
            }
        }
        self.check_holders();
    }

    fn call(&mut self, action: &LeaseAction) -> Option<LeaseEvent> {
        match action {
            LeaseAction::Commit(transaction) => Some(LeaseEvent::Reply(self.commit(transaction))),
            LeaseAction::Get(_) => Some(LeaseEvent::Read(self.row.clone())),
            LeaseAction::Wait => None,
        }
    }

    fn clock(&self, process: usize) -> Instant {
        let (start_ms, rate) = CLOCKS[process];
        let micros = start_ms * 1000 + self.now_ms * 1000 * rate / MILLION;
        self.base + Duration::from_micros(micros)
    }

    fn commit(&mut self, transaction: &Transaction) -> TransactionReply {
        let version = self.row.as_ref().map_or(0, |row| row.version);
        if transaction.conditions[0].version != version {
            let rows = self.row.iter().cloned().collect();
            return TransactionReply::Conflict { rows };
        }
        let fence = |row: &StoredRow| LeaseRecord::from_value(&row.value).unwrap().fence;
        let write = transaction.writes[0].clone();
        let row = StoredRow {
            key: write.key,
            value: write.value.unwrap(),
            version: version + 1,
        };
        let before = self.row.as_ref().map_or(0, fence);
        if fence(&row) < before {
            self.fault = Some(format!("the fence fell from {before} to {}", fence(&row)));
        }
        self.row = Some(row);
        TransactionReply::Committed
    }

    fn handle_event(&mut self, process: usize, event: LeaseEvent, fate: CallFate) {
        let now = self.clock(process);
        let action = self.processes[process].core.on_event(now, event);
        if action == LeaseAction::Wait {
            return;
        }
        let pending = match fate {
            CallFate::Done => self.call(&action),
            CallFate::Late => {
                if let LeaseAction::Commit(transaction) = action {
                    self.late.push(transaction);
                }
                Some(LeaseEvent::NoAnswer)
            }
            CallFate::LostCall => Some(LeaseEvent::NoAnswer),
            CallFate::LostReply => {
                self.call(&action);
                Some(LeaseEvent::NoAnswer)
            }
        };
        self.processes[process].pending = pending;
    }

    /// Records an order that an engine carried out, and checks it against the earlier ones.
    fn check_order(&mut self, order: DoneOrder) {
        let same_engine = |other: &&DoneOrder| other.checks_fence == order.checks_fence;
        for other in self.orders.iter().filter(same_engine) {
            let overlap = other.starts_ms < order.ends_ms && order.starts_ms < other.ends_ms;
            if overlap && !order.checks_fence {
                self.fault = Some(format!("{other:?} overlaps {order:?}"));
            }
            if other.fence == order.fence && other.holder != order.holder {
                self.fault = Some(format!("{other:?} shares its fence with {order:?}"));
            }
        }
        self.orders.push(order);
    }

    /// Checks that at most one process regards itself as the holder.
    fn check_holders(&mut self) {
        let holds = |at: &usize| self.processes[*at].core.hold(self.clock(*at)).is_some();
        let holders: Vec<usize> = (0..CLOCKS.len()).filter(holds).collect();
        if holders.len() > 1 {
            self.fault = Some(format!("processes {holders:?} hold the lease"));
        }
    }

    fn order(&mut self, process: usize, checks_fence: bool, answered: bool, duration_ms: u64) {
        let now = self.clock(process);
        let engine = UpstreamId::from(if checks_fence { "checks" } else { "ignores" });
        let seen = self
            .orders
            .iter()
            .filter(|order| order.checks_fence)
            .map(|order| order.fence)
            .max();
        let Process {
            core, gate, holder, ..
        } = &mut self.processes[process];
        let hold = core.hold(now);
        let GateVerdict::Send(fence) = gate.decide(now, hold, &engine, checks_fence) else {
            return;
        };
        if checks_fence && seen > Some(fence) {
            gate.on_answer(&engine);
            let _wait = core.on_event(now, LeaseEvent::FenceRefused(seen.unwrap()));
            return;
        }
        // An answered order is complete when its answer arrives, which is immediately in this simulation.
        let duration_ms = if answered { 0 } else { duration_ms };
        if answered {
            gate.on_answer(&engine);
        }
        let order = DoneOrder {
            checks_fence,
            ends_ms: self.now_ms + duration_ms,
            fence,
            holder: holder.clone(),
            starts_ms: self.now_ms,
        };
        self.check_order(order);
    }

    fn start(&mut self) -> Process {
        self.incarnations += 1;
        let holder = format!("life-{}", self.incarnations);
        let longest_order = Duration::from_millis(ORDER_MS);
        let settings = LeaseSettings::builder()
            .holder(holder.clone())
            .key("leases/test")
            .life(Duration::from_millis(LIFE_MS))
            .longest_order(longest_order)
            .renew_after(Duration::from_millis(LIFE_MS / 3))
            .build();
        Process {
            core: LeaseCore::new(settings),
            gate: OrderGate::new(longest_order),
            pending: None,
            holder,
        }
    }
}
