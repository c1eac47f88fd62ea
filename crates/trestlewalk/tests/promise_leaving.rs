//! A leaving upstream gets no new work after a few seconds, whether the platform's list or the engine itself reports
//! it.

mod support;

use {
    plat::InstanceState,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{Fleet, FleetPlan, RelayMode, answer_check::RequestMix, wait_until},
    tokio::task::JoinSet,
};

const DECODE: &str = "gijon-decode-1";
const LEAVING_UPSTREAMS: [&str; 3] = [DECODE, "gijon-plain-1", PREFILL];
const PREFILL: &str = "gijon-prefill-1";
const REQUESTS: usize = 30;

async fn start() -> Fleet {
    let plan = FleetPlan::new()
        .entries(3)
        .prefill(2)
        .decode(2)
        .plain(2)
        .platform_set("list_lag_ms=500")
        .engine_set("decode_base_us=2000");
    Fleet::serving(plan).await
}

/// Waits until every entry instance marks the upstreams as leaving and returns how long that took.
async fn wait_known_leaving(fleet: &Fleet, upstreams: &[&str]) -> Duration {
    let started = Instant::now();
    for entry in fleet.entry_names() {
        for upstream in upstreams {
            let what = format!("{entry} marks {upstream} as leaving");
            wait_until(&what, async || {
                let dump = fleet.dump(&entry).await;
                dump["flow"]["upstreams"][*upstream]["leaving"].is_string()
            })
            .await;
        }
    }
    started.elapsed()
}

/// Counts of all runs and refusals of an upstream so far.
async fn work_counters(fleet: &Fleet, upstream: &str) -> Value {
    let counters = fleet.counters(upstream).await;
    let fields = ["decode_runs", "prefill_runs", "refused", "runs"];
    fields.map(|field| counters[field].clone()).into()
}

/// Sends plain and model requests through all entry instances and checks that all are answered.
async fn send_work(fleet: &Fleet) {
    let mut tasks = JoinSet::new();
    for number in 0..REQUESTS {
        let entries = fleet.entry_names();
        let endpoint = fleet.entry(&entries[number % entries.len()]);
        let call = endpoint.get("/services/carta/tile").work("tile");
        tasks.spawn(async move { call.send().await.code() });
    }
    let counts = RequestMix::new("report", REQUESTS, 16).run(fleet).await;
    assert_eq!(counts.complete, REQUESTS, "{counts:?}");
    assert_eq!(tasks.join_all().await, [1000; REQUESTS]);
}

/// Sends a round of requests; whether none reached the upstreams.
async fn receive_no_work(fleet: &Fleet, upstreams: &[&str]) -> bool {
    let mut before = Vec::new();
    for upstream in upstreams {
        before.push(work_counters(fleet, upstream).await);
    }
    send_work(fleet).await;
    for (upstream, before) in upstreams.iter().zip(before) {
        if work_counters(fleet, upstream).await != before {
            return false;
        }
    }
    true
}

/// Checks that the upstreams get no more work once one round has not reached them. Earlier rounds may, because the
/// allocator receives a mark only with the next load reports.
async fn check_no_new_work(fleet: &Fleet, upstreams: &[&str]) {
    let started = Instant::now();
    wait_until(
        "a round that does not reach the leaving upstreams",
        async || receive_no_work(fleet, upstreams).await,
    )
    .await;
    println!(
        "leaving: a whole round without new work {:?} after that",
        started.elapsed()
    );
    for _ in 0..3 {
        assert!(
            receive_no_work(fleet, upstreams).await,
            "new work at {upstreams:?}"
        );
    }
}

#[tokio::test]
async fn the_list_alone_is_enough() {
    let fleet = start().await;
    send_work(&fleet).await;
    for upstream in LEAVING_UPSTREAMS {
        fleet
            .set_listed_state(upstream, InstanceState::Leaving)
            .await;
    }
    let took = wait_known_leaving(&fleet, &LEAVING_UPSTREAMS).await;
    println!("leaving: by the list, which lags 500 ms: known everywhere after {took:?}");
    check_no_new_work(&fleet, &LEAVING_UPSTREAMS).await;
}

#[tokio::test]
async fn an_engines_own_word_is_enough_while_the_list_cannot_be_read() {
    let fleet = start().await;
    send_work(&fleet).await;
    fleet.set_faults("platform", json!({ "down": true })).await;
    for engine in [DECODE, PREFILL] {
        fleet.set_faults(engine, json!({ "leaving": true })).await;
    }
    let took = wait_known_leaving(&fleet, &[DECODE, PREFILL]).await;
    println!("leaving: by the engines' word alone: known everywhere after {took:?}");
    check_no_new_work(&fleet, &[DECODE, PREFILL]).await;
}

#[tokio::test]
async fn what_one_instance_alone_read_from_the_list_reaches_the_others() {
    let fleet = start().await;
    send_work(&fleet).await;
    for entry in ["gijon-2", "gijon-3"] {
        fleet.platform_relay(entry).set(RelayMode::Reset);
    }
    for upstream in LEAVING_UPSTREAMS {
        fleet
            .set_listed_state(upstream, InstanceState::Leaving)
            .await;
    }
    let took = wait_known_leaving(&fleet, &LEAVING_UPSTREAMS).await;
    println!("leaving: read by one instance of three: known everywhere after {took:?}");
    check_no_new_work(&fleet, &LEAVING_UPSTREAMS).await;
}

#[tokio::test]
async fn work_that_runs_at_a_leaving_engine_ends_there_and_it_may_come_back() {
    let fleet = start().await;
    let mix = RequestMix::new("report", REQUESTS, 300);
    let leaving = async {
        wait_until("the engine holds a stream", async || {
            fleet.held_streams(DECODE).await > 0
        })
        .await;
        for upstream in LEAVING_UPSTREAMS {
            fleet
                .set_listed_state(upstream, InstanceState::Leaving)
                .await;
        }
    };
    let (counts, ()) = tokio::join!(mix.run(&fleet), leaving);
    assert_eq!(counts.complete, REQUESTS, "{counts:?}");
    wait_known_leaving(&fleet, &LEAVING_UPSTREAMS).await;
    for upstream in LEAVING_UPSTREAMS {
        fleet.set_listed_state(upstream, InstanceState::Live).await;
    }
    wait_until("the engine gets work again", async || {
        let before = work_counters(&fleet, DECODE).await;
        send_work(&fleet).await;
        work_counters(&fleet, DECODE).await != before
    })
    .await;
}
