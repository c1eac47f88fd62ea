//! Shutdown by SIGTERM: no request in progress is cut, and late ones are refused as not run.

mod relay_support;
mod support;

use {
    relay_support::{RelayTest, UpstreamMode, caller::request_text},
    rustix::process::Signal,
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
};

#[tokio::test]
async fn a_close_finishes_what_runs_and_ends_idle_connections() {
    let mut run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut silent = run.caller().await;
    let mut kept = run.caller().await;
    kept.write(&request_text("POST", "/t/0", "0000", "", "x"))
        .await;
    assert_eq!(kept.read().await.status(), 200);
    run.upstreams[0].set(UpstreamMode::Slow(Duration::from_millis(1500)));
    let mut busy = run.caller().await;
    busy.write(&request_text("POST", "/t/1", "0001", "", "x"))
        .await;
    wait_until("the request runs", async || {
        run.upstreams[0].runs().len() == 2
    })
    .await;
    run.process.signal(Signal::TERM);
    wait_until("the instance is not ready", async || {
        run.ready_status().await == 503
    })
    .await;
    assert!(kept.ends().await);
    assert!(silent.ends().await);
    let reply = busy.read().await;
    assert_eq!(
        (reply.status(), reply.text().as_str()),
        (200, "answer to 0001")
    );
    assert!(busy.ends().await);
    assert!(run.process.wait_exit().await.success());
}

#[tokio::test]
async fn a_request_that_comes_after_the_close_began_in_earnest_is_not_run() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await;
    let mut idle = run.caller().await;
    // A long request keeps the process running.
    run.upstreams[0].set(UpstreamMode::Slow(Duration::from_secs(15)));
    let mut busy = run.caller().await;
    busy.write(&request_text(
        "POST",
        "/t/1",
        "0001",
        "X-Deadline-Ms: 60000\r\n",
        "x",
    ))
    .await;
    wait_until("the request runs", async || {
        run.upstreams[0].runs().len() == 1
    })
    .await;
    run.process.signal(Signal::TERM);
    assert!(idle.ends().await);
    let mut refused = None;
    wait_until("a late request is refused", async || {
        let reply = run.call("POST", "/t/2", "late").await;
        refused = Some(reply).filter(|reply| reply.status() == 503);
        refused.is_some()
    })
    .await;
    let reply = refused.unwrap();
    assert_eq!(reply.header("trestlewalk-result"), Some("2008"));
    assert!(reply.header("retry-after").is_some());
    assert_eq!(run.upstreams[0].runs().len(), 1);
}
