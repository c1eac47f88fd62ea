//! The questions to other instances: all that go to one share its time limit until it is_responsive.

use {
    super::{ReadStep, ReaderElection},
    crate::PendingRequest,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

impl ReaderElection {
    /// How many questions went to an instance since its last answer.
    pub fn pending_attempts(&self, to: &InstanceId) -> u32 {
        self.pending(to).map_or(0, |pending| pending.attempts)
    }

    /// How long an instance that was asked has given no answer.
    pub fn waited(&self, from: &InstanceId, now: Instant) -> Duration {
        let pending = self.pending(from);
        pending.map_or(Duration::ZERO, |pending| {
            now.saturating_duration_since(pending.since)
        })
    }

    fn pending(&self, from: &InstanceId) -> Option<&PendingRequest> {
        let pending = self.pending.as_ref();
        pending.filter(|pending| pending.peer == *from)
    }

    pub(super) fn ask_peer(&mut self, from: InstanceId, now: Instant) -> ReadStep {
        let since = self.note_request(&from, now);
        let is_doubted =
            self.cooldowns.contains_key(&from) || self.without_updates.contains_key(&from);
        let is_trusted = self.unanswered == 0 && self.update_read_at.is_some() && !is_doubted;
        let patience = match is_trusted {
            true => self.times.request_timeout,
            false => self.times.first_request_timeout,
        };
        // A question that takes the place of one without an answer has what is left of its time, or an instance that often
        // has something to tell would never leave a silent one.
        let limit = (since + patience).saturating_duration_since(now);
        let turn = self.early_turn(&from).filter(|turn| *turn > now);
        ReadStep::AskPeer {
            // One that would hold the question back for its next reading looks dead after the short time.
            is_immediate: !is_trusted || self.is_stale(now),
            from,
            limit,
            turn,
        }
    }

    /// A question goes out. Gives since when its answer is pending.
    fn note_request(&mut self, to: &InstanceId, now: Instant) -> Instant {
        let pending = self.pending.take();
        let pending = pending.filter(|pending| pending.peer == *to);
        let pending = pending.unwrap_or_else(|| PendingRequest {
            peer: to.clone(),
            attempts: 0,
            since: now,
        });
        let since = pending.since;
        self.pending = Some(PendingRequest {
            attempts: pending.attempts + 1,
            ..pending
        });
        since
    }
}
