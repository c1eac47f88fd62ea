//! The questions to other instances: all that go to one share its time limit until it answers.

use {
    super::{ReadStep, ReaderPlan},
    crate::AwaitedAnswer,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

impl ReaderPlan {
    /// How many questions went to an instance since its last answer.
    pub fn questions(&self, to: &InstanceId) -> u32 {
        self.awaited(to).map_or(0, |awaited| awaited.questions)
    }

    /// How long an instance that was asked has given no answer.
    pub fn waited(&self, from: &InstanceId, now: Instant) -> Duration {
        let awaited = self.awaited(from);
        awaited.map_or(Duration::ZERO, |awaited| {
            now.saturating_duration_since(awaited.since)
        })
    }

    fn awaited(&self, from: &InstanceId) -> Option<&AwaitedAnswer> {
        let awaited = self.awaited.as_ref();
        awaited.filter(|awaited| awaited.from == *from)
    }

    pub(super) fn ask(&mut self, from: InstanceId, now: Instant) -> ReadStep {
        let since = self.note_question(&from, now);
        let is_doubted = self.rests.contains_key(&from) || self.empty.contains_key(&from);
        let is_trusted = self.vain == 0 && self.news_read.is_some() && !is_doubted;
        let patience = match is_trusted {
            true => self.times.call_limit,
            false => self.times.try_limit,
        };
        // A question that takes the place of one without an answer has what is left of its time, or an instance that often
        // has something to tell would never leave a silent one.
        let limit = (since + patience).saturating_duration_since(now);
        let turn = self.early_turn(&from).filter(|turn| *turn > now);
        ReadStep::Ask {
            // One that would hold the question back for its next reading looks dead after the short time.
            at_once: !is_trusted || self.is_stale(now),
            from,
            limit,
            turn,
        }
    }

    /// A question goes out. Gives since when its answer is awaited.
    fn note_question(&mut self, to: &InstanceId, now: Instant) -> Instant {
        let awaited = self.awaited.take();
        let awaited = awaited.filter(|awaited| awaited.from == *to);
        let awaited = awaited.unwrap_or_else(|| AwaitedAnswer {
            from: to.clone(),
            questions: 0,
            since: now,
        });
        let since = awaited.since;
        self.awaited = Some(AwaitedAnswer {
            questions: awaited.questions + 1,
            ..awaited
        });
        since
    }
}
