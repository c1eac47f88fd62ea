//! The ticket table of an instance after its hand-over.

use {
    crate::{
        answer_size::AnswerSize,
        hand_over::{HandOver, HandOverReply, IncarnationHandOver},
        incarnation_key::IncarnationKey,
        incarnation_tickets::IncarnationTickets,
        not_run::NotRun,
        request_outcome::RequestOutcome,
        run_permit::{RunPermit, RunTicket},
        sent_request::SentRequest,
        submit_verdict::SubmitVerdict,
        ticket::Ticket,
        ticket_state::{RequestDigest, TicketRecord, TicketState},
        ticket_table::{TicketTable, refused, repeated},
        unsent_request::UnsentRequest,
    },
    kernel::ResultCode,
    std::{collections::BTreeSet, time::Instant},
};

/// The state that the successor records for a run in flight at the hand-over, until its outcome is reported.
const HANDED_OVER_RUN: TicketState = TicketState::Unknown(ResultCode::OriginGone);

/// A [`TicketTable`] after its hand-over: it still answers submissions but never issues a permit again.
#[derive(Debug)]
pub struct ClosedTable<A> {
    reply: Option<HandOverReply>,
    successor: IncarnationKey,
    table: TicketTable<A>,
}

impl<A: AnswerSize> ClosedTable<A> {
    /// Answers a hand-over that arrives while this instance closes. It is refused permanently, unless it is a
    /// copy of one that was accepted before.
    pub fn accept_hand_over(&self, message: &HandOver<A>) -> HandOverReply {
        let taken = message.successor == self.table.life
            && message
                .lives
                .iter()
                .all(|life| self.table.holds(&life.life));
        match taken {
            true => HandOverReply::Accepted,
            false => HandOverReply::Refused,
        }
    }

    /// Whether this instance held the tickets of an incarnation and handed them over.
    pub fn holds(&self, life: &IncarnationKey) -> bool {
        self.table.holds(life)
    }

    /// Whether the successor has accepted the tickets.
    pub fn is_accepted(&self) -> bool {
        self.reply == Some(HandOverReply::Accepted)
    }

    /// Records the complete answer of a run that was in flight at the hand-over.
    pub fn finish(&mut self, run: RunTicket, sent: SentRequest, answer: A) -> RequestOutcome<A> {
        self.table.finish(run, sent, answer)
    }

    /// Records an unknown outcome for a run that was in flight at the hand-over.
    pub fn finish_unknown(
        &mut self,
        run: RunTicket,
        sent: SentRequest,
        code: ResultCode,
    ) -> RequestOutcome<A> {
        self.table.finish_unknown(run, sent, code)
    }

    /// Handles a reply to the hand-over. Only the named successor's reply counts: a later incarnation cannot
    /// know what the earlier one did.
    pub fn on_reply(&mut self, from: &IncarnationKey, reply: HandOverReply) {
        if *from == self.successor {
            self.reply.get_or_insert(reply);
        }
    }

    /// Refuses a request whose permit had been issued at the hand-over. The successor never runs it.
    pub fn refuse<T>(
        &mut self,
        permit: RunPermit,
        unsent: UnsentRequest<T>,
        code: ResultCode,
    ) -> NotRun {
        self.table.refuse(permit, unsent, code)
    }

    /// Records a ticket as refused, like [`TicketTable::mark_refused`].
    pub fn mark_refused(&mut self, permit: RunPermit, code: ResultCode) {
        self.table.mark_refused(permit, code);
    }

    /// Decides how to handle a submitted ticket. `Elsewhere` means that the request is forwarded to
    /// [`Self::successor`], and answered with [`OriginGone`](ResultCode::OriginGone) when that does not answer.
    /// The verdict is never `Run`.
    ///
    /// Only the successor decides whether an unused ticket has expired, since its clock for the incarnation may
    /// be behind.
    pub fn submit(&self, ticket: &Ticket, digest: RequestDigest) -> SubmitVerdict<A> {
        let Some(life) = self.table.lives.get(&ticket.life) else {
            return SubmitVerdict::Elsewhere;
        };
        if ticket.check != ticket.expected_check(life.check_key) {
            return refused(ResultCode::TicketUnknown);
        }
        let serial = ticket.serial();
        if let Some(record) = life.records.get(&serial) {
            let kept = self.table.kept.get(&(ticket.life.clone(), serial));
            return repeated(record, digest, kept);
        }
        let forgotten = serial.expiry_ms < life.swept_ms();
        match self.reply {
            Some(HandOverReply::Refused) if !forgotten => refused(ResultCode::Closing),
            _ => SubmitVerdict::Elsewhere,
        }
    }

    /// The current records, for the successor: runs in flight at the hand-over may have finished since.
    pub fn final_records(&self, now: Instant) -> HandOver<A> {
        self.table.message(now, self.successor.clone())
    }

    /// The incarnation that the tickets were handed over to.
    pub fn successor(&self) -> &IncarnationKey {
        &self.successor
    }
}

impl<A: AnswerSize> TicketTable<A> {
    /// Takes over the tickets of a closing instance, if the message names this incarnation. A repeated message
    /// changes nothing, so runs recorded here since the first copy are kept.
    pub fn accept_hand_over(&mut self, now: Instant, message: HandOver<A>) -> HandOverReply {
        if message.successor != self.life {
            return HandOverReply::Refused;
        }
        for life in message.lives {
            if self.holds(&life.life) {
                continue;
            }
            self.take_incarnation(now, life);
        }
        HandOverReply::Accepted
    }

    /// Hands all tickets over to one successor. From here on this instance issues no permit. The message may be
    /// sent to the same successor any number of times.
    pub fn hand_over(
        mut self,
        now: Instant,
        successor: IncarnationKey,
    ) -> (HandOver<A>, ClosedTable<A>) {
        self.sweep(now);
        let message = self.message(now, successor.clone());
        let closed = ClosedTable {
            reply: None,
            successor,
            table: self,
        };
        (message, closed)
    }

    /// Records the outcomes of runs that were in flight at their origin at the hand-over. Nothing else changes.
    pub fn record_outcomes(&mut self, message: HandOver<A>) {
        if message.successor != self.life {
            return;
        }
        for life in message.lives {
            self.record_incarnation_outcomes(life);
        }
    }

    fn record_incarnation_outcomes(&mut self, message: IncarnationHandOver<A>) {
        let Some(life) = self.lives.get_mut(&message.life) else {
            return;
        };
        let mut ended = BTreeSet::new();
        for (serial, reported) in message.records {
            let Some(record) = life.records.get_mut(&serial) else {
                continue;
            };
            if record.state != HANDED_OVER_RUN || reported.digest != record.digest {
                continue;
            }
            record.state = reported.state;
            ended.insert(serial);
        }
        for (serial, answer) in message.answers {
            if ended.contains(&serial) {
                self.kept.insert((message.life.clone(), serial), answer);
            }
        }
    }

    fn message(&self, now: Instant, successor: IncarnationKey) -> HandOver<A> {
        let mut lives = Vec::with_capacity(self.lives.len());
        for (key, life) in &self.lives {
            lives.push(self.incarnation_message(now, key, life));
        }
        HandOver {
            from: self.life.clone(),
            lives,
            successor,
        }
    }

    fn incarnation_message(
        &self,
        now: Instant,
        key: &IncarnationKey,
        life: &IncarnationTickets,
    ) -> IncarnationHandOver<A> {
        let mut answers = Vec::new();
        let mut records = Vec::with_capacity(life.records.len());
        for (serial, record) in &life.records {
            if let Some(answer) = self.kept.get(&(key.clone(), *serial)) {
                answers.push((*serial, answer.clone()));
            }
            records.push((*serial, handed_over(record)));
        }
        IncarnationHandOver {
            age: life.age(now),
            answers,
            check_key: life.check_key,
            life: key.clone(),
            records,
            swept_ms: life.swept_ms(),
        }
    }

    fn take_incarnation(&mut self, now: Instant, message: IncarnationHandOver<A>) {
        let mut life =
            IncarnationTickets::new(now, message.age, message.check_key, message.swept_ms);
        life.records.extend(message.records);
        self.lives.insert(message.life.clone(), life);
        for (serial, answer) in message.answers {
            self.kept.insert((message.life.clone(), serial), answer);
        }
    }
}

/// A record as sent to the successor. A run in flight at the sender is sent as unknown, because the sender
/// finishes it.
fn handed_over(record: &TicketRecord) -> TicketRecord {
    let state = match record.state {
        TicketState::Running => HANDED_OVER_RUN,
        state => state,
    };
    TicketRecord {
        digest: record.digest,
        state,
    }
}
