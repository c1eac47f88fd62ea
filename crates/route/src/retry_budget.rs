//! How many retries the successes pay for.

/// Retries as a share of successes, so that retries cannot multiply an overload.
///
/// Each success adds `ratio` of a retry, each retry takes a whole one. The budget holds at most `most` retries and
/// starts full, so that a few early failures are retried.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    most: f64,
    ratio: f64,
}

impl RetryBudget {
    /// How many retries are left now.
    pub fn left(&self) -> u32 {
        self.balance as u32
    }

    /// A budget of `ratio` retries a success, and at most `most` saved up.
    pub fn new(ratio: f64, most: u32) -> Self {
        Self {
            balance: f64::from(most),
            most: f64::from(most),
            ratio: ratio.max(0.0),
        }
    }

    /// A request was answered.
    pub fn succeeded(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.most);
    }

    /// Takes one retry out; `false` when the budget is spent.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
