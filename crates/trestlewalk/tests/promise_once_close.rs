//! Hand-over of the tickets of an instance that closes gracefully to its successor.

mod support;

use support::{
    Fleet, FleetPlan, HttpCall, KEY_HEADER, RelayMode, TICKET_HEADER, start_ready, wait_until,
};

const ORIGIN: &str = "gijon-1";
const PLAIN: &str = "gijon-plain-1";
const SUCCESSORS: [&str; 2] = ["gijon-2", "gijon-3"];

async fn start(entries: usize) -> Fleet {
    start_ready(FleetPlan::new().entries(entries).plain(1)).await
}

fn confirm(fleet: &Fleet, entry: &str, run_key: &str, ticket: &str) -> HttpCall {
    let call = fleet.confirm(entry, run_key);
    call.header(TICKET_HEADER, ticket)
}

async fn close(fleet: &mut Fleet) {
    fleet.terminate(ORIGIN);
    assert_eq!(fleet.wait_exit(ORIGIN).await.code(), Some(0));
}

#[tokio::test]
async fn outstanding_tickets_run_once_at_the_successor_whoever_is_asked() {
    let mut fleet = start(3).await;
    let ticket = fleet.mint(ORIGIN).await;
    close(&mut fleet).await;
    let mut bodies = Vec::new();
    for entry in SUCCESSORS {
        let reply = confirm(&fleet, entry, "slot", &ticket).send().await;
        assert_eq!(reply.code(), 1000, "{entry}: {}", reply.text());
        bodies.push(reply.body);
    }
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn both_at_once_run_an_outstanding_ticket_once() {
    let mut fleet = start(3).await;
    let ticket = fleet.mint(ORIGIN).await;
    close(&mut fleet).await;
    let [first, second] =
        SUCCESSORS.map(|entry| confirm(&fleet, entry, "slot", &ticket).try_send());
    let (first, second) = tokio::join!(first, second);
    for reply in [first.unwrap(), second.unwrap()] {
        assert_eq!(reply.code(), 1000, "{}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 1);
}

#[tokio::test]
async fn used_tickets_and_keys_keep_their_answers_after_the_close() {
    let mut fleet = start(3).await;
    let ticket = fleet.mint(ORIGIN).await;
    let first = confirm(&fleet, ORIGIN, "slot", &ticket).send().await;
    let call = fleet.confirm(ORIGIN, "keyed").header(KEY_HEADER, "key");
    let keyed = call.send().await;
    assert_eq!((first.code(), keyed.code()), (1000, 1000));
    close(&mut fleet).await;
    for entry in SUCCESSORS {
        let reply = confirm(&fleet, entry, "slot", &ticket).send().await;
        assert_eq!(reply.body, first.body, "{}", reply.text());
        let call = fleet.confirm(entry, "keyed").header(KEY_HEADER, "key");
        let reply = call.send().await;
        assert_eq!(reply.body, keyed.body, "{}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 1);
    assert_eq!(fleet.runs("keyed").await, 1);
}

#[tokio::test]
async fn during_the_close_an_unused_ticket_runs_at_the_successor_and_a_used_one_ends_here() {
    let mut fleet = start(3).await;
    let running = fleet.mint(ORIGIN).await;
    let unused = fleet.mint(ORIGIN).await;
    let relay = fleet.upstream_relay(PLAIN);
    relay.set(RelayMode::Silent);
    let call = confirm(&fleet, ORIGIN, "running", &running);
    let call = tokio::spawn(call.try_send());
    wait_until("the relay holds the running call", async || {
        relay.held() > 0
    })
    .await;
    fleet.terminate(ORIGIN);
    wait_until("the tickets are handed over", async || {
        let dump = fleet.ticket_dump(ORIGIN).await;
        dump["happenings"]["lives_handed_over"] == 1
    })
    .await;
    let repeated = confirm(&fleet, "gijon-2", "running", &running);
    let repeated = tokio::spawn(repeated.try_send());
    let used = confirm(&fleet, ORIGIN, "unused", &unused);
    let used = tokio::spawn(used.try_send());
    wait_until(
        "the unused ticket is forwarded to the successor",
        async || {
            let dump = fleet.ticket_dump(ORIGIN).await;
            dump["happenings"]["forwarded"] == 1
        },
    )
    .await;
    relay.set(RelayMode::Open);
    let reply = call.await.unwrap().unwrap();
    assert_eq!(reply.code(), 1000, "{}", reply.text());
    let used = used.await.unwrap().unwrap();
    assert_eq!(used.code(), 1000, "{}", used.text());
    // The successor does not know the outcome of a call that still runs at the origin.
    let repeated = repeated.await.unwrap().unwrap();
    assert!(
        [1000, 3004].contains(&repeated.code()),
        "{}",
        repeated.text()
    );
    assert_eq!(fleet.wait_exit(ORIGIN).await.code(), Some(0));
    for entry in SUCCESSORS {
        let later = confirm(&fleet, entry, "running", &running).send().await;
        assert_eq!(later.body, reply.body, "{entry}: {}", later.text());
    }
    for run_key in ["running", "unused"] {
        assert_eq!(fleet.runs(run_key).await, 1, "{run_key}");
    }
}

#[tokio::test]
async fn without_a_successor_that_answers_the_tickets_run_nowhere() {
    let mut fleet = start(2).await;
    let ticket = fleet.mint(ORIGIN).await;
    fleet.pause("gijon-2").await;
    close(&mut fleet).await;
    fleet.resume("gijon-2");
    let reply = confirm(&fleet, "gijon-2", "slot", &ticket).send().await;
    assert_eq!(reply.code(), 3004, "{}", reply.text());
    assert_eq!(fleet.runs("slot").await, 0);
}

#[tokio::test]
async fn tickets_pass_through_two_closes() {
    let mut fleet = start(3).await;
    let ticket = fleet.mint(ORIGIN).await;
    close(&mut fleet).await;
    let mut holders = Vec::new();
    for entry in SUCCESSORS {
        if fleet.ticket_dump(entry).await["lives"] == 2 {
            holders.push(entry);
        }
    }
    let [holder] = holders[..] else {
        panic!("expected one successor that holds the tickets: {holders:?}");
    };
    fleet.terminate(holder);
    assert_eq!(fleet.wait_exit(holder).await.code(), Some(0));
    let last = SUCCESSORS.into_iter().find(|entry| *entry != holder);
    let last = last.expect("another instance");
    for _ in 0..2 {
        let reply = confirm(&fleet, last, "slot", &ticket).send().await;
        assert_eq!(reply.code(), 1000, "{}", reply.text());
    }
    assert_eq!(fleet.runs("slot").await, 1);
}
