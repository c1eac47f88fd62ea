//! The tickets of one entry instance, shared by all request handlers.

use {
    crate::{
        ticket_answer::TicketAnswer,
        ticket_frame::TicketHandOver,
        ticket_metrics::{TicketMetrics, ticket_event},
    },
    claim::{
        ClaimError, ClosedTable, ForwardRoute, ForwardTable, HandOverReply, IncarnationKey,
        RequestOutcome, RunPermit, RunTicket, SentRequest, SubmitVerdict, Ticket, TicketCounts,
        TicketSettings, TicketTable, UnsentRequest, ticket_state::RequestDigest,
    },
    kernel::{LockRank, RankedLock, ResultCode, ZoneId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, futures::Notified},
};

/// The ticket table before or after its hand-over.
#[derive(Debug)]
enum TableState {
    /// Handed over to a successor; issues no permits.
    Closed(ClosedTable<TicketAnswer>),
    /// Issues permits.
    Open(TicketTable<TicketAnswer>),
}

#[derive(Debug)]
struct RegistryState {
    forwards: ForwardTable,
    /// `None` only while the table is being converted during a hand-over.
    table: Option<TableState>,
}

/// Holds the tickets of this incarnation and the known successors of closed incarnations.
#[derive(Debug)]
pub struct TicketRegistry {
    pub(crate) life: IncarnationKey,
    pub(crate) max_expiry: Duration,
    pub(crate) metrics: TicketMetrics,
    settled: Notify,
    state: RankedLock<RegistryState>,
    pub(crate) zone: ZoneId,
}

/// How a submission is to be handled.
#[derive(Debug)]
pub(crate) enum SubmitDecision {
    /// The same request is already running: wait for its outcome.
    Attach,
    /// The outcome is already known.
    Decided(RequestOutcome<TicketAnswer>),
    /// Forward the request to this incarnation.
    Elsewhere(IncarnationKey),
    /// Run the request under this permit, which allows one run.
    Run(RunPermit),
}

impl TicketRegistry {
    /// Creates the registry of an incarnation that starts now.
    ///
    /// # Errors
    ///
    /// [`ClaimError::NameInvalid`] if a ticket can't contain the names.
    pub fn new(
        life: IncarnationKey,
        metrics: TicketMetrics,
        settings: TicketSettings,
        zone: ZoneId,
    ) -> Result<Self, ClaimError> {
        let max_expiry = settings.max_expiry;
        let retention = settings.max_expiry + settings.retention;
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
    pub(crate) fn accept_hand_over(&self, message: TicketHandOver) -> HandOverReply {
        let mut state = self.state.lock();
        match &mut state.table {
            Some(TableState::Closed(table)) => table.accept_hand_over(&message),
            Some(TableState::Open(table)) => table.accept_hand_over(Instant::now(), message),
            None => HandOverReply::Refused,
        }
    }

    /// Returns the sizes of the table and whether it issues permits. The sizes are zero after a hand-over.
    pub(crate) fn counts(&self) -> (TicketCounts, bool) {
        match &self.state.lock().table {
            Some(TableState::Open(table)) => (table.counts(), true),
            _ => (TicketCounts::default(), false),
        }
    }

    /// Records the complete answer of a run.
    pub(crate) fn finish(&self, run: RunTicket, sent: SentRequest, answer: TicketAnswer) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.finish(run, sent, answer),
            Some(TableState::Open(table)) => table.finish(run, sent, answer),
            None => sent.answered(answer),
        };
        self.settled.notify_waiters();
    }

    /// Returns the records after the last run, if a successor has accepted the tickets.
    pub(crate) fn final_records(&self) -> Option<TicketHandOver> {
        match &self.state.lock().table {
            Some(TableState::Closed(table)) if table.is_accepted() => {
                Some(table.final_records(Instant::now()))
            }
            _ => None,
        }
    }

    /// Prepares the hand-over of all tickets to `successor`. Returns `None` if they were handed over before.
    pub(crate) fn hand_over(&self, successor: IncarnationKey) -> Option<TicketHandOver> {
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

    /// Returns the incarnation that holds the tickets of `life`, or `None` if this instance does not know it.
    pub(crate) fn holder(&self, life: &IncarnationKey) -> Option<IncarnationKey> {
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

    /// Whether the table issues permits.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state.lock().table, Some(TableState::Open(_)))
    }

    /// Records that the tickets of `life` were handed over to `successor`.
    pub(crate) fn record_successor(&self, life: IncarnationKey, successor: IncarnationKey) {
        let now = Instant::now();
        self.state
            .lock()
            .forwards
            .add_successor(now, life, successor);
    }

    /// Updates the records with the outcomes of the last runs of a closing instance.
    pub(crate) fn learn_final_records(&self, message: TicketHandOver) {
        if let Some(TableState::Open(table)) = &mut self.state.lock().table {
            table.record_outcomes(message);
        }
    }

    /// Records that the outcome of a run is unknown.
    pub(crate) fn record_unknown(&self, run: RunTicket, sent: SentRequest, code: ResultCode) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.finish_unknown(run, sent, code),
            Some(TableState::Open(table)) => table.finish_unknown(run, sent, code),
            None => sent.unknown(code),
        };
        self.metrics.count(ticket_event::OUTCOME_UNKNOWN);
        self.settled.notify_waiters();
    }

    /// Issues a new ticket.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Closing`] if this instance is closing, [`ResultCode::QueueFull`] if too many tickets are
    /// outstanding.
    pub(crate) fn mint(&self, lifetime: Duration) -> Result<Ticket, ResultCode> {
        let mut state = self.state.lock();
        let Some(TableState::Open(table)) = &mut state.table else {
            return Err(ResultCode::Closing);
        };
        let ticket = table.mint(Instant::now(), lifetime);
        self.metrics.count(ticket_event::MINTED);
        ticket.map_err(|_| ResultCode::QueueFull)
    }

    /// Processes the successor's reply to the hand-over.
    pub(crate) fn on_reply(&self, from: &IncarnationKey, reply: HandOverReply) {
        if let Some(TableState::Closed(table)) = &mut self.state.lock().table {
            table.on_reply(from, reply);
        }
    }

    /// Seals a ticket whose request was refused and did not run.
    pub(crate) fn refuse<T>(&self, permit: RunPermit, unsent: UnsentRequest<T>, code: ResultCode) {
        let _ = match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.refuse(permit, unsent, code),
            Some(TableState::Open(table)) => table.refuse(permit, unsent, code),
            None => unsent.into_not_run(code),
        };
        self.metrics.count(ticket_event::REFUSED);
        self.settled.notify_waiters();
    }

    /// Seals a ticket whose request runs under another ticket or not at all.
    pub(crate) fn seal(&self, permit: RunPermit, code: ResultCode) {
        match &mut self.state.lock().table {
            Some(TableState::Closed(table)) => table.mark_refused(permit, code),
            Some(TableState::Open(table)) => table.mark_refused(permit, code),
            None => {}
        }
        self.settled.notify_waiters();
    }

    /// Resolves when any run ends after this call.
    pub(crate) fn settled(&self) -> Notified<'_> {
        self.settled.notified()
    }

    /// The known successors of closed incarnations, keyed by the closed incarnation.
    pub(crate) fn successors(&self) -> BTreeMap<String, String> {
        let state = self.state.lock();
        let successors = state.forwards.successors();
        let names = successors.map(|(life, next)| (life.to_string(), next.to_string()));
        names.collect()
    }

    /// Decides how to handle a request with a ticket.
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

/// Returns the incarnation to ask about a ticket that is not held here. It is treated as alive: the call itself shows
/// whether it still runs.
fn route(forwards: &ForwardTable, ticket: &Ticket) -> IncarnationKey {
    match forwards.route(&ticket.life, |_| false, |_| true) {
        ForwardRoute::Remote(life) => life,
        ForwardRoute::Gone | ForwardRoute::Local => ticket.life.clone(),
    }
}
