//! Three entry instances, a network and the platform's rows, in virtual time.

use {
    super::{
        flaky_rows::{CallFault, FlakyRows},
        once_oracle::{DoneRun, OnceOracle},
        once_step::OnceStep,
    },
    claim::{
        ClaimAction, ClaimEvent, ClaimRecord, ClaimWatch, ClockReading, ClosedTable, ForwardCourse,
        ForwardTable, HandOver, HandOverReply, KeyedClaim, LifeKey, OriginReply, PermitDispatch,
        RequestOutcome, RunPermit, RunTicket, Sent, SubmitVerdict, Ticket, TicketSettings,
        TicketTable, UndoneDispatch, Unsent, claim_key,
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
/// The middle clock is far ahead, so that it takes every claim for ended.
const WALL_STARTS_MS: [u64; INSTANCES] = [0, 9_000, 500];
const MILLION: u64 = 1_000_000;
const TICKET_LIFE: Duration = Duration::from_millis(1000);
const RETENTION: Duration = Duration::from_millis(1000);
const KEY_LIFE_MS: u64 = 990;
const DIGEST: u64 = 5;
const FINISH_STEPS: usize = 4;
/// Makes a permit a dispatch.
const DISPATCH_PICK: u8 = 2;

type Answer = Vec<u8>;

enum SlotState {
    Closed(ClosedTable<Answer>),
    Open(TicketTable<Answer>),
}

struct Slot {
    forward: ForwardTable,
    life: LifeKey,
    state: SlotState,
    sweep_watch: ClaimWatch,
    wall_ms: u64,
    watch: ClaimWatch,
}

/// A claim and the permit of its own ticket.
type OwnClaim = (KeyedClaim, RunPermit);

enum Phase {
    Claiming(OwnClaim, Unsent<()>, ClaimEvent),
    Done,
    Forwarded(Sent, Option<OwnClaim>),
    Permitted(RunPermit, Unsent<()>),
    Running(RunTicket, Sent),
}

/// One request at one instance; a forwarded submission is one request at each.
struct Request {
    at: usize,
    by_ticket: bool,
    key: Option<usize>,
    life: LifeKey,
    phase: Phase,
    reply_to: Option<(LifeKey, usize)>,
    submission: usize,
    ticket: Ticket,
}

#[derive(Clone)]
enum Message {
    Forward(usize, Ticket),
    HandOver(HandOver<Answer>),
    HandOverReply(LifeKey, HandOverReply),
    Reply(usize, OriginReply<Answer>),
}

pub(crate) struct OnceWorld {
    base: Instant,
    hand_overs: Vec<(LifeKey, LifeKey)>,
    late: Vec<Transaction>,
    lives: u64,
    network: Vec<(LifeKey, Message)>,
    now_ms: u64,
    pub(crate) oracle: OnceOracle,
    platform: FlakyRows,
    requests: Vec<Request>,
    slots: Vec<Slot>,
    submissions: usize,
    tickets: Vec<Ticket>,
}

fn open_table(slot: &mut Slot) -> Option<&mut TicketTable<Answer>> {
    match &mut slot.state {
        SlotState::Closed(_) => None,
        SlotState::Open(table) => Some(table),
    }
}

impl OnceWorld {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            base: Instant::now(),
            hand_overs: Vec::new(),
            late: Vec::new(),
            lives: 0,
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
            let slot = world.start(at);
            world.slots.push(slot);
        }
        world
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
            OnceStep::Land(index) => {
                if index < self.late.len() {
                    self.platform.apply(&self.late.remove(index));
                }
            }
            OnceStep::Learn { at, hand_over } => {
                let now = self.clock(at).now;
                if let Some((life, successor)) = self.hand_overs.get(hand_over).cloned() {
                    self.slots[at].forward.learn(now, life, successor);
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
                // The youngest tickets are of most interest.
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

    /// Ends a request with its answer.
    fn answer(&mut self, index: usize, reply: OriginReply<Answer>) {
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

    fn clock(&self, at: usize) -> ClockReading {
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

    fn forward(&mut self, index: usize, to: LifeKey, ticket: Ticket) {
        self.network.push((to, Message::Forward(index, ticket)));
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        let now = self.clock(from).now;
        let successor = self.slots[to].life.clone();
        if from == to || open_table(&mut self.slots[from]).is_none() {
            return;
        }
        // A restarted table stands in while the real one is consumed.
        let stand_in = self.start(from).state;
        let SlotState::Open(table) = mem::replace(&mut self.slots[from].state, stand_in) else {
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
        if let Some(evidence) = UndoneDispatch::from_origin(&reply) {
            let unsent = sent.undone(evidence, ());
            let event = ClaimEvent::OriginRefused;
            self.requests[index].phase = Phase::Claiming((claim, permit), unsent, event);
            return;
        }
        let at = self.requests[index].at;
        if let Some(table) = open_table(&mut self.slots[at]) {
            table.seal(permit, ResultCode::KeyTaken);
        }
        let outcome: RequestOutcome<Answer> = sent.relay(reply);
        self.answer(index, outcome.into());
    }

    fn progress(&mut self, from_last: usize, pick: u8, fault: CallFault, late: bool) {
        let Some(index) = self.requests.len().checked_sub(from_last + 1) else {
            return;
        };
        let at = self.requests[index].at;
        if self.slots[at].life != self.requests[index].life {
            return;
        }
        match mem::replace(&mut self.requests[index].phase, Phase::Done) {
            Phase::Claiming(claim, unsent, event) => {
                self.step_claim(index, claim, unsent, event, (fault, late));
            }
            Phase::Done => {}
            Phase::Forwarded(sent, claim) => {
                if pick.is_multiple_of(8) {
                    return self.answer(index, OriginReply::Unknown(ResultCode::OriginGone));
                }
                self.requests[index].phase = Phase::Forwarded(sent, claim);
            }
            Phase::Permitted(permit, unsent) => self.step_permit(index, pick, permit, unsent),
            Phase::Running(run, sent) => {
                let outcome = match &mut self.slots[at].state {
                    SlotState::Closed(closed) => closed.finish(run, sent, b"answer".to_vec()),
                    SlotState::Open(table) => table.finish(run, sent, b"answer".to_vec()),
                };
                self.answer(index, outcome.into());
            }
        }
    }

    fn refuse(&mut self, index: usize, permit: RunPermit, unsent: Unsent<()>, code: ResultCode) {
        let at = self.requests[index].at;
        let answer = match &mut self.slots[at].state {
            SlotState::Closed(closed) => closed.refuse(permit, unsent, code),
            SlotState::Open(table) => table.refuse(permit, unsent, code),
        };
        self.answer(index, OriginReply::NotRun(answer.code()));
    }

    fn route(&self, at: usize, life: &LifeKey) -> Option<LifeKey> {
        let is_live = |life: &LifeKey| self.slots.iter().any(|slot| slot.life == *life);
        let slot = &self.slots[at];
        let course = match &slot.state {
            SlotState::Closed(closed) if closed.holds(life) => {
                return Some(closed.successor().clone());
            }
            SlotState::Closed(_) => slot.forward.route(life, |_| false, is_live),
            SlotState::Open(table) => slot.forward.route(life, |life| table.holds(life), is_live),
        };
        match course {
            ForwardCourse::Gone => None,
            ForwardCourse::Local => Some(slot.life.clone()),
            ForwardCourse::Remote(life) => Some(life),
        }
    }

    fn start(&mut self, at: usize) -> Slot {
        self.lives += 1;
        let life = LifeKey {
            incarnation: self.lives,
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

    fn step_claim(
        &mut self,
        index: usize,
        (mut claim, permit): OwnClaim,
        unsent: Unsent<()>,
        event: ClaimEvent,
        (fault, late): (CallFault, bool),
    ) {
        let at = self.requests[index].at;
        let clock = self.clock(at);
        let action = claim.on_event(clock, &mut self.slots[at].watch, event);
        let event = match action {
            ClaimAction::Commit(transaction) if late => {
                self.late.push(transaction);
                ClaimEvent::NoAnswer
            }
            ClaimAction::Commit(transaction) => {
                let reply = self
                    .platform
                    .call_with(fault, |rows| rows.apply(&transaction));
                reply.map_or(ClaimEvent::NoAnswer, ClaimEvent::Reply)
            }
            ClaimAction::Forward(ticket) => {
                let Some(to) = self.route(at, &ticket.life) else {
                    return self.answer(index, OriginReply::Unknown(ResultCode::OriginGone));
                };
                let ((), sent) = unsent.dispatch();
                self.requests[index].phase = Phase::Forwarded(sent, Some((claim, permit)));
                return self.forward(index, to, ticket);
            }
            ClaimAction::Get(key) => {
                let row = self.platform.call_with(fault, |rows| rows.row(&key));
                row.map_or(ClaimEvent::NoAnswer, ClaimEvent::Read)
            }
            ClaimAction::Refuse(code) => return self.refuse(index, permit, unsent, code),
            ClaimAction::Run => {
                self.requests[index].phase = Phase::Permitted(permit, unsent);
                return;
            }
        };
        self.requests[index].phase = Phase::Claiming((claim, permit), unsent, event);
    }

    fn step_permit(&mut self, index: usize, pick: u8, permit: RunPermit, unsent: Unsent<()>) {
        let at = self.requests[index].at;
        if pick.is_multiple_of(4) {
            return self.refuse(index, permit, unsent, ResultCode::QueueFull);
        }
        let now = self.clock(at).now;
        match permit.dispatch(now, unsent) {
            PermitDispatch::Begun { request, run, sent } if pick % 4 == 1 => {
                let evidence = UndoneDispatch::not_connected();
                let (permit, unsent) = run.undone(sent, evidence, request);
                self.requests[index].phase = Phase::Permitted(permit, unsent);
            }
            PermitDispatch::Begun { run, sent, .. } => {
                let request = &mut self.requests[index];
                request.phase = Phase::Running(run, sent);
                self.oracle.runs.push(DoneRun {
                    at_ms: self.now_ms,
                    key: request.key,
                    submission: request.submission,
                    ticket: request.ticket.clone(),
                });
            }
            PermitDispatch::Late { permit, unsent } => {
                self.refuse(index, permit, unsent, ResultCode::TicketExpired);
            }
        }
    }

    fn request(&mut self, at: usize, ticket: Ticket) -> Request {
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

    fn submit(&mut self, request: Request) {
        let (at, ticket) = (request.at, request.ticket.clone());
        let now = self.clock(at).now;
        self.requests.push(request);
        let index = self.requests.len() - 1;
        let verdict = match &mut self.slots[at].state {
            SlotState::Closed(closed) => closed.submit(&ticket, DIGEST),
            SlotState::Open(table) => table.submit(now, &ticket, DIGEST),
        };
        match verdict {
            SubmitVerdict::Attach => self.answer(index, OriginReply::Used),
            SubmitVerdict::Decided(outcome) => self.answer(index, outcome.into()),
            SubmitVerdict::Elsewhere => match self.route(at, &ticket.life) {
                None => self.answer(index, OriginReply::Unknown(ResultCode::OriginGone)),
                Some(to) => {
                    let ((), sent) = Unsent::from_caller(()).dispatch();
                    self.requests[index].phase = Phase::Forwarded(sent, None);
                    self.forward(index, to, ticket);
                }
            },
            SubmitVerdict::Run(permit) => {
                self.requests[index].phase = Phase::Permitted(permit, Unsent::from_caller(()));
            }
        }
    }

    fn submit_key(&mut self, at: usize, key: usize) {
        let clock = self.clock(at);
        let Some(table) = open_table(&mut self.slots[at]) else {
            return;
        };
        let ticket = table.mint(clock.now, TICKET_LIFE).unwrap();
        let SubmitVerdict::Run(permit) = table.submit(clock.now, &ticket, DIGEST) else {
            panic!("a fresh ticket has no permit");
        };
        let record = ClaimRecord::under_permit(clock, &permit, ticket.clone(), DIGEST);
        let claim = KeyedClaim::new(claim_key(3, "work", "scope", &key.to_string()), record);
        let mut request = self.request(at, ticket);
        request.key = Some(key);
        let unsent = Unsent::from_caller(());
        request.phase = Phase::Claiming((claim, permit), unsent, ClaimEvent::Start);
        self.requests.push(request);
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
