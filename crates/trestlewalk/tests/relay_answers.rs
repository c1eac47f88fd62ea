//! What callers get from misbehaving upstreams: never another caller's answer, never a truncated answer that looks
//! complete, and never a promise that a request did not run when it may have.

mod relay_support;
mod support;

use {
    relay_support::{RelayRun, RelayTest, UpstreamMode, caller::fresh_id},
    serde_json::json,
    std::collections::BTreeMap,
    support::wait::wait_until,
};

async fn plain_run(kind: &str, count: usize, tries: u32) -> RelayRun {
    RelayTest::new()
        .plain("carta", count)
        .route("/t/", kind, "carta", &json!({"MaxAttempts": tries}))
        .start_ready()
        .await
}

fn runs(run: &RelayRun) -> usize {
    run.upstreams
        .iter()
        .map(|upstream| upstream.runs().len())
        .sum()
}

#[tokio::test]
async fn a_request_that_may_run_once_runs_once_and_its_loss_is_no_promise() {
    for mode in [
        UpstreamMode::CutBody,
        UpstreamMode::Encoded,
        UpstreamMode::Foreign,
        UpstreamMode::Reset,
        UpstreamMode::UnframedReset,
        UpstreamMode::Unsigned,
        UpstreamMode::BareRefusal(408),
        UpstreamMode::BareRefusal(429),
        UpstreamMode::BareRefusal(503),
    ] {
        let run = plain_run("unsafe", 2, 3).await;
        run.upstreams.iter().for_each(|upstream| upstream.set(mode));
        let reply = run.call("POST", "/t/1", "order").await;
        assert_eq!(reply.status(), 502, "{mode:?}");
        assert_eq!(reply.header("x-response-signature"), None, "{mode:?}");
        assert_eq!(reply.header("retry-after"), None, "{mode:?}");
        assert_eq!(runs(&run), 1, "{mode:?}");
    }
}

// Guards against a status of an engine that its caller takes for a promise: the engine ran the request and didn't deny it.
#[tokio::test]
async fn a_status_of_an_engine_alone_is_no_promise() {
    for status in [408, 429, 503] {
        let run = RelayTest::new()
            .engines("redactor", 2, 0)
            .route("/note/", "streaming", "redactor", &json!({}))
            .start_ready()
            .await;
        let mode = UpstreamMode::BareRefusal(status);
        run.upstreams.iter().for_each(|engine| engine.set(mode));
        let reply = run.stream("/note/1").await;
        assert_eq!(reply.status(), 502, "{status}");
        assert_eq!(runs(&run), 1, "{status}");
    }
}

#[tokio::test]
async fn an_idempotent_request_goes_to_another_upstream() {
    for mode in [
        UpstreamMode::CutBody,
        UpstreamMode::Foreign,
        UpstreamMode::Mute,
        UpstreamMode::Reset,
        UpstreamMode::Unsigned,
    ] {
        let run = plain_run("safe", 2, 2).await;
        run.upstreams[0].set(mode);
        run.upstreams[1].set(mode);
        let id = "00ee";
        // The upstream that is tried second answers.
        let first = run
            .call_with("GET", "/t/0", "00aa", "X-Deadline-Ms: 900\r\n", "")
            .await;
        assert!(first.status() >= 502, "{mode:?}");
        run.upstreams[1].set(UpstreamMode::Answer);
        run.upstreams[0].set(mode);
        let reply = run
            .call_with("GET", "/t/1", id, "X-Deadline-Ms: 4000\r\n", "")
            .await;
        assert_eq!(
            (reply.status(), reply.text().as_str()),
            (200, "answer to 00ee"),
            "{mode:?}"
        );
    }
}

#[tokio::test]
async fn a_refusal_of_all_upstreams_is_a_promise_with_a_time_to_come_back() {
    let run = plain_run("unsafe", 2, 1).await;
    run.upstreams
        .iter()
        .for_each(|upstream| upstream.set(UpstreamMode::Shed));
    let reply = run.call("POST", "/t/1", "order").await;
    assert_eq!(reply.status(), 503);
    let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 1.3, "{after}");
    assert_eq!(runs(&run), 0);
    assert_eq!(reply.header("trestlewalk-result"), Some("2011"));
}

#[tokio::test]
async fn a_refused_request_goes_to_another_upstream_even_when_it_may_run_once() {
    let run = plain_run("unsafe", 2, 1).await;
    run.upstreams[0].set(UpstreamMode::Shed);
    for _ in 0..6 {
        assert_eq!(run.call("POST", "/t/1", "order").await.status(), 200);
    }
    assert_eq!(runs(&run), 6);
}

#[tokio::test]
async fn a_failure_of_the_upstreams_own_comes_back_with_its_signature() {
    let run = plain_run("unsafe", 1, 1).await;
    run.upstreams[0].set(UpstreamMode::Fail);
    let reply = run.call("POST", "/t/1", "order").await;
    assert_eq!((reply.status(), reply.text().as_str()), (500, "oops"));
    assert_eq!(reply.header("x-response-signature"), Some("sig-i-carta-0"));
}

#[tokio::test]
async fn an_extra_answer_is_given_to_nobody() {
    let run = plain_run("safe", 1, 2).await;
    run.upstreams[0].set(UpstreamMode::Extra);
    for index in 0..10 {
        let id = format!("00{index:02}");
        let reply = run
            .call_with("GET", "/t/1", &id, "X-Deadline-Ms: 4000\r\n", "")
            .await;
        if reply.status() == 200 {
            assert_eq!(reply.text(), format!("answer to {id}"));
        } else {
            assert_eq!(reply.status(), 502);
        }
    }
}

/// Sends requests that may run once until a second copy of an answer has come, and checks that none ran twice and none that
/// ran was refused.
async fn check_late_refusals(mode: UpstreamMode) {
    let run = plain_run("unsafe", 2, 2).await;
    run.upstreams[0].set(mode);
    let mut statuses = BTreeMap::new();
    let late_answers = async || run.upstreams[0].state.lock().unwrap().late_answers;
    wait_until("a late refusal", async || {
        let id = fresh_id();
        let reply = run
            .call_with("POST", "/t/1", &id, "X-Deadline-Ms: 4000\r\n", "order")
            .await;
        statuses.insert(id, reply.status());
        late_answers().await > 0
    })
    .await;
    let received = run.upstreams.iter().flat_map(|upstream| upstream.runs());
    let mut ran: Vec<String> = received
        .map(|call| call.message.header("x-request-id").unwrap().to_owned())
        .collect();
    ran.sort();
    let all = ran.len();
    ran.dedup();
    assert_eq!(ran.len(), all, "a request ran twice: {ran:?}");
    for id in &ran {
        assert!([200, 502].contains(&statuses[id]), "{statuses:?}");
    }
}

// Guards against a second run, or a promise that is not kept, by the late copy of another request's refusal.
#[tokio::test]
async fn a_late_refusal_of_another_request_refuses_nothing() {
    check_late_refusals(UpstreamMode::LateRefusal).await;
}

// The same by a copy that names no request, as answers to the instance's own calls do.
#[tokio::test]
async fn a_late_refusal_that_names_no_request_refuses_nothing() {
    check_late_refusals(UpstreamMode::LateUnnamedRefusal).await;
}

// Guards against a reservation, list or order that ends as the late copy of a request's answer says.
#[tokio::test]
async fn a_late_answer_to_a_request_answers_no_own_call() {
    let run = RelayTest::new()
        .engines("redactor", 1, 0)
        .route("/note/", "streaming", "redactor", &json!({}))
        .start_ready()
        .await;
    let engine = &run.upstreams[0];
    engine.set(UpstreamMode::LateRefusal);
    let late_answers = || engine.state.lock().unwrap().late_answers;
    wait_until(
        "a refusal comes before the answer to a reservation",
        async || {
            run.stream("/note/1").await;
            late_answers() > 0
        },
    )
    .await;
    let lost = r#"trestlewalk_relay_upstream_calls_total{upstream="i-redactor-d0",verdict="lost"}"#;
    let lines = run.metric_lines(lost).await;
    let count = lines.first().and_then(|line| line.rsplit(' ').next());
    assert_eq!(
        count,
        Some(late_answers().to_string().as_str()),
        "{lines:?}"
    );
}

#[tokio::test]
async fn an_answer_without_length_is_whole_when_its_connection_ends_in_order() {
    let run = plain_run("unsafe", 1, 1).await;
    run.upstreams[0].set(UpstreamMode::Unframed);
    let reply = run.call_with("POST", "/t/1", "00ff", "", "order").await;
    assert_eq!(
        (reply.status(), reply.text().as_str()),
        (200, "answer to 00ff")
    );
}

#[tokio::test]
async fn a_silent_upstream_is_answered_for_at_the_time_limit_of_the_row() {
    let run = RelayTest::new()
        .plain("carta", 1)
        .route("/t/", "unsafe", "carta", &json!({"TimeoutMs": 300}))
        .start_ready()
        .await;
    run.upstreams[0].set(UpstreamMode::Mute);
    let reply = run.call("POST", "/t/1", "order").await;
    assert_eq!(
        (reply.status(), reply.header("trestlewalk-result")),
        (504, Some("3005"))
    );
    let sent = &run.upstreams[0].runs()[0].message;
    let left: u64 = sent.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 300, "{left}");
}

#[tokio::test]
async fn another_life_at_the_same_address_runs_nothing() {
    let run = plain_run("unsafe", 1, 1).await;
    let mut report = run.upstreams[0].report("ready");
    report["Service"] = json!("carta");
    run.store.remove("servers", "i-carta-0");
    run.store.put("servers", "i-earlier-life", &report);
    wait_until("the list is read", async || {
        run.call("POST", "/t/1", "order").await.status() == 503
    })
    .await;
    let before = runs(&run);
    assert_eq!(run.call("POST", "/t/1", "order").await.status(), 503);
    assert_eq!(runs(&run), before);
}

// Guards against a time that an upstream states and that no clock can hold: adding it ended the task of the caller's
// connection, which closed without the answer.
#[tokio::test]
async fn an_idle_timeout_beyond_all_clocks_does_not_cost_the_answer() {
    let longest = u64::MAX.to_string();
    let run = plain_run("unsafe", 1, 1).await;
    run.upstreams[0].state_idle_timeout(&longest);
    for _ in 0..3 {
        let reply = run.call("POST", "/t/1", "order").await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
    let run = RelayTest::new()
        .engines("redactor", 1, 1)
        .route("/note/", "streaming", "redactor", &json!({}))
        .start_ready()
        .await;
    let upstreams = run.upstreams.iter();
    upstreams.for_each(|upstream| upstream.state_idle_timeout(&longest));
    for _ in 0..3 {
        let reply = run.stream("/note/1").await;
        assert_eq!((reply.status(), reply.whole), (200, true));
    }
}
