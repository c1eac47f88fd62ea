//! What came of a run, by the truth of the world and not by a policy's word.

use {
    crate::world::{
        request_state::{RequestOutcome, RequestState},
        token_ledger::TokenLedger,
        world_truth::WorldTruth,
    },
    kernel::WorkId,
    std::time::Duration,
};

/// What came of the requests of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowTally {
    /// Whole answers, late ones too.
    pub answered: u64,
    /// Mean between-token times of the answers.
    pub between_tokens: Vec<Duration>,
    /// Outcome unknown: an upstream or the entry instance died under it.
    pub broken: u64,
    /// Callers gone.
    pub cancelled: u64,
    /// First-token times of the requests that had one.
    pub first_tokens: Vec<Duration>,
    /// Met both targets of their row.
    pub good: u64,
    /// Never ended.
    pub lost: u64,
    /// Arrived.
    pub offered: u64,
    /// Refused.
    pub refused: u64,
    /// The row.
    pub work: WorkId,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTally {
    /// How often the allocator was called.
    pub decisions: u64,
    /// How long requests arrived.
    pub duration: Duration,
    /// Prompt tokens.
    pub ledger: TokenLedger,
    /// The rows, in the scenario's order.
    pub rows: Vec<RowTally>,
}

impl RunTally {
    pub(crate) fn of(
        truth: &WorldTruth,
        requests: &[RequestState],
        ledger: TokenLedger,
        decisions: u64,
    ) -> Self {
        let mut rows = Vec::new();
        for mix in &truth.file.rows {
            rows.push(RowTally::new(mix.work.clone()));
        }
        for (request, state) in requests.iter().enumerate() {
            let row = truth.plans[request].row;
            rows[row].count(truth, request, state);
        }
        Self {
            decisions,
            duration: truth.file.duration,
            ledger,
            rows,
        }
    }

    /// All rows as one.
    pub fn total(&self) -> RowTally {
        let mut total = RowTally::new("total".into());
        for row in &self.rows {
            total.add(row);
        }
        total
    }
}

impl RowTally {
    fn new(work: WorkId) -> Self {
        Self {
            answered: 0,
            between_tokens: Vec::new(),
            broken: 0,
            cancelled: 0,
            first_tokens: Vec::new(),
            good: 0,
            lost: 0,
            offered: 0,
            refused: 0,
            work,
        }
    }

    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.between_tokens.extend(&other.between_tokens);
        self.broken += other.broken;
        self.cancelled += other.cancelled;
        self.first_tokens.extend(&other.first_tokens);
        self.good += other.good;
        self.lost += other.lost;
        self.offered += other.offered;
        self.refused += other.refused;
    }

    fn count(&mut self, truth: &WorldTruth, request: usize, state: &RequestState) {
        self.offered += 1;
        match state.outcome {
            Some(RequestOutcome::Answered) => self.answered += 1,
            Some(RequestOutcome::Broken) => self.broken += 1,
            Some(RequestOutcome::Cancelled) => self.cancelled += 1,
            Some(RequestOutcome::Lost) | None => self.lost += 1,
            Some(RequestOutcome::Refused) => self.refused += 1,
        }
        let Some(first) = state.first_token else {
            return;
        };
        let waited = first - state.arrived;
        self.first_tokens.push(waited);
        let Some(finished) = state.finished else {
            return;
        };
        let plan = &truth.plans[request];
        let between = (finished - first) / plan.output_tokens.saturating_sub(1).max(1);
        self.between_tokens.push(between);
        let mix = &truth.file.rows[plan.row];
        let in_time = match mix.first_token {
            Some(target) => waited <= target,
            None => finished - state.arrived <= mix.patience,
        };
        let steady = mix.between_tokens.is_none_or(|target| between <= target);
        if in_time && steady {
            self.good += 1;
        }
    }
}
