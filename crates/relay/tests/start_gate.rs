//! Requests that arrive before an instance that has just started has its first routes.

use {
    relay::StartGate,
    std::{sync::Arc, time::Duration},
    tokio::time::{self, Instant},
};

#[tokio::test(start_paused = true)]
async fn a_request_waits_until_the_first_routes_are_there() {
    let began = Instant::now();
    let gate = Arc::new(StartGate::new());
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move {
            gate.wait_at_startup().await;
            began.elapsed()
        }
    });
    time::sleep(Duration::from_millis(60)).await;
    gate.open();
    let waited = waiting.await.unwrap();
    assert!((60..65).contains(&waited.as_millis()), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn without_routes_a_young_instance_refuses_after_a_moment_and_an_older_one_at_once() {
    let gate = StartGate::new();
    let began = Instant::now();
    gate.wait_at_startup().await;
    let first = began.elapsed();
    assert!((300..305).contains(&first.as_millis()), "{first:?}");
    gate.wait_at_startup().await;
    assert_eq!(began.elapsed(), first);
}

#[tokio::test(start_paused = true)]
async fn whoever_waits_for_the_routes_waits_for_as_long_as_it_takes() {
    let gate = Arc::new(StartGate::new());
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.wait_open().await }
    });
    time::sleep(Duration::from_secs(3600)).await;
    assert!(!waiting.is_finished());
    gate.open();
    waiting.await.unwrap();
}
