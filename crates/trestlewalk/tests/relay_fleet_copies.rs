//! A fleet in front of upstreams that send answers twice, while instances are stopped, killed and closed.

mod relay_support;
mod support;

use {
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    relay_support::{
        Caller, RelayTest, ZoneRun,
        caller::{fresh_id, request_text},
        copying_upstream::CopyingUpstream,
        relay_test::start_again,
    },
    rustix::process::Signal,
    serde_json::json,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];
const CALLERS: usize = 48;
const RUN_TIME: Duration = Duration::from_secs(5);
/// How long a run may start after the last caller has ended.
const SETTLE_TIME: Duration = Duration::from_millis(700);
const HEADERS: &str = "X-Deadline-Ms: 600\r\n";

/// The callers of a run.
#[derive(Clone, Debug, Default)]
struct Callers {
    /// Where the instances listen.
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// The status (0 for none) that each request got.
    statuses: Arc<Mutex<HashMap<String, u16>>>,
}

impl Callers {
    /// One caller: sends requests that may run once until the end.
    async fn run(self, number: usize, end: Instant) {
        let mut draw = Pcg64Mcg::seed_from_u64(number as u64);
        let mut connection: Option<Caller> = None;
        while Instant::now() < end {
            let caller = match connection.take() {
                Some(caller) => Some(caller),
                None => Caller::try_connect(self.address(number)).await,
            };
            let Some(mut caller) = caller else {
                time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let id = fresh_id();
            let text = request_text("POST", "/b/1", &id, HEADERS, &id);
            caller.write(&text).await;
            let reply = time::timeout(Duration::from_secs(1), caller.read()).await;
            let reply = reply.unwrap_or_default();
            if reply.status() == 200 {
                let answer = (reply.text(), reply.whole);
                assert_eq!(answer, (format!("answer to {id}"), true));
            }
            if reply.status() != 0 && reply.header("connection") != Some("close") {
                connection = Some(caller);
            }
            self.statuses.lock().unwrap().insert(id, reply.status());
            time::sleep(Duration::from_millis(draw.random_range(1..6))).await;
        }
    }

    fn address(&self, number: usize) -> SocketAddr {
        let addresses = self.addresses.lock().unwrap();
        addresses[number % addresses.len()]
    }
}

/// Stops, kills and closes instances one after another; those that ended start again.
async fn disturb(run: &mut ZoneRun, callers: &Callers, end: Instant) {
    let mut draw = Pcg64Mcg::seed_from_u64(7);
    while Instant::now() + Duration::from_secs(1) < end {
        let index = draw.random_range(0..run.instances.len());
        let process = &mut run.instances[index].process;
        match draw.random_range(0..3) {
            0 => {
                process.pause().await;
                time::sleep(Duration::from_millis(300)).await;
                process.signal(Signal::CONT);
            }
            kind => {
                match kind {
                    1 => process.kill().await,
                    _ => {
                        process.signal(Signal::TERM);
                        process.wait_exit().await;
                    }
                }
                let name = format!("front-{}", index + 1);
                *process = start_again(&name, &run.folder).await;
                let address = process.address("callers");
                callers.addresses.lock().unwrap()[index] = address;
            }
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a copy of a refusal that refuses or repeats a request that ran, while instances fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_copies_refuse_and_repeat_no_request_that_ran_in_a_fleet_under_faults() {
    let test = RelayTest::new().heartbeat("5s").plain("carta", 0);
    let route = json!({"TimeoutMs": 600, "TargetLatencyMs": 120});
    let mut run = test
        .route("/b/", "unsafe", "carta", &route)
        .start_zones(&ZONES, 2)
        .await;
    let mut upstreams = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let id = format!("i-carta-{index}");
        let upstream = CopyingUpstream::start(&id, zone, index as u64).await;
        run.store.put("servers", &id, &upstream.report());
        upstreams.push(upstream);
    }
    for index in 0..run.instances.len() {
        run.wait_ready(index).await;
    }
    let callers = Callers::default();
    let instances = run.instances.iter();
    let addresses = instances.map(|instance| instance.process.address("callers"));
    callers.addresses.lock().unwrap().extend(addresses);

    let end = Instant::now() + RUN_TIME;
    let mut open = JoinSet::new();
    for number in 0..CALLERS {
        open.spawn(callers.clone().run(number, end));
    }
    disturb(&mut run, &callers, end).await;
    while let Some(ended) = open.join_next().await {
        ended.unwrap();
    }
    time::sleep(SETTLE_TIME).await;

    let mut runs: HashMap<String, usize> = HashMap::new();
    for upstream in &upstreams {
        for (id, count) in upstream.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let statuses = callers.statuses.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (id, count) in &runs {
        let status = statuses.get(id);
        let is_refused = status.is_some_and(|status| [408, 421, 429, 503].contains(status));
        if *count == 1 && !is_refused {
            continue;
        }
        let lines = upstreams.iter().flat_map(|upstream| upstream.lines_of(id));
        let lines: Vec<String> = lines.collect();
        broken.push(format!("{id} got {status:?}: {}", lines.join("; ")));
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    let copies: usize = upstreams.iter().map(CopyingUpstream::copies).sum();
    println!(
        "{} requests, {served} served, {copies} copies of refusals",
        statuses.len()
    );
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(
        served >= 100 && copies >= 20,
        "{served} served, {copies} copies"
    );
}
