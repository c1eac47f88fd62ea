//! The times of passing readings on.

use std::time::Duration;

/// How long instances wait for each other and for the store.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct SpreadTimes {
    /// From one reading of the member rows to the next, by an instance that reads the store.
    #[builder(default = Duration::from_secs(5))]
    pub directory_period: Duration,
    /// From the first reading of the member rows to the second: instances that started together have written theirs.
    #[builder(default = Duration::from_millis(1_500))]
    pub directory_settle: Duration,
    /// How long a reader that gave no answer many times is not asked, at most: by then the row of a dead one may go.
    #[builder(default = Duration::from_secs(60))]
    pub longest_rest: Duration,
    /// How long a member that nobody hears of keeps its row.
    #[builder(default = Duration::from_secs(60))]
    pub member_life: Duration,
    /// How long one reading of the store may take.
    pub read_limit: Duration,
    /// How long a reader that gave no answer is not asked; twice as long after each further time.
    #[builder(default = Duration::from_secs(5))]
    pub rest: Duration,
    /// An instance that was asked so lately reads the store, whoever else does.
    #[builder(default = Duration::from_secs(3))]
    pub service: Duration,
}
