//! One kind of work in a scenario: a row of the table, and how its requests look.

use {
    crate::scenario::{human_time::HumanTime, length_spread::LengthSpread},
    kernel::WorkId,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
    table::{Rank, WorkRow},
};

/// One kind of work and its requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkMix {
    /// The target for the mean time from one token to the next.
    #[serde(default)]
    #[serde_as(as = "Option<HumanTime>")]
    pub between_tokens: Option<Duration>,
    /// The share of callers who go away before or while the answer comes, 0 to 1.
    #[serde(default)]
    pub cancels: f64,
    /// Those callers go at an even time up to this after arrival; half of them only once the first token is there.
    #[serde(default = "WorkMix::default_cancels_within")]
    #[serde_as(as = "HumanTime")]
    pub cancels_within: Duration,
    /// The target for the first token; none makes the row patient.
    #[serde(default)]
    #[serde_as(as = "Option<HumanTime>")]
    pub first_token: Option<Duration>,
    /// How many groups of callers share a prefix among themselves; 0 is no sharing.
    #[serde(default)]
    pub groups: u32,
    /// How many may run at once; none is no limit.
    #[serde(default)]
    pub limit: Option<u32>,
    /// The lengths of the answers.
    pub output: LengthSpread,
    /// How long a request waits in the queue; a patient one counts when it is finished within it.
    #[serde_as(as = "HumanTime")]
    pub patience: Duration,
    /// The lengths of the prompts.
    pub prompt: LengthSpread,
    /// Lower goes first.
    pub rank: Rank,
    /// Whether a request may run twice.
    pub repeat: bool,
    /// How many further tries a request gets.
    pub retries: u8,
    /// The row's share of the requests, relative to the other rows'.
    pub share: f64,
    /// The part of a prompt that its group shares, 0 to 1.
    #[serde(default)]
    pub shared: f64,
    /// How much wasted prefill the row accepts for goodput, 0 to 1.
    pub waste: f64,
    /// The share among rows of one rank.
    pub weight: f64,
    /// The key of the row.
    pub work: WorkId,
}

impl WorkMix {
    fn default_cancels_within() -> Duration {
        Duration::from_secs(10)
    }

    /// The row as the table has it.
    pub fn row(&self, service: &str) -> WorkRow {
        WorkRow {
            between_tokens: self.between_tokens,
            first_token: self.first_token,
            limit: self.limit,
            model: Some(service.into()),
            patience: self.patience,
            rank: self.rank,
            repeat: self.repeat,
            retries: self.retries,
            service: service.into(),
            waste: self.waste,
            weight: self.weight,
            work: self.work.clone(),
            zones: Vec::new(),
        }
    }
}
