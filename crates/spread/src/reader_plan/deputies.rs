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

    /// Whether it is this instance's turn to try whether the store answers it, in place of its reader.
    pub(super) fn is_deputy_due(&self, reader: &InstanceId, now: Instant) -> bool {
        let Some(since) = self.unreadable_since else {
            return false;
        };
        let place = |member: &InstanceId| self.ranked.iter().position(|other| other == member);
        let distance = match (place(reader), place(&self.own)) {
            (Some(reader), Some(own)) => own.saturating_sub(reader),
            _ => return false,
        };
        let turn = u32::try_from(distance).unwrap_or(u32::MAX);
        if now < since + self.times.deputy_pause.saturating_mul(turn) {
            return false;
        }
        match self.probe.failures() {
            0 => self.probe.is_due(now),
            failures => {
                let wait = DEPUTY_PERIOD * failures.min(4);
                distance <= LASTING_DEPUTIES
                    && self.probe.next().is_none_or(|due| now >= due + wait)
            }
        }
    }
}
