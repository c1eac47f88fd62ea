//! Timing of requests between instances and of reads of the store.

use std::time::Duration;

/// Intervals and timeouts. Those with a default follow from `period`.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct SpreadTimes {
    /// Interval between two reads of the list. It is the first field since defaults of others
    /// derive from it.
    pub period: Duration,
    /// How long an instance holds a request back while it has no update for it.
    #[builder(default = period + Duration::from_millis(50))]
    pub max_hold: Duration,
    /// Timeout of a request to an instance that has answered lately: one period and the network
    /// delay.
    #[builder(default = period + Duration::from_millis(350))]
    pub request_timeout: Duration,
    /// Delay per place behind the reader before an instance tries the store itself, counted from
    /// the reader's report that the store does not answer it.
    #[builder(default = Duration::from_millis(500))]
    pub standby_delay: Duration,
    /// Interval between two reads of the directory by an instance that reads the store.
    #[builder(default = Duration::from_secs(10))]
    pub directory_period: Duration,
    /// Delay from a change of the members to writing it, so that several changes share one write.
    #[builder(default = Duration::from_millis(1_500))]
    pub directory_debounce: Duration,
    /// Upper limit of the cooldown of a reader that did not answer. By then the row of a dead
    /// reader may be removed from the directory.
    #[builder(default = Duration::from_secs(60))]
    pub max_cooldown: Duration,
    /// How long a member that sends no requests stays in the directory. A starting instance asks
    /// those before it in the order, and waits for each one that is gone. A member that was only
    /// cut off is listed again as soon as it sends a request.
    #[builder(default = Duration::from_secs(15))]
    pub member_expiry: Duration,
    /// Timeout of one read of the store.
    pub read_timeout: Duration,
    /// First cooldown of a reader that did not answer. It doubles with each further failure.
    #[builder(default = Duration::from_secs(2))]
    pub cooldown: Duration,
    /// How long a request from an instance that depends on this one keeps it reading the store,
    /// whoever else reads it.
    #[builder(default = Duration::from_secs(3))]
    pub service_window: Duration,
    /// Updates up to this age are passed on; older ones do not count as updates.
    #[builder(default = period * 2 + Duration::from_millis(350))]
    pub max_staleness: Duration,
    /// Timeout of a request to an instance that has not answered yet, while there is no update: the
    /// network delay and the processing on both, also on slow machines.
    #[builder(default = Duration::from_millis(200))]
    pub first_request_timeout: Duration,
}
