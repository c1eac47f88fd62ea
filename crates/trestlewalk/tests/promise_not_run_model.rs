//! Model engines: a request that is answered as not run did not run, and one that must not be repeated runs at most
//! once.

mod support;

use {
    serde_json::{Value, json},
    std::collections::BTreeMap,
    support::{
        Fleet, FleetPlan, RelayMode,
        model_work::{long_prompt, streamed_text},
        wait_until,
    },
    tokio::task::JoinSet,
};

const BATCH: usize = 24;
const DECODE_ENGINES: [&str; 2] = ["gijon-decode-1", "gijon-decode-2"];
const ONCE: &str = "single";
const PATIENT: &str = "report";
const PREFILL_ENGINES: [&str; 2] = ["gijon-prefill-1", "gijon-prefill-2"];
const TOKENS: u32 = 12;

async fn start() -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .prefill(2)
        .decode(2)
        .engine_set("decode_base_us=2000")
        .set("limits.first_byte=3s")
        .set("limits.idle=3s");
    Fleet::serving(plan).await
}

/// The result code of each request by its number; 0 when the caller's connection was lost.
async fn send_batch(fleet: &Fleet, work: &str, first: usize) -> BTreeMap<usize, u16> {
    let entries = fleet.entry_names();
    let mut tasks = JoinSet::new();
    for number in first..first + BATCH {
        let endpoint = fleet.entry(&entries[number % entries.len()]);
        let prompt = long_prompt(number, 20);
        let call = endpoint.completion(work, &prompt, TOKENS, false);
        tasks.spawn(async move {
            let reply = call.try_send().await;
            (number, reply.map_or(0, |reply| reply.code()))
        });
    }
    tasks.join_all().await.into_iter().collect()
}

/// Number of decode runs of one prompt over all engines.
async fn decode_runs(fleet: &Fleet, number: usize) -> u64 {
    let digits = prompt_digits(&long_prompt(number, 20));
    let mut runs = 0;
    for engine in DECODE_ENGINES {
        let counters = fleet.counters(engine).await;
        runs += counters["decode_runs_by_prompt"][&digits]
            .as_u64()
            .unwrap_or(0);
    }
    runs
}

/// The digits of a prompt's hash, with which every token of its answer begins.
fn prompt_digits(prompt: &str) -> String {
    let token = fake::expected_token(prompt, 0).to_string();
    token.split('-').next().unwrap().to_owned()
}

async fn prefill_runs(fleet: &Fleet) -> u64 {
    let mut runs = 0;
    for engine in PREFILL_ENGINES {
        runs += fleet.counter_sum(engine, "prefill_runs").await;
    }
    runs
}

/// Compares the result codes of a batch with the counters of the engines.
async fn check_codes(
    fleet: &Fleet,
    what: &str,
    work: &str,
    codes: &BTreeMap<usize, u16>,
    prefills: u64,
) {
    let mut tally: BTreeMap<(u16, u64), u32> = BTreeMap::new();
    for (number, code) in codes {
        let runs = decode_runs(fleet, *number).await;
        *tally.entry((*code, runs)).or_default() += 1;
        let is_not_run = (2000..3000).contains(code);
        assert!(
            !is_not_run || runs == 0,
            "{what}: {number}: {code}, {runs} runs"
        );
        assert!(
            work != ONCE || runs <= 1,
            "{what}: {number} ran {runs} times"
        );
    }
    let not_run = codes
        .values()
        .filter(|code| (2000..3000).contains(*code))
        .count();
    let max_prefills = (codes.len() - not_run) as u64;
    assert!(
        work != ONCE || prefills <= max_prefills,
        "{what}: {prefills} prefills, expected at most {max_prefills}"
    );
    println!(
        "once: {what}, {work}: (code, decode runs) = requests: {tally:?}, {prefills} prefills"
    );
}

async fn run_case(fleet: &Fleet, what: &str, engines: &[&str], faults: &Value, first: usize) {
    for engine in engines {
        fleet.set_faults(engine, faults.clone()).await;
    }
    for (work, first) in [(ONCE, first), (PATIENT, first + BATCH)] {
        let before = prefill_runs(fleet).await;
        let codes = send_batch(fleet, work, first).await;
        let prefills = prefill_runs(fleet).await - before;
        check_codes(fleet, what, work, &codes, prefills).await;
    }
    for engine in engines {
        fleet.set_faults(engine, json!({})).await;
    }
    wait_until("the engines are used again", async || {
        let call = fleet.entry("gijon-1").completion(ONCE, what, 4, false);
        call.send().await.code() == 1000
    })
    .await;
}

#[tokio::test]
async fn codes_agree_with_the_counters_under_each_fault_of_an_engine() {
    let fleet = start().await;
    let cases = [
        (
            "decode closes after reading",
            &DECODE_ENGINES,
            json!({ "close_after_read": true }),
        ),
        (
            "decode drops connections",
            &DECODE_ENGINES,
            json!({ "drop_connections": true }),
        ),
        (
            "decode gives garbage",
            &DECODE_ENGINES,
            json!({ "garbage": true }),
        ),
        (
            "prefill closes after reading",
            &PREFILL_ENGINES,
            json!({ "close_after_read": true }),
        ),
        (
            "prefill gives garbage",
            &PREFILL_ENGINES,
            json!({ "garbage": true }),
        ),
        (
            "prefill is full",
            &PREFILL_ENGINES,
            json!({ "refuse": true }),
        ),
        ("no fault", &PREFILL_ENGINES, json!({})),
    ];
    for (at, (what, engines, faults)) in cases.iter().enumerate() {
        run_case(&fleet, what, *engines, faults, at * 100).await;
    }
}

#[tokio::test]
async fn codes_agree_with_the_counters_while_the_ways_are_reset_again_and_again() {
    let fleet = start().await;
    for (at, work) in [ONCE, PATIENT].into_iter().enumerate() {
        let before = prefill_runs(&fleet).await;
        let resets = async {
            loop {
                for mode in [RelayMode::Reset, RelayMode::Open] {
                    for engine in DECODE_ENGINES.into_iter().chain(PREFILL_ENGINES) {
                        fleet.upstream_relay(engine).set(mode);
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(23)).await;
                }
            }
        };
        let codes = tokio::select! {
            codes = send_batch(&fleet, work, at * BATCH) => codes,
            () = resets => unreachable!("the resets have no end"),
        };
        for engine in DECODE_ENGINES.into_iter().chain(PREFILL_ENGINES) {
            fleet.upstream_relay(engine).set(RelayMode::Open);
        }
        let prefills = prefill_runs(&fleet).await - before;
        check_codes(&fleet, "resets", work, &codes, prefills).await;
    }
}

#[tokio::test]
async fn a_request_of_a_killed_entry_instance_is_not_run_by_another() {
    let mut fleet = start().await;
    let endpoint = fleet.entry("gijon-1");
    let prompt = long_prompt(0, 20);
    let mut reply = endpoint
        .completion(ONCE, &prompt, 2000, true)
        .stream()
        .await;
    let first = reply.next_event().await.unwrap();
    assert!(!streamed_text(&[first]).is_empty());
    fleet.kill("gijon-1").await;
    reply.all_events().await;
    assert!(
        reply.is_truncated,
        "the caller sees that the stream was truncated"
    );
    let engines = [DECODE_ENGINES, PREFILL_ENGINES].concat();
    fleet.wait_idle(&engines).await;
    assert_eq!(decode_runs(&fleet, 0).await, 1);
    assert_eq!(prefill_runs(&fleet).await, 1);
}

#[tokio::test]
async fn a_model_without_an_allocator_is_refused_as_not_run_and_not_held() {
    let fleet = FleetPlan::new().entries(1).start().await;
    fleet.put_table(support::TABLE).await;
    fleet.wait_ready("gijon-1").await;
    for _ in 0..3 {
        let call = fleet
            .entry("gijon-1")
            .completion(PATIENT, "anyone?", 4, false);
        let reply = call.send().await;
        assert_eq!(reply.code(), 2004, "{}", reply.text());
        assert!(reply.headers.contains_key("retry-after"));
    }
    wait_until("the instance holds no request", async || {
        fleet.dump("gijon-1").await["flow"]["requests"] == json!({})
    })
    .await;
}
