//! What the platform keeps of a claim.

use {
    crate::{
        claim_watch::ClockReading, run_permit::RunPermit, ticket::Ticket,
        ticket_state::RequestDigest,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, TimestampMilliSeconds, serde_as},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// The grain of the durations in a record: a life is rounded up to it.
const RECORD_GRAIN: Duration = Duration::from_millis(1);

/// One claim: the ticket that the key stands for. The ticket is unique, and so names the claim too.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The request that made it.
    pub digest: RequestDigest,
    /// When it ends by the wall clock of whoever made it. A hint for when to start watching it, no more.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub ends: SystemTime,
    /// How long its maker may dispatch, from before the row was written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub life: Duration,
    /// The ticket.
    pub ticket: Ticket,
}

impl ClaimRecord {
    /// The record from a row's value; none if it can't be read.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// The record of a claim whose permit is out already. Read the clock after the ticket was minted and before the
    /// row is written: then nobody who waits for the record's life from seeing the row ends before the permit does.
    pub fn under_permit(
        clock: ClockReading,
        permit: &RunPermit,
        ticket: Ticket,
        digest: RequestDigest,
    ) -> Self {
        let left = permit.deadline().saturating_duration_since(clock.now);
        let life = left + RECORD_GRAIN;
        Self {
            digest,
            ends: clock.wall + life,
            life,
            ticket,
        }
    }

    /// The record as a row's value.
    pub fn to_value(&self) -> Arc<str> {
        let text = serde_json::to_string(self).unwrap_or_default();
        Arc::from(text)
    }
}
