//! The rate limits that upstreams state in their answers.

use {
    super::RelayCore,
    crate::{ReplyFacts, UpstreamDialect},
    kernel::{UpstreamId, steady_clock},
    policy::{RateStatement, UpstreamRecord},
    std::time::Instant,
};

impl<D: UpstreamDialect> RelayCore<D> {
    /// Counts a call that was not chosen by its load towards the rate limit of its upstream.
    pub fn count_call(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        upstreams.rates.note_call(upstream, steady_clock::now());
    }

    /// Records the rate limit that an answer states. Another upstream at the same address speaks for itself only, and an
    /// answer that need not be the upstream's own lifts no limit.
    pub(super) fn note_rate(&self, upstream: &UpstreamRecord, facts: &ReplyFacts, began: Instant) {
        let is_own = facts.is_same_request && !facts.is_misdirected;
        if !is_own || facts.rate == RateStatement::Unlimited && facts.is_not_run {
            return;
        }
        self.apply_statement(upstream, facts.rate, began);
    }

    /// Records a statement that is the upstream's own.
    pub(super) fn apply_statement(
        &self,
        upstream: &UpstreamRecord,
        statement: RateStatement,
        began: Instant,
    ) {
        let now = steady_clock::now();
        let mut upstreams = self.upstreams.lock();
        let change =
            upstreams
                .rates
                .note_answer((&upstream.id, &upstream.zone), statement, began, now);
        drop(upstreams);
        if let Some(change) = change {
            self.counts.note_rate(&upstream.id, change);
        }
    }
}
