//! Who reads in the place of a reader that the store does not answer, or that does not answer itself.

use {
    super::ReaderElection,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

/// How many standbys of a zone go on trying while nobody can read; each further one tries once.
const PERSISTENT_STANDBYS: usize = 3;
/// For each place behind the last of these, how much later one tries: most of the calls of an outage are theirs.
const FURTHER_STANDBY_DELAY: Duration = Duration::from_millis(750);
/// For each place in the zone, how much later an instance whose news are overdue reads the store itself. The first is later by
/// this as well: it may have asked a while after its last reading.
const OVERDUE_DELAY: Duration = Duration::from_millis(50);
/// From the end of a lasting standby's probe pause to its next try. Both, and a reading that is given up, take less than the 3 s
/// after which an instance that the store is_responsive again has to have news.
const STANDBY_RETRY_DELAY: Duration = Duration::from_millis(1_200);

impl ReaderElection {
    /// The store has refused an instance that was to read it for so long, and nobody has read it since: its place is taken
    /// before its news are old.
    pub fn record_reader_refused(&mut self, from: &InstanceId, age: Duration, now: Instant) {
        if self.is_before(from) {
            let since = now.checked_sub(age).unwrap_or(now);
            self.unavailable_since = Some(since);
        }
    }

    pub(super) fn is_acting_reader(&self, now: Instant) -> bool {
        self.acting_until.is_some_and(|until| now < until)
    }

    /// The turn of one of the first standbys, or of the first itself while it asks another zone. It cuts a question short that
    /// the reader holds back for its next reading. All others finish their questions, so that not too many try at once.
    pub(super) fn early_turn(&self, reader: &InstanceId) -> Option<Instant> {
        let reader = match self.distance(reader) {
            Some(_) => reader,
            None if self.is_refused() => return None,
            None => &self.own,
        };
        let is_early = self.distance(reader)? <= PERSISTENT_STANDBYS;
        is_early.then(|| self.standby_turn(reader)).flatten()
    }

    /// When it is this instance's turn to try whether the store is_responsive it, in place of its reader: some time after that is
    /// known to be refused, and for the first standbys when their news are overdue, whatever the reader does.
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

    /// Whether this instance, the first of its zone, has waited for another zone's reader for as long as its news may be old.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.standby_turn(&self.own).is_some_and(|turn| now >= turn)
    }

    /// How many places this instance is behind a reader of its zone.
    fn distance(&self, reader: &InstanceId) -> Option<usize> {
        let place = |member: &InstanceId| self.ranked.iter().position(|other| other == member);
        place(&self.own)?.checked_sub(place(reader)?)
    }
}
