//! Instances that share the memory of decode engines through the scheduler of their zone.

mod relay_support;
mod support;

use {
    relay_support::{
        CallerReply, ZoneRun,
        caller::fresh_id,
        engine_answers::event_text,
        place_zone::{INSTANCES, knows_engines, scheduled_streams, scheduler, start_places},
        relay_test::STREAM_HEADERS,
    },
    std::time::{Duration, Instant},
    support::wait::wait_until,
    tokio::{task::JoinSet, time},
};

/// How long a stream stands still after its second event.
const STREAM_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a caller comes back after refusals.
const PATIENCE: Duration = Duration::from_secs(12);

/// Comes back at the time that a refusal states, as callers do.
async fn stream(run: &ZoneRun, index: usize) -> CallerReply {
    let began = Instant::now();
    let headers = STREAM_HEADERS.replace("X-Deadline-Ms: 4000", "X-Deadline-Ms: 9000");
    loop {
        let reply = run.send_as(&fresh_id(), index, "/note/1", &headers).await;
        let retry_after = reply.header("retry-after").map(str::to_owned);
        match retry_after {
            Some(after) if reply.status() == 503 && began.elapsed() < PATIENCE => {
                time::sleep(Duration::from_secs_f64(after.parse().unwrap())).await;
            }
            _ => return reply,
        }
    }
}

/// Guards against requests that fail, wait for ever or find engines taken for empty when the scheduler ends.
#[tokio::test]
async fn no_request_fails_when_the_scheduler_ends_and_the_next_instance_takes_over() {
    let mut run = start_places(STREAM_PAUSE).await;
    let first = scheduler(|_| true);
    wait_until("the scheduler is asked", async || {
        stream(&run, (first + 1) % INSTANCES).await;
        knows_engines(&run, first).await
    })
    .await;
    let callers: Vec<usize> = (0..INSTANCES).filter(|index| *index != first).collect();
    let second = scheduler(|index| index != first);
    let mut killed = run.instances.remove(first);
    let shifted = |index: usize| index - usize::from(index > first);
    let run = std::sync::Arc::new(run);
    let mut streams = JoinSet::new();
    for index in callers.iter().chain(&callers).copied().map(shifted) {
        let run = run.clone();
        streams.spawn(async move { stream(&run, index).await });
    }
    time::sleep(STREAM_PAUSE / 3).await;
    killed.process.kill().await;
    wait_until("the next instance knows the running streams", async || {
        scheduled_streams(&run, shifted(second)).await > 0
    })
    .await;
    let events: String = (1..=5).map(event_text).collect();
    while let Some(reply) = streams.join_next().await {
        let reply = reply.unwrap();
        assert_eq!(
            (reply.status(), reply.whole),
            (200, true),
            "{}",
            reply.text()
        );
        assert_eq!(reply.text(), events);
    }
    wait_until("all places are free again", async || {
        scheduled_streams(&run, shifted(second)).await == 0
    })
    .await;
}
