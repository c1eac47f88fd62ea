//! The tickets of which an entry instance is the origin.

use {
    crate::{
        answer_cache::AnswerCache,
        answer_size::AnswerSize,
        claim_error::{ClaimError, MintLimitSnafu},
        incarnation_key::IncarnationKey,
        incarnation_tickets::{IncarnationTickets, UnusedTicket},
        not_run::NotRun,
        outstanding_count::OutstandingCount,
        request_outcome::RequestOutcome,
        run_permit::{RunPermit, RunTicket},
        sent_request::SentRequest,
        submit_verdict::SubmitVerdict,
        ticket::{Ticket, checked_name, millis},
        ticket_settings::TicketSettings,
        ticket_state::{RequestDigest, TicketRecord, TicketState},
        unsent_request::UnsentRequest,
    },
    kernel::{ResultCode, ZoneId, seeded_rng},
    snafu::ensure,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The tickets of this incarnation, and of those that were handed over to it.
///
/// A minted ticket needs no record until it is used, since its text contains everything needed. A used ticket is
/// remembered until its expiry and the retention have passed. Minting bounds the number of both.
#[derive(Debug)]
pub struct TicketTable<A> {
    pub(crate) kept: AnswerCache<A>,
    pub(crate) life: IncarnationKey,
    pub(crate) lives: BTreeMap<IncarnationKey, IncarnationTickets>,
    minted: u64,
    outstanding: OutstandingCount,
    pub(crate) settings: TicketSettings,
    zone: ZoneId,
}

/// The current size of a table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TicketCounts {
    /// The total size of cached answers, in bytes.
    pub kept_bytes: usize,
    /// The number of incarnations held, including this one.
    pub lives: usize,
    /// The number of minted tickets that are not yet past expiry and retention.
    pub outstanding: usize,
    /// The number of used tickets.
    pub records: usize,
}

impl<A: AnswerSize> TicketTable<A> {
    /// The current size of the table.
    pub fn counts(&self) -> TicketCounts {
        TicketCounts {
            kept_bytes: self.kept.bytes(),
            lives: self.lives.len(),
            outstanding: self.outstanding.total,
            records: self.lives.values().map(|life| life.records.len()).sum(),
        }
    }

    /// Records the complete answer of a run, and caches it for replays if it is small enough.
    pub fn finish(&mut self, run: RunTicket, sent: SentRequest, answer: A) -> RequestOutcome<A> {
        let known = self.set_state(&run, TicketState::Answered);
        let small = answer.size() <= self.settings.answer_limit;
        if known && small {
            let (life, serial) = run.key();
            self.kept.insert((life.clone(), serial), answer.clone());
        }
        sent.answered(answer)
    }

    /// Whether this instance holds the tickets of an incarnation.
    pub fn holds(&self, life: &IncarnationKey) -> bool {
        self.lives.contains_key(life)
    }

    /// This instance's own incarnation.
    pub fn life(&self) -> &IncarnationKey {
        &self.life
    }

    /// Records an unknown outcome for a run.
    pub fn finish_unknown(
        &mut self,
        run: RunTicket,
        sent: SentRequest,
        code: ResultCode,
    ) -> RequestOutcome<A> {
        self.set_state(&run, TicketState::Unknown(code));
        sent.unknown(code)
    }

    /// Mints a ticket that expires after `lifetime`, or after the maximum in the settings if that is shorter.
    ///
    /// # Errors
    ///
    /// [`ClaimError::MintLimit`] when the limit of outstanding tickets is reached.
    pub fn mint(&mut self, now: Instant, lifetime: Duration) -> Result<Ticket, ClaimError> {
        self.sweep(now);
        let limit = self.settings.ticket_limit;
        ensure!(self.outstanding.total < limit, MintLimitSnafu { limit });
        let own = &self.lives[&self.life];
        let lifetime = lifetime.min(self.settings.max_expiry);
        let expiry = Duration::from_millis(millis(own.age(now) + lifetime));
        self.minted += 1;
        let mut ticket = Ticket {
            check: 0,
            expiry,
            life: self.life.clone(),
            random: seeded_rng::mix(own.check_key, &self.minted.to_le_bytes()),
            zone: self.zone.clone(),
        };
        ticket.check = ticket.expected_check(own.check_key);
        self.outstanding.add(expiry);
        Ok(ticket)
    }

    /// The table of an incarnation that starts now.
    ///
    /// # Errors
    ///
    /// [`ClaimError::NameInvalid`] when a ticket cannot contain the names.
    pub fn new(
        now: Instant,
        life: IncarnationKey,
        zone: ZoneId,
        settings: TicketSettings,
    ) -> Result<Self, ClaimError> {
        checked_name("instance", &life.instance)?;
        checked_name("zone", &zone)?;
        let seed = seeded_rng::mix(settings.secret, life.instance.as_bytes());
        let check_key = seeded_rng::mix(seed, &life.incarnation.to_le_bytes());
        let own = IncarnationTickets::new(now, Duration::ZERO, check_key, 0);
        Ok(Self {
            kept: AnswerCache::new(settings.cache_limit),
            lives: BTreeMap::from([(life.clone(), own)]),
            life,
            minted: 0,
            outstanding: OutstandingCount::default(),
            settings,
            zone,
        })
    }

    /// Records a ticket as refused, and returns the answer that its request did not run.
    pub fn refuse<T>(
        &mut self,
        permit: RunPermit,
        unsent: UnsentRequest<T>,
        code: ResultCode,
    ) -> NotRun {
        self.mark_refused(permit, code);
        unsent.into_not_run(code)
    }

    /// Records a ticket as refused. Used when the caller's key maps to another ticket, by which the request
    /// continues.
    pub fn mark_refused(&mut self, permit: RunPermit, code: ResultCode) {
        if let Some(record) = self.record_mut(&permit) {
            record.state = TicketState::Refused(code);
        }
    }

    /// Decides how to handle a request with a ticket.
    pub fn submit(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        digest: RequestDigest,
    ) -> SubmitVerdict<A> {
        self.sweep(now);
        let Some(life) = self.lives.get_mut(&ticket.life) else {
            return SubmitVerdict::Elsewhere;
        };
        if ticket.check != ticket.expected_check(life.check_key) {
            return refused(ResultCode::TicketUnknown);
        }
        let serial = ticket.serial();
        if let Some(record) = life.records.get(&serial) {
            let kept = self.kept.get(&(ticket.life.clone(), serial));
            return repeated(record, digest, kept);
        }
        match life.unused(now, ticket) {
            UnusedTicket::Expired => refused(ResultCode::TicketExpired),
            UnusedTicket::Forgotten => forgotten(),
            UnusedTicket::Usable => {
                let state = TicketState::Running;
                life.records.insert(serial, TicketRecord { digest, state });
                SubmitVerdict::Run(RunPermit {
                    deadline: life.deadline(ticket),
                    life: ticket.life.clone(),
                    serial,
                })
            }
        }
    }

    /// Removes records that are past expiry and retention. Minting and submitting do this too.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.settings.retention;
        for (key, life) in &mut self.lives {
            for serial in life.sweep(now, retention) {
                self.kept.remove(&(key.clone(), serial));
            }
        }
        let swept_ms = self.lives[&self.life].swept_ms();
        self.outstanding.sweep(swept_ms);
    }

    fn record_mut(&mut self, permit: &RunPermit) -> Option<&mut TicketRecord> {
        self.lives
            .get_mut(&permit.life)?
            .records
            .get_mut(&permit.serial)
    }

    /// Sets the state of a run; returns whether its record still exists.
    fn set_state(&mut self, run: &RunTicket, state: TicketState) -> bool {
        let (life, serial) = run.key();
        let records = self.lives.get_mut(life).map(|life| &mut life.records);
        let Some(record) = records.and_then(|records| records.get_mut(&serial)) else {
            return false;
        };
        record.state = state;
        true
    }
}

/// The verdict on a ticket that was used before.
pub(crate) fn repeated<A: AnswerSize>(
    record: &TicketRecord,
    digest: RequestDigest,
    kept: Option<&A>,
) -> SubmitVerdict<A> {
    if record.digest != digest {
        return SubmitVerdict::Decided(RequestOutcome::Used);
    }
    match record.state {
        TicketState::Answered => SubmitVerdict::Decided(match kept {
            Some(answer) => RequestOutcome::Answered(answer.clone()),
            None => RequestOutcome::Used,
        }),
        TicketState::Refused(code) => refused(code),
        TicketState::Running => SubmitVerdict::Attach,
        TicketState::Unknown(code) => SubmitVerdict::Decided(RequestOutcome::Unknown(code)),
    }
}

/// The verdict on a ticket that did not run and never will.
pub(crate) fn refused<A>(code: ResultCode) -> SubmitVerdict<A> {
    SubmitVerdict::Decided(RequestOutcome::NotRun(NotRun::from_code(code)))
}

fn forgotten<A>() -> SubmitVerdict<A> {
    SubmitVerdict::Decided(RequestOutcome::Unknown(ResultCode::TicketForgotten))
}
