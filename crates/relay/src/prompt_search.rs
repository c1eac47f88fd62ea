//! Finds the engines that hold the KV cache of a prompt, for a caller that resumes a stream.

use {
    crate::{RelayCore, SearchOutcome, UpstreamDialect},
    kernel::{ServiceId, UpstreamId, steady_clock},
    policy::UpstreamRecord,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time},
};

/// How long to wait for the answers: a few round trips, and less than another prefill takes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum size of a list, which has an entry for each prompt in the memory of an engine.
const MAX_LIST_BYTES: usize = 256 << 10;

/// The engines of a service that hold a part of a prompt, as far as they listed it in time, and how the search ended;
/// those in this availability zone are asked first.
pub async fn find_holders<D: UpstreamDialect>(
    core: &Arc<RelayCore<D>>,
    service: &ServiceId,
    part: &str,
) -> (Vec<UpstreamId>, SearchOutcome) {
    let mut asking = JoinSet::new();
    let engines = unlimited_engines(core, service);
    let settings = core.settings.load();
    let targets = core
        .parts
        .lock()
        .search_targets(engines, &settings.zone, steady_clock::now());
    for engine in targets {
        let core = core.clone();
        asking.spawn(async move { note_list(&core, &engine).await });
    }
    let outcome = wait_for_lists(&mut asking).await;
    core.counts.searches.note(outcome);
    if outcome == SearchOutcome::TimedOut {
        tracing::debug!(
            left = asking.len(),
            "some engines did not list their cached prompt parts in time"
        );
    }
    let holders = core.parts.lock().holders(part, steady_clock::now());
    (holders, outcome)
}

/// Waits until all engines have answered, but not longer than the answers are worth.
async fn wait_for_lists(asking: &mut JoinSet<bool>) -> SearchOutcome {
    let mut outcome = SearchOutcome::Complete;
    let answers = time::timeout(ANSWER_TIMEOUT, async {
        while let Some(answer) = asking.join_next().await {
            if !answer.unwrap_or_default() {
                outcome = SearchOutcome::Partial;
            }
        }
    });
    if answers.await.is_err() {
        return SearchOutcome::TimedOut;
    }
    outcome
}

/// Asks an engine for its list and records it; returns whether there was one.
async fn note_list<D: UpstreamDialect>(core: &RelayCore<D>, engine: &UpstreamRecord) -> bool {
    let call = core.dialect.held_parts_call(engine);
    let Some((status, body)) = core.ask(engine, call, MAX_LIST_BYTES).await else {
        return false;
    };
    let listed = core.dialect.held_parts_reply(&body.bytes);
    let Some(listed) = listed.filter(|_| status.is_success()) else {
        tracing::debug!(upstream = %engine.id, %status, "an engine gave no list of cached prompt parts");
        return false;
    };
    let mut parts = core.parts.lock();
    parts.note(engine.id.clone(), listed, steady_clock::now());
    true
}

/// The engines of a service that state no rate limit: a request for a list would count towards it.
fn unlimited_engines<D: UpstreamDialect>(
    core: &RelayCore<D>,
    service: &ServiceId,
) -> Vec<Arc<UpstreamRecord>> {
    let upstreams = core.upstreams.lock();
    let mut engines = upstreams.engines(service);
    engines.retain(|engine| upstreams.rates.limit(&engine.id).is_none());
    engines
}
