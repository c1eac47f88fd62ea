//! The times of passing readings on.

use std::time::Duration;

/// How long instances wait for each other and for the store.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct SpreadTimes {
    /// From one reading of the list to the next. It comes first since others follow from it.
    pub period: Duration,
    /// How long an asked instance holds a question back while it has nothing new.
    #[builder(default = period + Duration::from_millis(50))]
    pub max_hold: Duration,
    /// How long an instance waits for an answer of one that has answered lately: a period, and the way.
    #[builder(default = period + Duration::from_millis(350))]
    pub request_timeout: Duration,
    /// For each place behind the reader, how long an instance waits until it tries whether the store answers it, when the
    /// reader says that it does not answer the reader.
    #[builder(default = Duration::from_millis(500))]
    pub standby_delay: Duration,
    /// From one reading of the directory to the next, by an instance that reads the store.
    #[builder(default = Duration::from_secs(10))]
    pub directory_period: Duration,
    /// From a change of the members to the writing of it, so that many changes are one.
    #[builder(default = Duration::from_millis(1_500))]
    pub directory_debounce: Duration,
    /// How long a reader that gave no answer many times is not asked, at most: by then the row of a dead one may go.
    #[builder(default = Duration::from_secs(60))]
    pub max_cooldown: Duration,
    /// How long a member that nobody hears of stays in the directory: a new life asks those before it, and waits for each
    /// that is gone. One that was only cut off is listed again when it asks.
    #[builder(default = Duration::from_secs(15))]
    pub member_expiry: Duration,
    /// How long one reading of the store may take.
    pub read_timeout: Duration,
    /// How long a reader that gave no answer is not asked; twice as long after each further time.
    #[builder(default = Duration::from_secs(2))]
    pub cooldown: Duration,
    /// An instance that was asked so lately by one that counts on it reads the store, whoever else does.
    #[builder(default = Duration::from_secs(3))]
    pub service_window: Duration,
    /// News of this age are passed on as they are; older ones are no news.
    #[builder(default = period * 2 + Duration::from_millis(350))]
    pub max_staleness: Duration,
    /// How long an instance waits for one that it has no answer of yet, while it has no news: the way, and the work of both
    /// on small machines.
    #[builder(default = Duration::from_millis(200))]
    pub first_request_timeout: Duration,
}
