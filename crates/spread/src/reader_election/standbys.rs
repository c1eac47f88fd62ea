//! Standbys: the instances that read in place of a reader that the store does not answer, or that
//! does not answer itself.

use {
    super::ReaderElection,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

/// Number of standbys per zone that keep trying while no instance can read the store; each further
/// one tries once.
const PERSISTENT_STANDBYS: usize = 3;
/// Additional delay for each place behind the persistent standbys. Most of the calls during an
/// outage come from the instances in these places.
const FURTHER_STANDBY_DELAY: Duration = Duration::from_millis(750);
/// Additional delay, per place in the zone, after which an instance whose updates are overdue reads
/// the store itself. It applies to the first instance as well, which may have sent its request some
/// time after its last read.
const OVERDUE_DELAY: Duration = Duration::from_millis(50);
/// Delay from the end of a persistent standby's backoff to its next try. Together with a read that
/// times out this stays below the 3 s within which an instance that the store answers again must
/// have an update.
const STANDBY_RETRY_DELAY: Duration = Duration::from_millis(1_200);

impl ReaderElection {
    /// Records that the store has refused the reader for `age` and no instance has read it since,
    /// so that the reader is replaced before its data gets too old.
    pub fn record_reader_refused(&mut self, from: &InstanceId, age: Duration, now: Instant) {
        if self.is_before(from) {
            let since = now.checked_sub(age).unwrap_or(now);
            self.unavailable_since = Some(since);
        }
    }

    pub(super) fn is_acting_reader(&self, now: Instant) -> bool {
        self.acting_until.is_some_and(|until| now < until)
    }

    /// When one of the persistent standbys, or the first instance itself while it asks another
    /// zone, interrupts a request that the reader holds back until its next read. All others let
    /// their requests finish, so that not too many try the store at once.
    pub(super) fn early_turn(&self, reader: &InstanceId) -> Option<Instant> {
        let reader = match self.distance(reader) {
            Some(_) => reader,
            None if self.is_refused() => return None,
            None => &self.own,
        };
        let is_early = self.distance(reader)? <= PERSISTENT_STANDBYS;
        is_early.then(|| self.standby_turn(reader)).flatten()
    }

    /// When this instance is due to try the store in place of its reader: a delay after the reader
    /// is known to be refused or, for persistent standbys, once their updates are overdue, whatever
    /// the reader does.
    pub(super) fn standby_turn(&self, reader: &InstanceId) -> Option<Instant> {
        let distance = self.distance(reader)?;
        let places = |distance: usize| u32::try_from(distance).unwrap_or(u32::MAX);
        let first = places(distance.min(PERSISTENT_STANDBYS));
        let further = places(distance.saturating_sub(PERSISTENT_STANDBYS));
        let pause =
            self.times.standby_delay * first + FURTHER_STANDBY_DELAY.saturating_mul(further);
        let refused = self.unavailable_since.map(|since| since + pause);
        let overdue = self.update_read_at.filter(|_| further == 0);
        let overdue =
            overdue.map(|read| read + self.times.request_timeout + OVERDUE_DELAY * (first + 1));
        let turn = refused.into_iter().chain(overdue).min()?;
        let probe = self.probe.next_due().unwrap_or(turn);
        match self.probe.failures() {
            0 => Some(turn.max(probe)),
            _ if distance > PERSISTENT_STANDBYS => None,
            _ => Some(turn.max(probe + STANDBY_RETRY_DELAY)),
        }
    }

    /// Whether this instance, the first of its zone, has waited for the reader of another zone for
    /// as long as its data may be old.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.standby_turn(&self.own).is_some_and(|turn| now >= turn)
    }

    /// Number of places between this instance and a reader of its zone.
    fn distance(&self, reader: &InstanceId) -> Option<usize> {
        let place = |member: &InstanceId| self.ranked.iter().position(|other| other == member);
        place(&self.own)?.checked_sub(place(reader)?)
    }
}
