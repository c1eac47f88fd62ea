//! The tickets of an instance that has handed them over.

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

/// What the successor knows of a run that went on at the hand-over, until it hears how that ended.
const HANDED_OVER_RUN: TicketState = TicketState::Unknown(ResultCode::OriginGone);

/// What is left of a [`TicketTable`] after its hand-over: it answers, and gives out no permit ever again.
#[derive(Debug)]
pub struct ClosedTable<A> {
    reply: Option<HandOverReply>,
    successor: IncarnationKey,
    table: TicketTable<A>,
}

impl<A: AnswerSize> ClosedTable<A> {
    /// Answers a hand-over that comes while this instance closes: it takes none, and says so for good, but for a
    /// copy of one that it took before.
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

    /// Whether this instance held the tickets of a life, and handed them over.
    pub fn holds(&self, life: &IncarnationKey) -> bool {
        self.table.holds(life)
    }

    /// Whether the successor said that it holds the tickets.
    pub fn is_accepted(&self) -> bool {
        self.reply == Some(HandOverReply::Accepted)
    }

    /// Records the whole answer of a run that was going on at the hand-over.
    pub fn finish(&mut self, run: RunTicket, sent: SentRequest, answer: A) -> RequestOutcome<A> {
        self.table.finish(run, sent, answer)
    }

    /// Records that nobody knows what became of a run that was going on at the hand-over.
    pub fn finish_unknown(
        &mut self,
        run: RunTicket,
        sent: SentRequest,
        code: ResultCode,
    ) -> RequestOutcome<A> {
        self.table.finish_unknown(run, sent, code)
    }

    /// Hears a reply to the hand-over. Only the named successor's counts: its later life can't know what the
    /// earlier one did.
    pub fn on_reply(&mut self, from: &IncarnationKey, reply: HandOverReply) {
        if *from == self.successor {
            self.reply.get_or_insert(reply);
        }
    }

    /// Refuses a request whose permit was out at the hand-over. The successor never runs it.
    pub fn refuse<T>(
        &mut self,
        permit: RunPermit,
        unsent: UnsentRequest<T>,
        code: ResultCode,
    ) -> NotRun {
        self.table.refuse(permit, unsent, code)
    }

    /// Seals a ticket as refused, as [`TicketTable::mark_refused`] does.
    pub fn mark_refused(&mut self, permit: RunPermit, code: ResultCode) {
        self.table.mark_refused(permit, code);
    }

    /// Decides on a request that comes with a ticket. `Elsewhere` means: pass it on to [`Self::successor`], and
    /// answer [`OriginGone`](ResultCode::OriginGone) when that gives no answer. It is never `Run`.
    ///
    /// Whether an unused ticket has ended is the successor's to judge, since its clock for the life may be behind.
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

    /// The records as they are now, for the successor: what ran at the hand-over may have ended since.
    pub fn final_records(&self, now: Instant) -> HandOver<A> {
        self.table.message(now, self.successor.clone())
    }

    /// Whom the tickets were handed over to.
    pub fn successor(&self) -> &IncarnationKey {
        &self.successor
    }
}

impl<A: AnswerSize> TicketTable<A> {
    /// Takes over the tickets of a closing instance, if they are meant for this life. A repeated message changes
    /// nothing: what ran here since the first stays known.
    pub fn accept_hand_over(&mut self, now: Instant, message: HandOver<A>) -> HandOverReply {
        if message.successor != self.life {
            return HandOverReply::Refused;
        }
        for life in message.lives {
            if self.holds(&life.life) {
                continue;
            }
            self.take_life(now, life);
        }
        HandOverReply::Accepted
    }

    /// Gives all tickets to one successor. From here on this instance gives out no permit; send the message, and
    /// send it again to the same successor, as often as needed.
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

    /// Learns how runs ended that went on at their instance when it handed its tickets over. Nothing else changes.
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
        for (serial, told) in message.records {
            let Some(record) = life.records.get_mut(&serial) else {
                continue;
            };
            if record.state != HANDED_OVER_RUN || told.digest != record.digest {
                continue;
            }
            record.state = told.state;
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
            lives.push(self.life_message(now, key, life));
        }
        HandOver {
            from: self.life.clone(),
            lives,
            successor,
        }
    }

    fn life_message(
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

    fn take_life(&mut self, now: Instant, message: IncarnationHandOver<A>) {
        let mut life =
            IncarnationTickets::new(now, message.age, message.check_key, message.swept_ms);
        life.records.extend(message.records);
        self.lives.insert(message.life.clone(), life);
        for (serial, answer) in message.answers {
            self.kept.insert((message.life.clone(), serial), answer);
        }
    }
}

/// A record as the successor has to take it: what runs at the sender stays the sender's.
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
