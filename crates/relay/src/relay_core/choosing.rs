//! Chooses upstreams, with the view of the instances that share what some upstreams accept.

use {
    super::RelayCore,
    crate::{ErrorResponse, UpstreamDialect},
    kernel::{ResultCode, UpstreamId, ranked_lock::RankedGuard, steady_clock},
    policy::{ChoiceQuery, PrefillChoice, UpstreamRecord, UpstreamTable},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

impl<D: UpstreamDialect> RelayCore<D> {
    /// The best upstream for a call.
    pub fn choose(&self, query: &ChoiceQuery<'_>) -> Option<Arc<UpstreamRecord>> {
        let now = steady_clock::now();
        let mut upstreams = self.lock_shared_rates(now);
        let upstream = upstreams.choose(query, now)?;
        upstreams.note_call(&upstream.id, now);
        Some(upstream)
    }

    /// The best engine to prefill a prompt of this many tokens.
    pub fn choose_prefill(&self, query: &ChoiceQuery<'_>, tokens: u64) -> Option<PrefillChoice> {
        let now = steady_clock::now();
        let mut upstreams = self.lock_shared_rates(now);
        let choice = upstreams.choose_prefill(query, tokens, now)?;
        upstreams.note_call(&choice.upstream.id, now);
        Some(choice)
    }

    /// A decode engine that a scheduler named; `None` when it does not match the query or may not be called now.
    pub fn planned(
        &self,
        engine: &UpstreamId,
        query: &ChoiceQuery<'_>,
    ) -> Option<Arc<UpstreamRecord>> {
        let now = steady_clock::now();
        let mut upstreams = self.lock_shared_rates(now);
        let upstream = upstreams.suitable(engine, query, now)?;
        upstreams.note_call(engine, now);
        Some(upstream)
    }

    /// A prefill engine that a scheduler named; `None` when it does not match the query or may not be called now.
    pub fn planned_prefill(
        &self,
        engine: &UpstreamId,
        query: &ChoiceQuery<'_>,
        tokens: u64,
    ) -> Option<PrefillChoice> {
        let now = steady_clock::now();
        let mut upstreams = self.lock_shared_rates(now);
        let choice = upstreams.prefill_at(engine, query, tokens, now)?;
        upstreams.note_call(engine, now);
        Some(choice)
    }

    /// Locks the upstreams with the present view of the instances that share their rates.
    fn lock_shared_rates(&self, now: Instant) -> RankedGuard<'_, UpstreamTable> {
        let count = self.cold_share_count();
        let fleet = self.alone.clone().unwrap_or_else(|| self.fleet.members());
        let mut upstreams = self.upstreams.lock();
        upstreams.set_instance_count(count);
        upstreams.rates.set_fleet(&fleet, now);
        upstreams
    }

    /// The answer to a caller for whose request there is no upstream. It may return when an upstream that states a limit or
    /// asked for a pause can be called, or else after `retry_after`.
    pub fn missing_upstream(
        &self,
        query: &ChoiceQuery<'_>,
        retry_after: Duration,
    ) -> ErrorResponse {
        let now = steady_clock::now();
        let upstreams = self.upstreams.lock();
        if let Some(wait) = upstreams.stated_wait(query, now) {
            return ErrorResponse::with_retry_after(ResultCode::UpstreamLimited, wait);
        }
        let wait = upstreams.cold_wait(query, now);
        ErrorResponse::with_retry_after(ResultCode::UpstreamMissing, wait.unwrap_or(retry_after))
    }

    /// The number of instances that share the calls to cold upstreams; `None` while unknown.
    fn cold_share_count(&self) -> Option<usize> {
        match self.settings.load().is_alone {
            true => Some(1),
            false => self.instance_count(),
        }
    }

    /// The number of instances, as far as this one knows; zones are taken to be of equal size.
    pub(super) fn instance_count(&self) -> Option<usize> {
        let settings = self.settings.load();
        let members = self.fleet.zone_size(&settings.zone);
        members.map(|members| members * settings.zones)
    }
}
