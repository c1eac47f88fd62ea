//! Maps a caller's idempotency key to a ticket.

use {
    crate::{
        claim_key::EPOCH_KEY,
        claim_record::ClaimRecord,
        claim_watch::{ClaimWatch, ClockReading},
        ticket::Ticket,
    },
    kernel::ResultCode,
    plat::{RowCondition, RowWrite, StoredRow, Transaction, TransactionReply},
    std::sync::Arc,
};

/// How many further calls to the platform a claim may need before the request is refused.
const MAX_ATTEMPTS: u8 = 5;

/// An input to a claim.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The platform gave no answer; a write may have taken effect.
    NoAnswer,
    /// The origin that the request was forwarded to refused it as not run: that ticket never runs.
    OriginRefused,
    /// The row was read.
    Read(Option<StoredRow>),
    /// The platform answered a write.
    Reply(TransactionReply),
    /// The request was submitted.
    Start,
}

/// The next action for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use = "a claim makes progress only by its action"]
pub enum ClaimAction {
    /// Commit this transaction.
    Commit(Transaction),
    /// Forward the request to the origin of this ticket. If the origin answers "not run", continue with
    /// [`ClaimEvent::OriginRefused`].
    Forward(Ticket),
    /// Read this row.
    Get(Arc<str>),
    /// Refuse this submission as not run, and record the claim's own ticket as refused.
    Refuse(ResultCode),
    /// The key maps to the claim's own ticket: run it under its permit.
    Run,
}

/// One submission of a request with an idempotency key.
///
/// The permit of its ticket must be taken before the first write: the ticket's lifetime starts there, and
/// instances that find the row attach to this run. Each write carries the same ticket, so that a write whose
/// reply was lost is recognised.
#[derive(Debug)]
pub struct KeyedClaim {
    key: Arc<str>,
    record: ClaimRecord,
    replacement: Option<ClaimReplacement>,
    seen: Option<Ticket>,
    attempts_left: u8,
}

/// The replacement of a claim that never runs again: the epoch is read first, then the row is read again.
#[derive(Debug)]
struct ClaimReplacement {
    ended: Ticket,
    epoch: Option<u64>,
}

impl KeyedClaim {
    /// The claim's own ticket.
    pub fn ticket(&self) -> &Ticket {
        &self.record.ticket
    }

    /// A claim on the row `key` by the request in `record`.
    pub fn new(key: Arc<str>, record: ClaimRecord) -> Self {
        Self {
            key,
            record,
            replacement: None,
            seen: None,
            attempts_left: MAX_ATTEMPTS,
        }
    }

    /// Handles one event and returns the next action.
    pub fn on_event(
        &mut self,
        clock: ClockReading,
        watch: &mut ClaimWatch,
        event: ClaimEvent,
    ) -> ClaimAction {
        match event {
            ClaimEvent::NoAnswer => {
                self.replacement = None;
                self.read_row()
            }
            ClaimEvent::OriginRefused => match self.seen.take() {
                Some(ended) => self.replace(ended),
                None => self.read_row(),
            },
            ClaimEvent::Read(row) => self.on_read(clock, watch, row),
            ClaimEvent::Reply(TransactionReply::Committed) => ClaimAction::Run,
            ClaimEvent::Reply(TransactionReply::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == self.key);
                self.on_row(clock, watch, row)
            }
            ClaimEvent::Start => self.insert(),
        }
    }

    fn commit(&self, conditions: Vec<RowCondition>) -> ClaimAction {
        let write = RowWrite {
            key: self.key.clone(),
            value: Some(self.record.to_value()),
        };
        ClaimAction::Commit(Transaction {
            conditions,
            writes: vec![write],
        })
    }

    fn condition(&self, version: u64) -> RowCondition {
        RowCondition {
            key: self.key.clone(),
            version,
        }
    }

    fn insert(&self) -> ClaimAction {
        self.commit(vec![self.condition(0)])
    }

    fn on_read(
        &mut self,
        clock: ClockReading,
        watch: &mut ClaimWatch,
        row: Option<StoredRow>,
    ) -> ClaimAction {
        if let Some(replacement) = &mut self.replacement
            && replacement.epoch.is_none()
        {
            replacement.epoch = Some(row.map_or(0, |row| row.version));
            return self.read_row();
        }
        self.on_row(clock, watch, row)
    }

    fn on_row(
        &mut self,
        clock: ClockReading,
        watch: &mut ClaimWatch,
        row: Option<StoredRow>,
    ) -> ClaimAction {
        let replacement = self.replacement.take();
        let Some(row) = row else {
            return self.retry(self.insert());
        };
        let Some(found) = ClaimRecord::from_value(&row.value) else {
            return ClaimAction::Refuse(ResultCode::PlatformDown);
        };
        if found.ticket == self.record.ticket {
            return ClaimAction::Run;
        }
        if let Some(replacement) = replacement
            && replacement.ended == found.ticket
            && let Some(epoch) = replacement.epoch
        {
            return self.commit_replacement(row.version, epoch);
        }
        if watch.has_ended(clock, &row, &found) {
            return self.replace(found.ticket);
        }
        if found.digest != self.record.digest {
            return ClaimAction::Refuse(ResultCode::KeyTaken);
        }
        self.seen = Some(found.ticket.clone());
        ClaimAction::Forward(found.ticket)
    }

    fn commit_replacement(&self, version: u64, epoch: u64) -> ClaimAction {
        let epoch = RowCondition {
            key: EPOCH_KEY.into(),
            version: epoch,
        };
        self.commit(vec![self.condition(version), epoch])
    }

    fn read_row(&mut self) -> ClaimAction {
        self.retry(ClaimAction::Get(self.key.clone()))
    }

    /// Starts to replace a claim that never runs again.
    fn replace(&mut self, ended: Ticket) -> ClaimAction {
        self.replacement = Some(ClaimReplacement { ended, epoch: None });
        self.retry(ClaimAction::Get(EPOCH_KEY.into()))
    }

    fn retry(&mut self, action: ClaimAction) -> ClaimAction {
        let Some(left) = self.attempts_left.checked_sub(1) else {
            return ClaimAction::Refuse(ResultCode::PlatformDown);
        };
        self.attempts_left = left;
        action
    }
}
