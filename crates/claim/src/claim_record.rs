//! The stored record of a claim.

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

/// The resolution of durations in a record; the lifetime is rounded up to it.
const RECORD_GRAIN: Duration = Duration::from_millis(1);

/// One claim: the ticket that an idempotency key maps to. The ticket is unique, so it also identifies the claim.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The digest of the request that made the claim.
    pub digest: RequestDigest,
    /// When it expires by its maker's wall clock. This is only a hint for when to start watching the row.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub ends: SystemTime,
    /// How long its maker may dispatch, counted from before the row was written.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub life: Duration,
    /// The ticket that the request runs under.
    pub ticket: Ticket,
}

impl ClaimRecord {
    /// Parses a row's value; `None` if it is malformed.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// The record of a claim whose permit has been issued. The clock must be read after the ticket was minted
    /// and before the row is written: then an instance that waits for `life` from when it saw the row never
    /// finishes before the permit expires.
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

    /// Serialises the record as a row's value.
    pub fn to_value(&self) -> Arc<str> {
        let text = serde_json::to_string(self).unwrap_or_default();
        Arc::from(text)
    }
}
