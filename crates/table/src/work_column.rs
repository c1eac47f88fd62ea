//! The columns of the table.

use std::fmt;

/// One column, in the order of the file.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WorkColumn {
    /// The key of the row.
    Work,
    /// The service whose upstreams serve the row.
    Service,
    /// The model, for rows that go to model engines.
    Model,
    /// The priority: lower is admitted first.
    Rank,
    /// The weight among rows of one rank.
    Weight,
    /// The maximum number of requests in flight.
    Limit,
    /// The availability zones in which the row may run.
    Zones,
    /// The target time to the first token.
    FirstToken,
    /// The target time between tokens.
    BetweenTokens,
    /// How long a request may wait in the queue.
    Patience,
    /// Whether a request may run twice.
    Repeat,
    /// The maximum number of retries of a request.
    Retries,
    /// The accepted share of wasted prefill.
    Waste,
}

impl WorkColumn {
    /// All columns, in the order of the file.
    pub const ALL: [Self; 13] = [
        Self::Work,
        Self::Service,
        Self::Model,
        Self::Rank,
        Self::Weight,
        Self::Limit,
        Self::Zones,
        Self::FirstToken,
        Self::BetweenTokens,
        Self::Patience,
        Self::Repeat,
        Self::Retries,
        Self::Waste,
    ];

    /// The column with this heading, ignoring letter case and surrounding spaces.
    pub fn from_heading(heading: &str) -> Option<Self> {
        let heading = heading.trim();
        Self::ALL
            .into_iter()
            .find(|column| column.name().eq_ignore_ascii_case(heading))
    }

    /// The heading of the column.
    pub fn name(self) -> &'static str {
        match self {
            Self::BetweenTokens => "between_tokens",
            Self::FirstToken => "first_token",
            Self::Limit => "limit",
            Self::Model => "model",
            Self::Patience => "patience",
            Self::Rank => "rank",
            Self::Repeat => "repeat",
            Self::Retries => "retries",
            Self::Service => "service",
            Self::Waste => "waste",
            Self::Weight => "weight",
            Self::Work => "work",
            Self::Zones => "zones",
        }
    }
}

impl fmt::Display for WorkColumn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}
