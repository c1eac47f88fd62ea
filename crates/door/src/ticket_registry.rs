//! The tickets of one entry instance, for all who handle requests.

use {
    crate::{
        ticket_answer::TicketAnswer,
        ticket_frame::TicketHandOver,
        ticket_metrics::{TicketMetrics, ticket_event},
    },
    claim::{
        ClaimError, ClosedTable, ForwardCourse, ForwardTable, HandOverReply, LifeKey,
        RequestOutcome, RunPermit, RunTicket, Sent, SubmitVerdict, Ticket, TicketCounts,
        TicketSettings, TicketTable, Unsent, ticket_state::RequestDigest,
    },
    kernel::{LockRank, RankedLock, ResultCode, ZoneId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, futures::Notified},
};

/// The table, before or after its hand-over.
#[derive(Debug)]
enum TableState {
    /// It was handed over.
    Closed(ClosedTable<TicketAnswer>),
    /// It gives out permits.
    Open(TicketTable<TicketAnswer>),
}

#[derive(Debug)]
struct RegistryState {
    forwards: ForwardTable,
    /// None only for the moment in which the table is handed over.
    table: Option<TableState>,
}

/// Holds the tickets and what is known of other lives' tickets.
#[derive(Debug)]
pub struct TicketRegistry {
    pub(crate) life: LifeKey,
    pub(crate) max_expiry: Duration,
    pub(crate) metrics: TicketMetrics,
    settled: Notify,
    state: RankedLock<RegistryState>,
    pub(crate) zone: ZoneId,
}

/// What a submission has to do here.
#[derive(Debug)]
pub(crate) enum SubmitDecision {
    /// The same request runs: wait.
    Attach,
    /// The outcome is known.
    Decided(RequestOutcome<TicketAnswer>),
    /// Pass it on to this life.
    Elsewhere(LifeKey),
    /// Run it, once.
    Run(RunPermit),
}

impl TicketRegistry {
    /// A desk of a life that starts now.
    ///
    /// # Errors
    ///
    /// [`ClaimError::NameInvalid`] when a ticket can't carry the names.
    pub fn new(
        life: LifeKey,
        metrics: TicketMetrics,
        settings: TicketSettings,
        zone: ZoneId,
    ) -> Result<Self, ClaimError> {
        let max_expiry = settings.longest_expiry;
        let retention = settings.longest_expiry + settings.retention;
        let table = TicketTable::new(Instant::now(), life.clone(), zone.clone(), settings)?;
        let state = RegistryState {
            forwards: ForwardTable::new(retention),
            table: Some(TableState::Open(table)),
        };
        Ok(Self {
            life,
            max_expiry,
            metrics,
            settled: Notify::new(),
            state: RankedLock::new(LockRank::Claims, state),
            zone,
        })
    }

    /// Takes over the tickets of a closing instance.
    pub(crate) fn accept(&self, message: TicketHandOver) -> HandOverReply {
        let mut state = self.state.lock();
        match &mut state.table {
            Some(TableState::Closed(table)) => table.accept_hand_over(&message),
            Some(TableState::Open(table)) => table.accept_hand_over(Instant::now(), message),
            None => HandOverReply::Refused,
        }
    }

    /// How much it holds, and whether it gives out permits.
    pub(crate) fn counts(&self) -> (TicketCounts, bool) {
        match &self.state.lock().table {
            Some(TableState::Open(table)) => (table.counts(), true),
            _ => (TicketCounts::default(), false),
        }
    }

    /// Records the whole answer of a run.
    pub(crate) fn finish(&self, run: RunTicket, sent: Sent, answer: TicketAnswer) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.finish(run, sent, answer),
            Some(TableState::Open(table)) => table.finish(run, sent, answer),
            None => sent.answered(answer),
        };
        self.settled.notify_waiters();
    }

    /// The records as they are after the last run, when a successor holds the tickets.
    pub(crate) fn final_records(&self) -> Option<TicketHandOver> {
        match &self.state.lock().table {
            Some(TableState::Closed(table)) if table.is_accepted() => {
                Some(table.final_records(Instant::now()))
            }
            _ => None,
        }
    }

    /// Gives all tickets to `successor`; none when that was done before.
    pub(crate) fn hand_over(&self, successor: LifeKey) -> Option<TicketHandOver> {
        let mut state = self.state.lock();
        let table = match state.table.take() {
            Some(TableState::Open(table)) => table,
            table => {
                state.table = table;
                return None;
            }
        };
        let (message, closed) = table.hand_over(Instant::now(), successor);
        state.table = Some(TableState::Closed(closed));
        Some(message)
    }

    /// The life that holds the tickets of `life`, as far as this instance knows.
    pub(crate) fn holder(&self, life: &LifeKey) -> Option<LifeKey> {
        let state = self.state.lock();
        match &state.table {
            Some(TableState::Closed(table)) if table.holds(life) => {
                return table.is_accepted().then(|| table.successor().clone());
            }
            Some(TableState::Open(table)) if table.holds(life) => {
                return Some(self.life.clone());
            }
            _ => {}
        }
        let mut successors = state.forwards.successors();
        let known = successors.find(|(closed, _)| *closed == life);
        known.map(|(_, successor)| successor.clone())
    }

    /// Whether it gives out permits.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state.lock().table, Some(TableState::Open(_)))
    }

    /// Learns that a life was handed over.
    pub(crate) fn learn(&self, life: LifeKey, successor: LifeKey) {
        let now = Instant::now();
        self.state.lock().forwards.learn(now, life, successor);
    }

    /// Learns how the runs of a closing instance ended.
    pub(crate) fn learn_final_records(&self, message: TicketHandOver) {
        if let Some(TableState::Open(table)) = &mut self.state.lock().table {
            table.learn_ends(message);
        }
    }

    /// Records that nobody knows what became of a run.
    pub(crate) fn record_unknown(&self, run: RunTicket, sent: Sent, code: ResultCode) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.lose(run, sent, code),
            Some(TableState::Open(table)) => table.lose(run, sent, code),
            None => sent.unknown(code),
        };
        self.metrics.count(ticket_event::OUTCOME_UNKNOWN);
        self.settled.notify_waiters();
    }

    /// Mints a ticket.
    ///
    /// # Errors
    ///
    /// Why there is none: this instance closes, or too many are outstanding.
    pub(crate) fn mint(&self, lifetime: Duration) -> Result<Ticket, ResultCode> {
        let mut state = self.state.lock();
        let Some(TableState::Open(table)) = &mut state.table else {
            return Err(ResultCode::Closing);
        };
        let ticket = table.mint(Instant::now(), lifetime);
        self.metrics.count(ticket_event::MINTED);
        ticket.map_err(|_| ResultCode::QueueFull)
    }

    /// Hears what the successor says to the hand-over.
    pub(crate) fn on_reply(&self, from: &LifeKey, reply: HandOverReply) {
        if let Some(TableState::Closed(table)) = &mut self.state.lock().table {
            table.on_reply(from, reply);
        }
    }

    /// Seals a ticket as refused; its request did not run.
    pub(crate) fn refuse<T>(&self, permit: RunPermit, unsent: Unsent<T>, code: ResultCode) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.refuse(permit, unsent, code),
            Some(TableState::Open(table)) => table.refuse(permit, unsent, code),
            None => unsent.into_not_run(code),
        };
        self.metrics.count(ticket_event::REFUSED);
        self.settled.notify_waiters();
    }

    /// Seals a ticket whose request goes on by another one, or not at all.
    pub(crate) fn seal(&self, permit: RunPermit, code: ResultCode) {
        match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.seal(permit, code),
            Some(TableState::Open(table)) => table.seal(permit, code),
            None => {}
        }
        self.settled.notify_waiters();
    }

    /// Becomes ready when a run ends after this call.
    pub(crate) fn settled(&self) -> Notified<'_> {
        self.settled.notified()
    }

    /// The successors of closed lives that this instance knows, by life.
    pub(crate) fn successors(&self) -> BTreeMap<String, String> {
        let state = self.state.lock();
        let successors = state.forwards.successors();
        let names = successors.map(|(life, next)| (life.to_string(), next.to_string()));
        names.collect()
    }

    /// Decides on a request that comes with a ticket.
    pub(crate) fn submit(&self, ticket: &Ticket, digest: RequestDigest) -> SubmitDecision {
        let mut state = self.state.lock();
        let (verdict, successor) = match &mut state.table {
            Some(TableState::Closed(table)) => {
                let successor = table.holds(&ticket.life).then(|| table.successor().clone());
                (table.submit(ticket, digest), successor)
            }
            Some(TableState::Open(table)) => (table.submit(Instant::now(), ticket, digest), None),
            None => (SubmitVerdict::Elsewhere, None),
        };
        match verdict {
            SubmitVerdict::Attach => SubmitDecision::Attach,
            SubmitVerdict::Decided(outcome) => {
                self.metrics.count(ticket_event::REPEATED);
                SubmitDecision::Decided(outcome)
            }
            SubmitVerdict::Elsewhere => SubmitDecision::Elsewhere(
                successor.unwrap_or_else(|| route(&state.forwards, ticket)),
            ),
            SubmitVerdict::Run(permit) => {
                self.metrics.count(ticket_event::RUN);
                SubmitDecision::Run(permit)
            }
        }
    }
}

/// Whom to ask for a ticket that is not held here. Whether that life still runs shows when it is asked.
fn route(forwards: &ForwardTable, ticket: &Ticket) -> LifeKey {
    match forwards.route(&ticket.life, |_| false, |_| true) {
        ForwardCourse::Remote(life) => life,
        ForwardCourse::Gone | ForwardCourse::Local => ticket.life.clone(),
    }
}
