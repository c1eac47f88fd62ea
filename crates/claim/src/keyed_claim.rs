//! Turning a caller's idempotency key into a ticket.

use {
    crate::{
        claim_record::ClaimRecord,
        claim_watch::{ClaimWatch, ClockReading},
        ticket::Ticket,
    },
    kernel::ResultCode,
    plat::{RowCondition, RowWrite, StoredRow, Transaction, TransactionReply},
    std::sync::Arc,
};

/// How often the platform may fail to answer before the request is refused.
const DEFAULT_TRIES: u8 = 3;

/// What the claim hears.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The platform gave no answer; a write may have taken effect.
    NoAnswer,
    /// The origin of the ticket that the request was passed on to refused it as not run: that ticket never runs.
    OriginRefused,
    /// The row was read.
    Read(Option<StoredRow>),
    /// The platform answered a write.
    Reply(TransactionReply),
    /// The request came in.
    Start,
}

/// What to do for the claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use = "a claim goes on by its action"]
pub enum ClaimAction {
    /// Commit this.
    Commit(Transaction),
    /// Pass the request on to the origin of this ticket. When it answers "not run", come back with
    /// [`ClaimEvent::OriginRefused`].
    Forward(Ticket),
    /// Read this row.
    Get(Arc<str>),
    /// Refuse this submission as not run, and seal the claim's own ticket.
    Refuse(ResultCode),
    /// The key stands for the claim's own ticket: run it under its permit.
    Run,
}

/// One submission of a request with an idempotency key.
///
/// Take the permit of its ticket before the first write: the ticket's life counts from there, and whoever finds the
/// row attaches to this run. Each write carries the same ticket, so that one whose reply was lost is recognised.
#[derive(Debug)]
pub struct KeyedClaim {
    key: Arc<str>,
    record: ClaimRecord,
    seen_version: u64,
    tries_left: u8,
}

impl KeyedClaim {
    /// The claim's own ticket.
    pub fn ticket(&self) -> &Ticket {
        &self.record.ticket
    }

    /// A claim of the row `key` by the request that `record` names.
    pub fn new(key: Arc<str>, record: ClaimRecord) -> Self {
        Self {
            key,
            record,
            seen_version: 0,
            tries_left: DEFAULT_TRIES,
        }
    }

    /// Decides what comes next.
    pub fn on_event(
        &mut self,
        clock: ClockReading,
        watch: &mut ClaimWatch,
        event: ClaimEvent,
    ) -> ClaimAction {
        match event {
            ClaimEvent::NoAnswer => self.try_again(ClaimAction::Get(self.key.clone())),
            ClaimEvent::OriginRefused => self.replace(),
            ClaimEvent::Read(row) => self.on_row(clock, watch, row),
            ClaimEvent::Reply(TransactionReply::Committed) => ClaimAction::Run,
            ClaimEvent::Reply(TransactionReply::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == self.key);
                self.on_row(clock, watch, row)
            }
            ClaimEvent::Start => self.insert(),
        }
    }

    fn commit(&self, version: u64) -> ClaimAction {
        let condition = RowCondition {
            key: self.key.clone(),
            version,
        };
        let write = RowWrite {
            key: self.key.clone(),
            value: Some(self.record.to_value()),
        };
        ClaimAction::Commit(Transaction {
            conditions: vec![condition],
            writes: vec![write],
        })
    }

    fn insert(&self) -> ClaimAction {
        self.commit(0)
    }

    fn on_row(
        &mut self,
        clock: ClockReading,
        watch: &mut ClaimWatch,
        row: Option<StoredRow>,
    ) -> ClaimAction {
        let Some(row) = row else {
            return self.try_again(self.insert());
        };
        let Some(found) = ClaimRecord::from_value(&row.value) else {
            return ClaimAction::Refuse(ResultCode::PlatformDown);
        };
        if found.ticket == self.record.ticket {
            return ClaimAction::Run;
        }
        self.seen_version = row.version;
        if watch.has_ended(clock, &row, &found, 1) {
            return self.replace();
        }
        if found.digest != self.record.digest {
            return ClaimAction::Refuse(ResultCode::KeyTaken);
        }
        ClaimAction::Forward(found.ticket)
    }

    /// Puts this claim in the place of one that never runs again.
    fn replace(&mut self) -> ClaimAction {
        self.try_again(self.commit(self.seen_version))
    }

    fn try_again(&mut self, action: ClaimAction) -> ClaimAction {
        let Some(left) = self.tries_left.checked_sub(1) else {
            return ClaimAction::Refuse(ResultCode::PlatformDown);
        };
        self.tries_left = left;
        action
    }
}
