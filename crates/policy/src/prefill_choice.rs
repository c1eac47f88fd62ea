//! The choice of an engine that prefills a prompt, with its cost in prefill time.

use {
    crate::{ChoiceQuery, UpstreamEntry, UpstreamRecord},
    kernel::seeded_rng,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The cost of being cold, in prefill time.
pub(crate) const COLD_PREFILL: Duration = Duration::from_millis(200);
/// The cost of a KV transfer from another availability zone, in prefill time: it takes longer and its traffic is
/// charged.
const OTHER_ZONE_PREFILL: Duration = Duration::from_millis(20);
/// The cost of a failure rate of 1, in prefill time.
const FAILURE_PREFILL: Duration = Duration::from_secs(2);
/// The cost of a recent refusal, in prefill time.
const FULL_PREFILL: Duration = Duration::from_millis(500);
/// The maximum jitter added to the cost of a prefill engine, as a fraction. With many instances each observes few
/// prefills, and without jitter each would stay with the engine that it tried first.
const PREFILL_JITTER: f64 = 1.0;

/// The prefill engine selected for a prompt.
#[derive(Clone, Debug)]
pub struct PrefillChoice {
    /// Tokens of this instance to be prefilled there, those of the prompt included.
    pub queued_tokens: u64,
    /// The cost used for the selection: the expected time plus penalties for failures and for another zone.
    pub cost: Duration,
    /// How long the prefill is expected to take if nothing of the prompt is cached.
    pub expected: Duration,
    /// Whether the engine already has the KV cache of the prompt, so that the time says nothing about its speed.
    pub is_cached: bool,
    /// The selected engine.
    pub upstream: Arc<UpstreamRecord>,
}

impl PrefillChoice {
    /// The choice of one engine for a prompt of `tokens` tokens.
    pub(crate) fn new(
        entry: &UpstreamEntry,
        query: &ChoiceQuery<'_>,
        tokens: u64,
        now: Instant,
    ) -> Self {
        let queued_tokens = entry.in_flight_tokens + tokens;
        let expected = entry.prefill.expected(queued_tokens, now);
        let is_cached = query.holders.contains(&entry.record.id);
        let needed = match is_cached {
            true => entry.prefill.expected(entry.in_flight_tokens, now),
            false => expected,
        };
        let mut cost = needed + FAILURE_PREFILL.mul_f64(entry.failure_share(now));
        if entry.is_full(now) {
            cost += FULL_PREFILL;
        }
        if entry.record.zone != *query.zone {
            cost += OTHER_ZONE_PREFILL;
        }
        Self {
            queued_tokens,
            cost,
            expected,
            is_cached,
            upstream: entry.record.clone(),
        }
    }
}

/// Adds jitter to a cost, different for each request and upstream.
pub(crate) fn with_jitter(cost: Duration, request: &str, upstream: &str) -> Duration {
    let sample = seeded_rng::rendezvous_score(request, upstream) as f64 / u64::MAX as f64;
    cost.mul_f64(1.0 + PREFILL_JITTER * sample)
}
