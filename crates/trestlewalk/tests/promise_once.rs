//! A ticket runs a request at most once across separate entry instances.

mod support;

use {
    fake::{LengthSpread, expected_length, expected_token},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{Fleet, FleetPlan, KEY_HEADER, RelayMode, TICKET_HEADER, start_ready, wait_until},
};

const ORIGIN: &str = "gijon-1";
const OTHER: &str = "gijon-2";
const PLAIN: &str = "gijon-plain-1";
const PROMPT: &str = "Sounding gap at the north mole: note the depth.";

async fn plain_fleet(entries: usize) -> Fleet {
    start_ready(FleetPlan::new().entries(entries).plain(1)).await
}

#[tokio::test]
async fn two_submissions_of_a_ticket_at_two_instances_run_once_and_get_one_answer() {
    let fleet = plain_fleet(3).await;
    let ticket = fleet.mint(ORIGIN).await;
    let at = |entry| fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let first = tokio::spawn(at("gijon-2").try_send());
    let second = tokio::spawn(at("gijon-3").try_send());
    wait_until("the call runs and its repetition is attached", async || {
        let dump = fleet.ticket_dump(ORIGIN).await;
        dump["happenings"]["attached"] == 1 && relay.held() > 0
    })
    .await;
    relay.set(RelayMode::Open);
    let first = first.await.unwrap().unwrap();
    let second = second.await.unwrap().unwrap();
    assert_eq!((first.code(), second.code()), (1000, 1000));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_later_submission_gets_the_kept_answer_at_any_instance() {
    let fleet = plain_fleet(2).await;
    let ticket = fleet.mint(ORIGIN).await;
    let mut bodies = Vec::new();
    for entry in [OTHER, ORIGIN, OTHER] {
        let call = fleet.confirm(entry, "slot").header(TICKET_HEADER, &ticket);
        let reply = call.send().await;
        assert_eq!(reply.code(), 1000, "{}", reply.text());
        bodies.push(reply.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn an_answer_that_is_too_large_to_keep_is_not_run_again() {
    let fleet = plain_fleet(2).await;
    let ticket = fleet.mint(ORIGIN).await;
    let call = || {
        let call = fleet
            .confirm(OTHER, "slot")
            .header("x-answer-size", "200000");
        call.header(TICKET_HEADER, &ticket)
    };
    let first = call().send().await;
    assert_eq!((first.code(), first.body.len()), (1000, 200_000));
    let second = call().send().await;
    assert_eq!((second.status.as_u16(), second.code()), (409, 4003));
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn a_ticket_runs_no_other_request() {
    let fleet = plain_fleet(2).await;
    let ticket = fleet.mint(ORIGIN).await;
    let first = fleet.confirm(OTHER, "slot").header(TICKET_HEADER, &ticket);
    assert_eq!(first.send().await.code(), 1000);
    let other = fleet.confirm(OTHER, "other").body("kiln 8");
    let reply = other.header(TICKET_HEADER, &ticket).send().await;
    assert_eq!(reply.code(), 4003);
    assert_eq!(fleet.runs("other").await, 0);
}

#[tokio::test]
async fn expired_and_unknown_tickets_are_refused_as_not_run() {
    let fleet = plain_fleet(2).await;
    let expired = fleet.mint_for(ORIGIN, 1).await;
    wait_expired(Duration::from_millis(1)).await;
    let good = fleet.mint(ORIGIN).await;
    let digit = if good.ends_with('0') { '1' } else { '0' };
    let damaged = format!("{}{digit}", &good[..good.len() - 1]);
    let cases = [
        (expired.as_str(), 4001),
        (damaged.as_str(), 4002),
        ("tw1~no", 4002),
    ];
    for (ticket, code) in cases {
        let call = fleet.confirm(OTHER, "slot").header(TICKET_HEADER, ticket);
        let reply = call.send().await;
        assert_eq!(reply.code(), code, "{ticket}: {}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 0);
}

#[tokio::test]
async fn two_submissions_of_a_model_request_decode_once() {
    let plan = FleetPlan::new().entries(3).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan).await;
    let ticket = fleet.mint(ORIGIN).await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 12 });
    let at = |entry: &str| {
        let call = fleet.entry(entry).post("/v1/completions").work("single");
        call.header(TICKET_HEADER, &ticket).json(&body).try_send()
    };
    let (first, second) = tokio::join!(at("gijon-2"), at("gijon-3"));
    let text = expected_text(12);
    for reply in [first.unwrap(), second.unwrap()] {
        assert_eq!(reply.code(), 1000, "{}", reply.text());
        assert_eq!(reply.json::<Value>()["choices"][0]["text"], text);
    }
    let counters = fleet.counters("gijon-decode-1").await;
    assert_eq!(
        sum_counts(&counters["decode_runs_by_prompt"]),
        1,
        "{counters}"
    );
}

#[tokio::test]
async fn doubled_and_late_answers_reach_no_caller_twice() {
    let plan = FleetPlan::new().entries(3).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan).await;
    let faults = json!({ "duplicate_chunks": true, "slow_accept_ms": 200 });
    fleet.set_faults("gijon-decode-1", faults).await;
    let ticket = fleet.mint(ORIGIN).await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 12 });
    let at = |entry: &str| {
        let call = fleet.entry(entry).post("/v1/completions").work("single");
        call.header(TICKET_HEADER, &ticket).json(&body).try_send()
    };
    let (first, second) = tokio::join!(at("gijon-2"), at("gijon-3"));
    let (first, second) = (first.unwrap(), second.unwrap());
    assert_eq!((first.code(), second.code()), (1000, 1000));
    assert_eq!(first.body, second.body);
    let text = expected_text(12);
    assert_eq!(first.json::<Value>()["choices"][0]["text"], text);
    let counters = fleet.counters("gijon-decode-1").await;
    assert_eq!(
        sum_counts(&counters["decode_runs_by_prompt"]),
        1,
        "{counters}"
    );
}

#[tokio::test]
async fn a_stream_comes_through_another_instance_and_its_repetition_is_the_same() {
    let plan = FleetPlan::new().entries(2).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan).await;
    let ticket = fleet.mint(ORIGIN).await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 12, "stream": true });
    let mut answers = Vec::new();
    for entry in [OTHER, ORIGIN] {
        let call = fleet.entry(entry).post("/v1/completions").work("single");
        let call = call.header(TICKET_HEADER, &ticket).json(&body);
        let events = call.stream().await.all_events().await;
        assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
        answers.push(events);
    }
    assert_eq!(answers[0], answers[1]);
    let counters = fleet.counters("gijon-decode-1").await;
    assert_eq!(
        sum_counts(&counters["decode_runs_by_prompt"]),
        1,
        "{counters}"
    );
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_at_the_origin() {
    let plan = FleetPlan::new().entries(2).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan.engine_set("decode_base_us=1000000")).await;
    let ticket = fleet.mint(ORIGIN).await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 64, "stream": true });
    let call = || {
        let call = fleet.entry(OTHER).post("/v1/completions").work("single");
        call.header(TICKET_HEADER, &ticket).json(&body)
    };
    let mut stream = call().stream().await;
    assert!(stream.next_event().await.is_some());
    drop(stream);
    wait_until("the place is free", async || {
        fleet.counters("gijon-decode-1").await["places_used"] == 0
    })
    .await;
    let reply = call().send().await;
    assert_eq!(reply.code(), 3003, "{}", reply.text());
    let counters = fleet.counters("gijon-decode-1").await;
    assert_eq!(
        sum_counts(&counters["decode_runs_by_prompt"]),
        1,
        "{counters}"
    );
}

#[tokio::test]
async fn a_caller_that_leaves_before_the_head_cancels_at_the_origin() {
    let plan = FleetPlan::new().entries(2).prefill(1).decode(1).plain(1);
    let fleet = start_ready(plan.engine_set("decode_base_us=1000000")).await;
    let ticket = fleet.mint(ORIGIN).await;
    let body = json!({ "prompt": PROMPT, "max_tokens": 64 });
    let call = fleet.entry(OTHER).post("/v1/completions").work("single");
    let call = call.header(TICKET_HEADER, &ticket).json(&body);
    let call = tokio::spawn(call.try_send());
    wait_until("the request is decoding", async || {
        fleet.counters("gijon-decode-1").await["places_used"] == 1
    })
    .await;
    call.abort();
    wait_until("the place is free", async || {
        fleet.counters("gijon-decode-1").await["places_used"] == 0
    })
    .await;
    assert_eq!(fleet.counters("gijon-decode-1").await["finished"], 0);
}

#[tokio::test]
async fn the_command_line_mints_a_ticket_and_uses_it_at_another_instance() {
    let fleet = plain_fleet(2).await;
    let origin = fleet.entry(ORIGIN).address.to_string();
    let other = fleet.entry(OTHER).address.to_string();
    let minted = fleet
        .run(&["ticket", "mint", &origin, "--expires", "1min"])
        .await;
    assert_eq!(minted.status, 0, "{}", minted.stderr);
    let ticket = minted.stdout.trim();
    let args = [
        "ticket", "use", &other, "--ticket", ticket, "--work", "confirm",
    ];
    let path = ["--path", "/services/carta/slots/9"];
    let before = fleet.counters(PLAIN).await["runs"].as_u64();
    let mut answers = Vec::new();
    for _ in 0..2 {
        let used = fleet.run(&[&args[..], &path[..]].concat()).await;
        assert_eq!(used.status, 0, "{}", used.stderr);
        answers.push(used.stdout);
    }
    assert_eq!(answers[0], answers[1]);
    let after = fleet.counters(PLAIN).await["runs"].as_u64();
    assert_eq!(after, before.map(|runs| runs + 1));
}

#[tokio::test]
async fn a_full_instance_passes_nothing_on_and_says_that_it_does_not_know() {
    let plan = FleetPlan::new().entries(2).plain(1);
    let plan = plan.set("limits.open_requests=1").set("limits.queue=1");
    let fleet = start_ready(plan).await;
    let ticket = fleet.mint(ORIGIN).await;
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let first = tokio::spawn(fleet.confirm(OTHER, "first").try_send());
    wait_until("the relay holds the first call", async || relay.held() > 0).await;
    let second = fleet
        .confirm(OTHER, "second")
        .header(TICKET_HEADER, &ticket);
    let reply = second.send().await;
    assert_eq!(reply.code(), 3004, "{}", reply.text());
    assert!(reply.headers.contains_key("retry-after"));
    relay.set(RelayMode::Open);
    assert_eq!(first.await.unwrap().unwrap().code(), 1000);
    assert_eq!(fleet.runs("second").await, 0);
}

#[tokio::test]
async fn dump_and_metrics_count_what_happens_to_tickets() {
    let fleet = plain_fleet(1).await;
    let ticket = fleet.mint(ORIGIN).await;
    for _ in 0..2 {
        let call = fleet.confirm(ORIGIN, "slot").header(TICKET_HEADER, &ticket);
        assert_eq!(call.send().await.code(), 1000);
    }
    let dump = fleet.ticket_dump(ORIGIN).await;
    let counts = ["minted", "run", "repeated"].map(|name| dump["happenings"][name].as_u64());
    assert_eq!(counts, [Some(1); 3], "{dump}");
    assert_eq!((&dump["records"], &dump["open"]), (&json!(1), &json!(true)));
    let metrics = fleet.admin(ORIGIN, "/metrics").send().await.text();
    let line = "trestlewalk_tickets_total{happening=\"repeated\"} 1";
    assert!(metrics.contains(line), "{metrics}");
}

#[tokio::test]
async fn a_key_and_a_ticket_together_are_refused() {
    let fleet = plain_fleet(1).await;
    let ticket = fleet.mint(ORIGIN).await;
    let call = fleet.confirm(ORIGIN, "slot").header(TICKET_HEADER, &ticket);
    let reply = call.header(KEY_HEADER, "key").send().await;
    assert_eq!(reply.code(), 2002);
}

/// Waits until a ticket with this lifetime that was minted before this call has expired.
async fn wait_expired(lifetime: Duration) {
    // A ticket's expiry is rounded to whole milliseconds of its origin's age.
    const ROUNDING: Duration = Duration::from_millis(2);
    let minted = Instant::now();
    wait_until("the ticket expires", async || {
        minted.elapsed() > lifetime + ROUNDING
    })
    .await;
}

fn expected_text(max_tokens: u32) -> String {
    let length = expected_length(PROMPT, max_tokens, LengthSpread::default());
    let tokens = (0..length).map(|index| expected_token(PROMPT, index).to_string());
    tokens.collect()
}

fn sum_counts(counts: &Value) -> u64 {
    let counts = counts.as_object().expect("counts by name");
    counts.values().filter_map(Value::as_u64).sum()
}
