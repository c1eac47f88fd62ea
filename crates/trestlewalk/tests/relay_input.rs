//! Invalid input from callers is refused with a clear error, and the instance keeps serving.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, caller::request_text},
    serde_json::json,
};

async fn plain_run() -> RelayRun {
    RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({}))
        .start_ready()
        .await
}

async fn serves_on(run: &RelayRun) {
    assert_eq!(run.call("POST", "/t/1", "x").await.status(), 200);
}

#[tokio::test]
async fn a_request_with_two_ids_or_none_or_lying_headers_is_refused_and_not_sent_on() {
    let run = plain_run().await;
    for more in [
        "X-Request-Id: 0002\r\n",
        "X-Deadline-Ms: soon\r\n",
        "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 6\r\n",
        "X-Token-Usage: many\r\n",
        "X-Token-Usage: 1,2\r\nX-Prompt-Prefix: a:b\r\n",
    ] {
        let reply = run.call_with("POST", "/t/1", "0001", more, "x").await;
        assert_eq!(
            (reply.status(), reply.header("trestlewalk-result")),
            (400, Some("2002")),
            "{more}"
        );
    }
    let mut caller = run.caller().await;
    caller
        .write("GET /t/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        .await;
    assert_eq!(caller.read().await.status(), 400);
    assert_eq!(run.upstreams[0].received().len(), 0);
    serves_on(&run).await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let run = plain_run().await;
    let body = "x".repeat(70_000);
    let reply = run.call("POST", "/t/1", &body).await;
    assert_eq!(
        (reply.status(), reply.header("trestlewalk-result")),
        (413, Some("2003"))
    );
    assert_eq!(run.upstreams[0].received().len(), 0);
    serves_on(&run).await;
}

#[tokio::test]
async fn a_chunked_body_arrives_whole_and_one_that_is_cut_is_not_sent_on() {
    let run = plain_run().await;
    let head = "POST /t/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 0001\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut caller = run.caller().await;
    caller
        .write(&format!("{head}3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"))
        .await;
    assert_eq!(caller.read().await.status(), 200);
    assert_eq!(run.upstreams[0].received()[0].message.body, b"abcdefg");
    let mut caller = run.caller().await;
    caller.write(&format!("{head}3\r\nabc\r\n4\r\nde")).await;
    drop(caller);
    serves_on(&run).await;
    assert_eq!(run.upstreams[0].received().len(), 2);
}

#[tokio::test]
async fn a_header_bomb_is_refused() {
    let run = plain_run().await;
    let bomb = format!("X-Bomb: {}\r\n", "b".repeat(40_000));
    let reply = run.call_with("POST", "/t/1", "0001", &bomb, "x").await;
    assert!([0, 431].contains(&reply.status()), "{}", reply.status());
    serves_on(&run).await;
}

#[tokio::test]
async fn garbage_in_place_of_a_request_ends_the_connection() {
    let run = plain_run().await;
    let mut caller = run.caller().await;
    caller.write("\u{1}\u{2} what\r\n\r\n").await;
    assert!([0, 400].contains(&caller.read().await.status()));
    let mut slow = run.caller().await;
    slow.write("POST /t/1 HTT").await;
    serves_on(&run).await;
    slow.write("P/1.1\r\n").await;
    let rest = request_text("POST", "/t/1", "0007", "", "x");
    slow.write(rest.split_once("\r\n").unwrap().1).await;
    assert_eq!(slow.read().await.text(), "answer to 0007");
}
