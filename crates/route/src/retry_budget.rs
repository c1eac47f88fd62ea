//! A retry budget funded by successful requests.

/// Limits retries to a fraction of successes, so that retries cannot amplify an overload.
///
/// Each success adds `ratio` of a retry, each retry takes a whole one. The budget holds at most `capacity` retries and
/// starts full, so that a few early failures are retried.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    capacity: f64,
    ratio: f64,
}

impl RetryBudget {
    /// The number of retries available now.
    pub fn left(&self) -> u32 {
        self.balance as u32
    }

    /// Creates a full budget of `ratio` retries per success and at most `capacity` accumulated retries.
    pub fn new(ratio: f64, capacity: u32) -> Self {
        Self {
            balance: f64::from(capacity),
            capacity: f64::from(capacity),
            ratio: ratio.max(0.0),
        }
    }

    /// Records a successful request.
    pub fn succeeded(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.capacity);
    }

    /// Takes one retry out of the budget; `false` when it is spent.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
