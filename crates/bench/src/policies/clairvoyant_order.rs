//! In which order the clairvoyant policy serves.

/// One greedy order, with exact knowledge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClairvoyantOrder {
    /// The least share of the scarcest resource first.
    Cheapest,
    /// The latest possible start first.
    Deadline,
    /// Urgent work by its cost, then patient work by its latest start.
    UrgentCheapest,
    /// Urgent work by its latest start, then patient work by its cost.
    UrgentFirst,
}

impl ClairvoyantOrder {
    /// Every order; the bench runs them all and takes the best.
    pub const ALL: [Self; 4] = [
        Self::Cheapest,
        Self::Deadline,
        Self::UrgentCheapest,
        Self::UrgentFirst,
    ];
}
