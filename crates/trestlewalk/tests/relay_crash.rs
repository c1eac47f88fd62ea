//! A request that ends each upstream that begins to run it, and comes back.
//!
//! Seen: on one day one caller's request ended ten engines, another's fourteen, each within a minute; the other streams of
//! those engines broke with them. How it came about: each try has another id and arrives at another instance, and instances
//! knew a request by that id alone, so that every try was a new one. Proof: at each of twenty ends exactly one young
//! stream of the same row was lost, and the tries of one request have the same path, caller and body.

mod relay_support;
mod support;

use {
    relay_support::{CallerReply, CrashGround, RelayTest, ZoneRun, relay_test::STREAM_HEADERS},
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
};

/// The body of the request that ends upstreams.
const DEADLY: &str = "the deadly prompt";
/// Within this time all instances that the store answers know of a third end.
const NEWS_BOUND: Duration = Duration::from_secs(2);
/// The ends after which a request is sent on no more.
const ENOUGH_ENDS: usize = 3;
/// The header with the numbered result.
const RESULT: &str = "trestlewalk-result";
/// The result of a request that is in quarantine.
const QUARANTINED: &str = "2019";

/// Two instances in each of two zones, before engines of one model service.
async fn stream_zones() -> ZoneRun {
    let more = json!({"TargetGapMs": 300, "TargetLatencyMs": 2000, "MaxAttempts": 1});
    let run = RelayTest::new()
        .engines("redactor", 5, 1)
        .route("/note/", "streaming", "redactor", &more)
        .start_zones(&["gijon", "ferrol"], 2)
        .await;
    for index in 0..4 {
        wait_until("an instance serves", async || {
            stream(&run, index, "a prompt").await.status() == 200
        })
        .await;
    }
    run
}

async fn stream(run: &ZoneRun, index: usize, body: &str) -> CallerReply {
    run.send(index, "POST", "/note/1", STREAM_HEADERS, body)
        .await
}

/// Sends tries of the deadly request to one instance after the other, until so many upstreams ended.
async fn end_some(run: &ZoneRun, ground: &CrashGround, count: usize) {
    let mut index = 0;
    wait_until("upstreams end", async || {
        stream(run, index % run.instances.len(), DEADLY).await;
        index += 1;
        ground.ended() >= count
    })
    .await;
}

fn is_quarantined(reply: &CallerReply) -> bool {
    let seconds = reply
        .header("retry-after")
        .and_then(|after| after.parse().ok());
    let is_later = seconds.is_some_and(|seconds: f64| seconds > 1.0);
    reply.status() == 503 && reply.header(RESULT) == Some(QUARANTINED) && is_later
}

#[tokio::test]
async fn a_request_under_which_three_engines_ended_is_sent_to_no_further_one() {
    let run = stream_zones().await;
    let ground = CrashGround::watch(&run.store, &run.upstreams, DEADLY);
    end_some(&run, &ground, ENOUGH_ENDS).await;
    tokio::time::sleep(NEWS_BOUND).await;
    let (ended, tries) = (ground.ended(), ground.tries());
    for index in 0..12 {
        let reply = stream(&run, index % 4, DEADLY).await;
        assert!(is_quarantined(&reply), "{reply:?}");
        assert_eq!(stream(&run, index % 4, "a prompt").await.status(), 200);
    }
    assert_eq!((ground.ended(), ground.tries()), (ended, tries));
}
