//! The rate limits that upstreams state in their answers. Free of I/O; times are passed in.

use {
    crate::{CallRate, RateStatement},
    kernel::UpstreamId,
    std::{collections::BTreeMap, time::Instant},
};

/// A change of the limit of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateChange {
    /// Another limit than before, or the first one.
    Limited(CallRate),
    /// The upstream no longer states a limit.
    Lifted,
    /// The first of a series of statements that can't be read.
    Unreadable,
}

#[derive(Clone, Debug)]
struct RateRow {
    /// Whether the last statement could not be read.
    is_unreadable: bool,
    /// `None` while no limit is in force.
    rate: Option<CallRate>,
    /// When the last answer that states a limit arrived.
    stated_at: Instant,
}

/// The limits in force, by upstream.
#[derive(Clone, Debug, Default)]
pub struct RateTable {
    rows: BTreeMap<UpstreamId, RateRow>,
}

impl RateTable {
    /// The limit of an upstream; `None` when it states none.
    pub fn limit(&self, id: &UpstreamId) -> Option<CallRate> {
        self.rows.get(id)?.rate
    }

    /// Records the statement of an answer to a call that began at `began`. An answer without a statement lifts the limit
    /// only if its call began after the last statement, since answers may overtake each other.
    pub fn note_answer(
        &mut self,
        id: &UpstreamId,
        statement: RateStatement,
        began: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        if statement == RateStatement::Unlimited {
            let row = self.rows.get(id)?;
            if began < row.stated_at {
                return None;
            }
            let row = self.rows.remove(id)?;
            return row.rate.map(|_| RateChange::Lifted);
        }
        let row = self.rows.entry(id.clone()).or_insert(RateRow {
            is_unreadable: false,
            rate: None,
            stated_at: now,
        });
        row.stated_at = now;
        let RateStatement::Limited(rate) = statement else {
            let was_unreadable = std::mem::replace(&mut row.is_unreadable, true);
            return (!was_unreadable).then_some(RateChange::Unreadable);
        };
        row.is_unreadable = false;
        let before = row.rate.replace(rate);
        (before != Some(rate)).then_some(RateChange::Limited(rate))
    }

    /// Drops the limits of upstreams that are gone.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.rows.remove(id);
    }
}
