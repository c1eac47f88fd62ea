//! The cost of a call to one upstream, in in-flight calls. The upstream with the lowest cost is called.

use {
    crate::{ChoiceQuery, UpstreamEntry, UpstreamStage},
    std::time::Instant,
};

/// The cost of a call to another availability zone, in in-flight calls: the latency is small compared to the work, but
/// the traffic is charged.
const OTHER_ZONE_COST: f64 = 2.0;
/// The same for a stream, which lasts for seconds and breaks when its zone is partitioned. A decode engine is not
/// slowed down by its streams until its memory is full, which it reports itself. About half of the streams that an
/// engine holds.
const OTHER_ZONE_STREAM_COST: f64 = 6.0;
/// The cost of a failure rate of 1, in in-flight calls: more than a busy upstream has.
const FAILURE_COST: f64 = 40.0;
/// The cost saved by having the KV cache of the prompt, in in-flight calls: more than the load of engines differs by, and
/// less than the cost of being full or failing.
const CACHED_GAIN: f64 = 15.0;
/// The cost saved by an idle connection, in in-flight calls. With many instances, each of them calls any one engine of
/// its zone less often than engines keep idle connections. Engines with an open connection are therefore preferred, as
/// long as none of the own calls runs there.
const CONNECTED_GAIN: f64 = 0.5;
/// The cost saved by a due call to an upstream that states a rate limit, in in-flight calls: more than an idle connection
/// saves. Only answers show when the limit ends.
pub(crate) const DUE_GAIN: f64 = 1.0;
/// The cost of being cold, in in-flight calls: more than that of another availability zone, less than that of being full.
pub(crate) const COLD_COST: f64 = 10.0;
/// The cost of having recently been full, in in-flight calls.
const FULL_COST: f64 = 20.0;
/// The number of tokens equivalent to one in-flight call: an ordinary prompt.
const TOKENS_PER_CALL: f64 = 3_000.0;

/// The cost of a call by what this instance knows of the load and the failures of an upstream.
pub(crate) fn call_cost(entry: &UpstreamEntry, query: &ChoiceQuery<'_>, now: Instant) -> f64 {
    let mut cost = f64::from(entry.in_flight).max(entry.in_flight_tokens as f64 / TOKENS_PER_CALL);
    if query.stage == UpstreamStage::Plain {
        // Counts like further calls in flight: those of other instances, which this one does not see.
        cost += entry.pace.excess(now) * (1.0 + cost);
    }
    if entry.record.zone != *query.zone {
        cost += match query.stage {
            UpstreamStage::Decode => OTHER_ZONE_STREAM_COST,
            UpstreamStage::Plain | UpstreamStage::Prefill => OTHER_ZONE_COST,
        };
    }
    if entry.is_full(now) {
        cost += FULL_COST;
    }
    if query.holders.contains(&entry.record.id) {
        cost -= CACHED_GAIN;
    }
    if query.connected.contains(&entry.record.id) {
        cost -= CONNECTED_GAIN;
    }
    // Small failure rates must not reorder similar upstreams.
    let failure = entry.failure_share(now);
    if failure > 0.05 {
        cost += FAILURE_COST * failure;
    }
    cost
}
