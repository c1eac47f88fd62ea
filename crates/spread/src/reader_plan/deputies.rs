//! Who reads in the place of a reader that the store does not answer.

use {
    super::ReaderPlan,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

/// How many deputies of a zone go on trying while nobody can read; each further one tries once.
const LASTING_DEPUTIES: usize = 3;
/// From one try of a lasting deputy to the next.
const DEPUTY_PERIOD: Duration = Duration::from_secs(2);

impl ReaderPlan {
    /// The store has refused an instance that was to read it for so long, and nobody has read it since: its place is taken
    /// before its news are old.
    pub fn reader_refused(&mut self, from: &InstanceId, age: Duration, now: Instant) {
        if self.is_before(from) {
            let since = now.checked_sub(age).unwrap_or(now);
            self.unreadable_since = Some(since);
        }
    }

    pub(super) fn is_deputy(&self, now: Instant) -> bool {
        self.deputy_until.is_some_and(|until| now < until)
    }

    /// The turn of one of the first deputies. A question that the reader holds back for its next reading does not put it off,
    /// which it would by most of a period: news would be 2.7 s old in zones of two instances, 1.8 s as it is. All others finish
    /// their questions first, so that not too many try at once.
    pub(super) fn early_turn(&self, reader: &InstanceId) -> Option<Instant> {
        let is_early = self.distance(reader)? <= LASTING_DEPUTIES;
        is_early.then(|| self.deputy_turn(reader)).flatten()
    }

    /// When it is this instance's turn to try whether the store answers it, in place of its reader; none while that is not
    /// known to be refused.
    pub(super) fn deputy_turn(&self, reader: &InstanceId) -> Option<Instant> {
        let since = self.unreadable_since?;
        let distance = self.distance(reader)?;
        let pauses = u32::try_from(distance).unwrap_or(u32::MAX);
        let turn = since + self.times.deputy_pause.saturating_mul(pauses);
        let probe = self.probe.next().unwrap_or(turn);
        match self.probe.failures() {
            0 => Some(turn.max(probe)),
            _ if distance > LASTING_DEPUTIES => None,
            failures => Some(turn.max(probe + DEPUTY_PERIOD * failures.min(4))),
        }
    }

    /// How many places this instance is behind a reader of its zone.
    fn distance(&self, reader: &InstanceId) -> Option<usize> {
        let place = |member: &InstanceId| self.ranked.iter().position(|other| other == member);
        place(&self.own)?.checked_sub(place(reader)?)
    }
}
