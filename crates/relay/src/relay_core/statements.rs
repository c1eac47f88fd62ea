//! What upstreams state about themselves in their answers. Every answer passes here, whatever was asked.

use {
    super::RelayCore,
    crate::{ReplyFacts, UpstreamDialect},
    http::HeaderMap,
    kernel::{UpstreamId, steady_clock},
    policy::{BackoffStatement, RateStatement, UpstreamRecord, UpstreamStatement},
    std::time::Instant,
};

impl<D: UpstreamDialect> RelayCore<D> {
    /// Counts a call that was not chosen by its load towards the rate limit of its upstream.
    pub fn count_call(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        upstreams.rates.note_call(upstream, steady_clock::now());
    }

    /// Records the headers of an answer that nothing reads.
    pub(super) fn note_headers(&self, upstream: &UpstreamRecord, headers: &HeaderMap) {
        for name in headers.keys() {
            if !self.dialect.is_known_header(name) {
                self.counts.unread_headers.note(name, &upstream.id);
            }
        }
    }

    /// Records what the answer to a request states. Another upstream at the same address speaks for itself only, and an
    /// answer that need not be the upstream's own lifts no limit.
    pub(super) fn note_facts(&self, upstream: &UpstreamRecord, facts: &ReplyFacts, began: Instant) {
        if !facts.is_misdirected {
            self.note_statement(upstream, facts.statement, !facts.is_not_run, began);
        }
    }

    /// Records a statement that is the upstream's own, in an answer to a call that began at `began`; `may_lift` is whether a
    /// rate limit ends with it if it states none.
    pub(super) fn note_statement(
        &self,
        upstream: &UpstreamRecord,
        statement: UpstreamStatement,
        may_lift: bool,
        began: Instant,
    ) {
        let now = steady_clock::now();
        let mut upstreams = self.upstreams.lock();
        let rate_change = match statement.rate == RateStatement::Unlimited && !may_lift {
            true => None,
            false => {
                let of = (&upstream.id, &upstream.zone);
                upstreams.rates.note_answer(of, statement.rate, began, now)
            }
        };
        let departs = statement.is_leaving && upstreams.departures.note(&upstream.id, now);
        let backs_off = match statement.backoff {
            BackoffStatement::Requested(pause) => upstreams.backoffs.note(&upstream.id, pause, now),
            BackoffStatement::Invalid | BackoffStatement::None => false,
        };
        drop(upstreams);
        if backs_off || statement.backoff == BackoffStatement::Invalid {
            self.counts.note_backoff(&upstream.id, statement.backoff);
        }
        if let Some(change) = rate_change {
            self.counts.note_rate(&upstream.id, change);
        }
        if departs {
            self.counts.note_departure(&upstream.id);
        }
    }
}
