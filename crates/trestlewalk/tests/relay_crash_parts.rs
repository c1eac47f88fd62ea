//! A part of a prompt that crashes each engine that answers it, in requests of which no two are alike.
//!
//! Guards against a shared prompt part that crashes one engine after the other: 26 and 38 engines crashed, because each
//! request with the part had another fingerprint and none was ever lost three times.

mod relay_support;
mod support;

use {
    relay_support::{CallerReply, CrashScenario, CrashTrigger, RelayTest, ZoneRun},
    serde_json::json,
    std::time::Duration,
    support::wait::wait_until,
};

/// The part on which engines crash.
const LETHAL_PART: &str = "dead0a11";
/// The part that all requests of the route begin with.
const FIRST_PART: &str = "5c1e07a2";
/// The part that a few sound requests share with those that crash engines.
const COMPANION_PART: &str = "91bd3f06";
/// The time within which all instances know of a crash.
const UPDATE_BOUND: Duration = Duration::from_secs(3);
/// The number of crashes after which the part has to be known.
const KNOWN_CRASHES: usize = 5;
/// The number of requests with the part that may still reach engines then.
const MAX_LATE: usize = 3;
/// The header with the result code.
const RESULT: &str = "trestlewalk-result";
/// The result code of a request in quarantine.
const QUARANTINED: &str = "2019";

/// Two instances in each of two zones, with the engines of one model service.
async fn stream_zones() -> ZoneRun {
    let more = json!({"TargetGapMs": 300, "TargetLatencyMs": 2000, "MaxAttempts": 1});
    let run = RelayTest::new()
        .engines("redactor", 6, 1)
        .route("/note/", "streaming", "redactor", &more)
        .start_zones(&["gijon", "ferrol"], 2)
        .await;
    for index in 0..4 {
        wait_until("an instance serves", async || {
            stream(&run, index, &[FIRST_PART], 0).await.status() == 200
        })
        .await;
    }
    run
}

/// Sends a request with these shared parts and a last part of its own.
async fn stream(run: &ZoneRun, index: usize, shared: &[&str], serial: usize) -> CallerReply {
    let mut prefix = String::new();
    for part in shared {
        prefix += &format!("{part}:400,");
    }
    let headers = format!(
        "X-Deadline-Ms: 4000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: {prefix}e{serial:07x}:250\r\n"
    );
    let body = format!("prompt {serial}");
    run.send(index, "POST", "/note/1", &headers, &body).await
}

/// Sends lethal requests, no two alike, to one instance after the other, until `count` engines have crashed. Returns
/// the number sent.
async fn crash_engines(run: &ZoneRun, scenario: &CrashScenario, count: usize) -> usize {
    let mut serial = 0;
    while scenario.crashed() < count {
        serial += 1;
        let reply = stream(run, serial % 4, &[FIRST_PART, LETHAL_PART], serial).await;
        if is_quarantined(&reply) {
            break;
        }
    }
    serial
}

fn is_quarantined(reply: &CallerReply) -> bool {
    reply.status() == 503 && reply.header(RESULT) == Some(QUARANTINED)
}

fn is_whole(reply: &CallerReply) -> bool {
    reply.status() == 200 && reply.whole
}

// Guards against requests that crash engine after engine, each with another fingerprint.
#[tokio::test]
async fn a_prompt_part_under_which_five_engines_crashed_reaches_no_further_engine() {
    let run = stream_zones().await;
    let trigger = CrashTrigger::PromptPart(LETHAL_PART.to_owned());
    let scenario = CrashScenario::start(&run.store, &run.upstreams, trigger);
    let sent = crash_engines(&run, &scenario, KNOWN_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let tries = scenario.tries();
    for serial in sent + 1..=sent + 12 {
        stream(&run, serial % 4, &[FIRST_PART, LETHAL_PART], serial).await;
    }
    let late = scenario.tries() - tries;
    assert!(late <= MAX_LATE, "{late} of 12 reached engines");
}

// Guards against the refusal of what stands beside the cause.
#[tokio::test]
async fn requests_that_share_other_parts_with_lethal_ones_are_served() {
    let run = stream_zones().await;
    let trigger = CrashTrigger::PromptPart(LETHAL_PART.to_owned());
    let scenario = CrashScenario::start(&run.store, &run.upstreams, trigger);
    let mut refused = 0;
    let mut serial = 0;
    while scenario.crashed() < KNOWN_CRASHES && refused < 12 {
        serial += 1;
        let lethal = [FIRST_PART, COMPANION_PART, LETHAL_PART];
        let reply = stream(&run, serial % 4, &lethal, serial).await;
        refused += usize::from(is_quarantined(&reply));
    }
    tokio::time::sleep(UPDATE_BOUND).await;
    let tries = scenario.tries();
    for step in 0..12 {
        let serial = serial + 1 + step;
        let sound = stream(&run, step % 4, &[FIRST_PART, COMPANION_PART], serial).await;
        assert!(is_whole(&sound), "{sound:?}");
        let lethal = [FIRST_PART, COMPANION_PART, LETHAL_PART];
        stream(&run, step % 4, &lethal, serial).await;
    }
    let late = scenario.tries() - tries;
    assert!(late <= MAX_LATE, "{late} of 12 reached engines");
}

// Guards against a crash that closes connections in order and is taken for the end of an answer without length.
#[tokio::test]
async fn a_prompt_part_is_known_although_crashes_look_like_ends_of_answers() {
    let run = stream_zones().await;
    for upstream in &run.upstreams {
        upstream.state.lock().unwrap().unframed = true;
    }
    let trigger = CrashTrigger::PromptPart(LETHAL_PART.to_owned());
    let scenario = CrashScenario::start(&run.store, &run.upstreams, trigger);
    let sent = crash_engines(&run, &scenario, KNOWN_CRASHES).await;
    tokio::time::sleep(UPDATE_BOUND).await;
    let tries = scenario.tries();
    for serial in sent + 1..=sent + 12 {
        let reply = stream(&run, serial % 4, &[FIRST_PART, LETHAL_PART], serial).await;
        assert!(!is_whole(&reply), "{reply:?}");
    }
    let late = scenario.tries() - tries;
    assert!(late <= MAX_LATE, "{late} of 12 reached engines");
}
