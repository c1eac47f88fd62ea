//! Requests to other instances. All requests to one instance share a timeout until it answers.

use {
    super::{ReadStep, ReaderElection},
    crate::PendingRequest,
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

impl ReaderElection {
    /// Number of requests sent to an instance since its last answer.
    pub fn pending_attempts(&self, to: &InstanceId) -> u32 {
        self.pending(to).map_or(0, |pending| pending.attempts)
    }

    /// How long an answer of an instance has been pending.
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

    pub(super) fn ask_peer(&mut self, peer: InstanceId, now: Instant) -> ReadStep {
        let since = self.note_request(&peer, now);
        let is_doubted =
            self.cooldowns.contains_key(&peer) || self.without_updates.contains_key(&peer);
        let is_trusted = self.unanswered == 0 && self.update_read_at.is_some() && !is_doubted;
        let timeout = match is_trusted {
            true => self.times.request_timeout,
            false => self.times.first_request_timeout,
        };
        // A request that replaces an unanswered one gets the rest of its timeout. Otherwise an
        // instance that often has something to report would never give up on a silent one.
        let limit = (since + timeout).saturating_duration_since(now);
        let turn = self.early_turn(&peer).filter(|turn| *turn > now);
        ReadStep::AskPeer {
            // A receiver that held the request back until its next read would look dead after the
            // short timeout.
            is_immediate: !is_trusted || self.is_stale(now),
            limit,
            peer,
            turn,
        }
    }

    /// Records that a request is sent. Returns since when an answer is pending.
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
