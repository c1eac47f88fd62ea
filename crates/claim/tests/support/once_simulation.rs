//! Simulates three entry instances, a network and the platform's rows in virtual time.

use {
    super::{
        flaky_rows::{CallFault, FlakyRows},
        once_oracle::OnceOracle,
        once_step::OnceStep,
    },
    claim::{
        ClaimEvent, ClaimWatch, ClockReading, ClosedTable, ForwardRoute, ForwardTable, HandOver,
        HandOverReply, IncarnationKey, KeyedClaim, NotRunEvidence, OriginReply, RequestOutcome,
        RunPermit, RunTicket, SentRequest, Ticket, TicketSettings, TicketTable, UnsentRequest,
        claim_key::{CLAIM_PREFIX, EPOCH_KEY},
        claim_sweep::due_removals,
    },
    kernel::ResultCode,
    plat::{StoredRow, Transaction},
    std::{
        mem,
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

const INSTANCES: usize = 3;
const RATES: [u64; INSTANCES] = [996_000, 1_000_000, 1_004_000];
/// The second wall clock is far ahead, so that every claim looks expired by it.
const WALL_STARTS_MS: [u64; INSTANCES] = [0, 9_000, 500];
const MILLION: u64 = 1_000_000;
pub(super) const TICKET_LIFE: Duration = Duration::from_millis(1000);
const RETENTION: Duration = Duration::from_millis(1000);
const KEY_LIFE_MS: u64 = 990;
pub(super) const DIGEST: u64 = 5;
const FINISH_STEPS: usize = 4;
/// A pick for which a permit is dispatched.
const DISPATCH_PICK: u8 = 2;

pub(super) type Answer = Vec<u8>;

pub(super) enum SlotState {
    Closed(ClosedTable<Answer>),
    Open(TicketTable<Answer>),
}

pub(super) struct Slot {
    pub(super) forward: ForwardTable,
    pub(super) life: IncarnationKey,
    pub(super) state: SlotState,
    pub(super) sweep_watch: ClaimWatch,
    pub(super) wall_ms: u64,
    pub(super) watch: ClaimWatch,
}

/// A claim and the permit of its own ticket.
pub(super) type OwnClaim = (KeyedClaim, RunPermit);

pub(super) enum Phase {
    Claiming(OwnClaim, UnsentRequest<()>, ClaimEvent),
    Done,
    Forwarded(SentRequest, Option<OwnClaim>),
    Permitted(RunPermit, UnsentRequest<()>),
    Running(RunTicket, SentRequest),
}

/// One request at one instance; a forwarded submission has one request at each instance.
pub(super) struct Request {
    pub(super) at: usize,
    pub(super) by_ticket: bool,
    pub(super) key: Option<usize>,
    pub(super) life: IncarnationKey,
    pub(super) phase: Phase,
    pub(super) reply_to: Option<(IncarnationKey, usize)>,
    pub(super) submission: usize,
    pub(super) ticket: Ticket,
}

#[derive(Clone)]
pub(super) enum Message {
    Forward(usize, Ticket),
    HandOver(HandOver<Answer>),
    HandOverReply(IncarnationKey, HandOverReply),
    Reply(usize, OriginReply<Answer>),
}

pub(crate) struct OnceSimulation {
    pub(super) base: Instant,
    pub(super) hand_overs: Vec<(IncarnationKey, IncarnationKey)>,
    pub(super) late: Vec<Transaction>,
    pub(super) incarnations: u64,
    pub(super) network: Vec<(IncarnationKey, Message)>,
    pub(super) now_ms: u64,
    pub(crate) oracle: OnceOracle,
    pub(super) platform: FlakyRows,
    pub(super) requests: Vec<Request>,
    pub(super) slots: Vec<Slot>,
    pub(super) submissions: usize,
    pub(super) tickets: Vec<Ticket>,
}

pub(super) fn open_table(slot: &mut Slot) -> Option<&mut TicketTable<Answer>> {
    match &mut slot.state {
        SlotState::Closed(_) => None,
        SlotState::Open(table) => Some(table),
    }
}

impl OnceSimulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            base: Instant::now(),
            hand_overs: Vec::new(),
            late: Vec::new(),
            incarnations: 0,
            network: Vec::new(),
            now_ms: 0,
            oracle: OnceOracle {
                key_life_ms: KEY_LIFE_MS,
                ..OnceOracle::default()
            },
            platform: FlakyRows::with(&[]),
            requests: Vec::new(),
            slots: Vec::new(),
            submissions: 0,
            tickets: Vec::new(),
        };
        for at in 0..INSTANCES {
            let slot = simulation.start(at);
            simulation.slots.push(slot);
        }
        simulation
    }

    pub(crate) fn apply(&mut self, step: OnceStep) {
        match step {
            OnceStep::Advance(ms) => self.now_ms += ms,
            OnceStep::Crash(at) => self.slots[at] = self.start(at),
            OnceStep::Deliver { copy, message } => self.deliver(message, copy),
            OnceStep::DropMessage(message) => {
                if message < self.network.len() {
                    self.network.remove(message);
                }
            }
            OnceStep::Finish(request) => {
                for _ in 0..FINISH_STEPS {
                    self.progress(request, DISPATCH_PICK, CallFault::None, false);
                }
            }
            OnceStep::HandOver { from, to } => self.hand_over(from, to),
            OnceStep::ApplyLateWrite(index) => {
                if index < self.late.len() {
                    self.platform.apply(&self.late.remove(index));
                }
            }
            OnceStep::LearnSuccessor { at, hand_over } => {
                let now = self.clock(at).now;
                if let Some((life, successor)) = self.hand_overs.get(hand_over).cloned() {
                    self.slots[at].forward.add_successor(now, life, successor);
                }
            }
            OnceStep::Mint(at) => {
                let now = self.clock(at).now;
                if let Some(table) = open_table(&mut self.slots[at]) {
                    self.tickets.push(table.mint(now, TICKET_LIFE).unwrap());
                }
            }
            OnceStep::Progress {
                fault,
                late,
                pick,
                request,
            } => self.progress(request, pick, fault, late),
            OnceStep::SubmitKey { at, key } => self.submit_key(at, key),
            OnceStep::SubmitTicket { at, ticket } => {
                // Tickets are counted from the newest.
                let index = self.tickets.len().checked_sub(ticket + 1);
                if let Some(ticket) = index.map(|index| self.tickets[index].clone()) {
                    let mut request = self.request(at, ticket);
                    request.by_ticket = true;
                    self.submit(request);
                }
            }
            OnceStep::Sweep { at, late } => self.sweep(at, late),
            OnceStep::WallJump { at, ms } => self.slots[at].wall_ms = ms,
        }
    }

    /// Completes a request with its answer.
    pub(super) fn answer(&mut self, index: usize, reply: OriginReply<Answer>) {
        let request = &mut self.requests[index];
        request.phase = Phase::Done;
        if let Some((to, index)) = request.reply_to.clone() {
            self.network.push((to, Message::Reply(index, reply)));
            return;
        }
        match reply {
            OriginReply::Answered(_) => self.oracle.replayed += 1,
            OriginReply::NotRun(_) => {
                let ticket = request.by_ticket.then(|| request.ticket.clone());
                self.oracle.denied.push((request.submission, ticket));
            }
            OriginReply::Unknown(_) | OriginReply::Used => {}
        }
    }

    pub(super) fn clock(&self, at: usize) -> ClockReading {
        let passed = Duration::from_micros(self.now_ms * 1000 * RATES[at] / MILLION);
        let wall_ms = self.slots.get(at).map_or(0, |slot| slot.wall_ms);
        ClockReading {
            now: self.base + passed,
            wall: UNIX_EPOCH + Duration::from_millis(wall_ms) + passed,
        }
    }

    fn deliver(&mut self, message: usize, copy: bool) {
        let Some((to, message)) = self.network.get(message).cloned().inspect(|_| {
            if !copy {
                self.network.remove(message);
            }
        }) else {
            return;
        };
        let Some(at) = self.slots.iter().position(|slot| slot.life == to) else {
            return;
        };
        let now = self.clock(at).now;
        match message {
            Message::Forward(index, ticket) => {
                let origin = &self.requests[index];
                let request = Request {
                    by_ticket: false,
                    at,
                    key: origin.key,
                    life: to,
                    phase: Phase::Done,
                    reply_to: Some((origin.life.clone(), index)),
                    submission: origin.submission,
                    ticket,
                };
                self.submit(request);
            }
            Message::HandOver(message) => {
                let from = message.from.clone();
                let reply = match &mut self.slots[at].state {
                    SlotState::Closed(closed) => closed.accept_hand_over(&message),
                    SlotState::Open(table) => table.accept_hand_over(now, message),
                };
                let reply = Message::HandOverReply(to, reply);
                self.network.push((from, reply));
            }
            Message::HandOverReply(from, reply) => {
                if let SlotState::Closed(closed) = &mut self.slots[at].state {
                    closed.on_reply(&from, reply);
                }
            }
            Message::Reply(index, reply) => self.on_reply(index, reply),
        }
    }

    pub(super) fn forward(&mut self, index: usize, to: IncarnationKey, ticket: Ticket) {
        self.network.push((to, Message::Forward(index, ticket)));
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        let now = self.clock(from).now;
        let successor = self.slots[to].life.clone();
        if from == to || open_table(&mut self.slots[from]).is_none() {
            return;
        }
        // A placeholder table, since `hand_over` consumes the real one.
        let placeholder = self.start(from).state;
        let SlotState::Open(table) = mem::replace(&mut self.slots[from].state, placeholder) else {
            return;
        };
        let (message, closed) = table.hand_over(now, successor.clone());
        for life in &message.lives {
            let known = (life.life.clone(), successor.clone());
            self.hand_overs.push(known);
        }
        self.slots[from].state = SlotState::Closed(closed);
        self.network.push((successor, Message::HandOver(message)));
    }

    fn on_reply(&mut self, index: usize, reply: OriginReply<Answer>) {
        let phase = mem::replace(&mut self.requests[index].phase, Phase::Done);
        let Phase::Forwarded(sent, claim) = phase else {
            self.requests[index].phase = phase;
            return;
        };
        let Some((claim, permit)) = claim else {
            let outcome: RequestOutcome<Answer> = sent.relay(reply);
            return self.answer(index, outcome.into());
        };
        if let Some(evidence) = NotRunEvidence::from_origin(&reply) {
            let unsent = sent.into_unsent(evidence, ());
            let event = ClaimEvent::OriginRefused;
            self.requests[index].phase = Phase::Claiming((claim, permit), unsent, event);
            return;
        }
        let at = self.requests[index].at;
        if let Some(table) = open_table(&mut self.slots[at]) {
            table.mark_refused(permit, ResultCode::KeyTaken);
        }
        let outcome: RequestOutcome<Answer> = sent.relay(reply);
        self.answer(index, outcome.into());
    }

    pub(super) fn route(&self, at: usize, life: &IncarnationKey) -> Option<IncarnationKey> {
        let is_live = |life: &IncarnationKey| self.slots.iter().any(|slot| slot.life == *life);
        let slot = &self.slots[at];
        let route = match &slot.state {
            SlotState::Closed(closed) if closed.holds(life) => {
                return Some(closed.successor().clone());
            }
            SlotState::Closed(_) => slot.forward.route(life, |_| false, is_live),
            SlotState::Open(table) => slot.forward.route(life, |life| table.holds(life), is_live),
        };
        match route {
            ForwardRoute::Gone => None,
            ForwardRoute::Local => Some(slot.life.clone()),
            ForwardRoute::Remote(life) => Some(life),
        }
    }

    fn start(&mut self, at: usize) -> Slot {
        self.incarnations += 1;
        let life = IncarnationKey {
            incarnation: self.incarnations,
            instance: format!("entry-{at}").into(),
        };
        let settings = TicketSettings::builder().secret(3).retention(RETENTION);
        let now = self.clock(at).now;
        let table = TicketTable::new(now, life.clone(), "zone".into(), settings.build()).unwrap();
        Slot {
            forward: ForwardTable::new(RETENTION),
            life,
            state: SlotState::Open(table),
            sweep_watch: ClaimWatch::new(8),
            wall_ms: WALL_STARTS_MS[at],
            watch: ClaimWatch::new(8),
        }
    }

    pub(super) fn request(&mut self, at: usize, ticket: Ticket) -> Request {
        self.submissions += 1;
        Request {
            at,
            by_ticket: false,
            key: None,
            life: self.slots[at].life.clone(),
            phase: Phase::Done,
            reply_to: None,
            submission: self.submissions,
            ticket,
        }
    }

    fn sweep(&mut self, at: usize, late: bool) {
        let clock = self.clock(at);
        let epoch = self.platform.row(EPOCH_KEY).map_or(0, |row| row.version);
        let rows: Vec<StoredRow> = self.platform.rows_under(CLAIM_PREFIX);
        let watch = &mut self.slots[at].sweep_watch;
        let Some(removals) = due_removals(clock, watch, epoch, &rows) else {
            return;
        };
        match late {
            true => self.late.push(removals),
            false => {
                self.platform.apply(&removals);
            }
        }
    }
}
