//! The progress of one request.

use {
    super::{
        flaky_rows::CallFault,
        once_oracle::DoneRun,
        once_simulation::{
            DIGEST, OnceSimulation, OwnClaim, Phase, Request, SlotState, TICKET_LIFE, open_table,
        },
    },
    claim::{
        ClaimAction, ClaimEvent, ClaimRecord, KeyedClaim, NotRunEvidence, OriginReply,
        PermitDispatch, RunPermit, SubmitVerdict, UnsentRequest, claim_key,
    },
    kernel::ResultCode,
    std::mem,
};

impl OnceSimulation {
    pub(super) fn progress(&mut self, from_last: usize, pick: u8, fault: CallFault, late: bool) {
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

    pub(super) fn refuse(
        &mut self,
        index: usize,
        permit: RunPermit,
        unsent: UnsentRequest<()>,
        code: ResultCode,
    ) {
        let at = self.requests[index].at;
        let answer = match &mut self.slots[at].state {
            SlotState::Closed(closed) => closed.refuse(permit, unsent, code),
            SlotState::Open(table) => table.refuse(permit, unsent, code),
        };
        self.answer(index, OriginReply::NotRun(answer.code()));
    }

    pub(super) fn step_claim(
        &mut self,
        index: usize,
        (mut claim, permit): OwnClaim,
        unsent: UnsentRequest<()>,
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

    pub(super) fn step_permit(
        &mut self,
        index: usize,
        pick: u8,
        permit: RunPermit,
        unsent: UnsentRequest<()>,
    ) {
        let at = self.requests[index].at;
        if pick.is_multiple_of(4) {
            return self.refuse(index, permit, unsent, ResultCode::QueueFull);
        }
        let now = self.clock(at).now;
        match permit.dispatch(now, unsent) {
            PermitDispatch::Started { request, run, sent } if pick % 4 == 1 => {
                let evidence = NotRunEvidence::not_connected();
                let (permit, unsent) = run.into_unsent(sent, evidence, request);
                self.requests[index].phase = Phase::Permitted(permit, unsent);
            }
            PermitDispatch::Started { run, sent, .. } => {
                let request = &mut self.requests[index];
                request.phase = Phase::Running(run, sent);
                self.oracle.runs.push(DoneRun {
                    at_ms: self.now_ms,
                    key: request.key,
                    submission: request.submission,
                    ticket: request.ticket.clone(),
                });
            }
            PermitDispatch::Expired { permit, unsent } => {
                self.refuse(index, permit, unsent, ResultCode::TicketExpired);
            }
        }
    }

    pub(super) fn submit(&mut self, request: Request) {
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
                    let ((), sent) = UnsentRequest::from_caller(()).dispatch();
                    self.requests[index].phase = Phase::Forwarded(sent, None);
                    self.forward(index, to, ticket);
                }
            },
            SubmitVerdict::Run(permit) => {
                self.requests[index].phase =
                    Phase::Permitted(permit, UnsentRequest::from_caller(()));
            }
        }
    }

    pub(super) fn submit_key(&mut self, at: usize, key: usize) {
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
        let unsent = UnsentRequest::from_caller(());
        request.phase = Phase::Claiming((claim, permit), unsent, ClaimEvent::Start);
        self.requests.push(request);
    }
}
