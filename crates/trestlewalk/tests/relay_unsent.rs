//! Calls over connections that an upstream closes, resets or half-closes at any moment: one that counts as not sent has not
//! reached any upstream, and none reaches two.

mod relay_support;
mod support;

use {
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64,
    relay::{ConnectionError, ConnectionKey, ConnectionPool, ConnectionTimeouts},
    relay_support::{Caller, DirectFleet, UnsteadyServer, caller::request_text},
    std::{
        collections::BTreeMap,
        hint::spin_loop,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::wait::wait_for,
};

const CALLERS: usize = 4;
const CALLS_PER_CALLER: usize = 500;
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
const SEEDS: [u64; 3] = [1, 2, 3];
/// The processors are busy besides.
const BUSY_THREADS: usize = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallResult {
    Answered,
    Lost,
    Unsent,
}

/// Threads that keep processors busy until they are dropped.
struct BusyThreads(Arc<AtomicBool>);

impl BusyThreads {
    fn start() -> Self {
        let is_done = Arc::new(AtomicBool::new(false));
        for _ in 0..BUSY_THREADS {
            let is_done = is_done.clone();
            thread::spawn(move || {
                while !is_done.load(Ordering::Relaxed) {
                    spin_loop();
                }
            });
        }
        Self(is_done)
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Takes the processor from all other tasks of the runtime.
fn block_for(time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        spin_loop();
    }
}

async fn call(
    pool: &ConnectionPool,
    server: &UnsteadyServer,
    id: &str,
    body_bytes: usize,
) -> CallResult {
    let key = ConnectionKey::from("upstream");
    let request = Request::post("/x")
        .header("host", "shop.example")
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(vec![b'x'; body_bytes])))
        .unwrap();
    match pool.send(&key, server.address, request, &[]).await {
        Ok((response, connection)) => {
            assert_eq!(response.headers()["x-request-id"], id);
            if response.into_body().collect().await.is_ok() {
                pool.keep(&key, connection, Some(Duration::from_secs(5)));
            }
            CallResult::Answered
        }
        Err(ConnectionError::Garbled { .. } | ConnectionError::Lost { .. }) => CallResult::Lost,
        Err(ConnectionError::Unsent { .. }) => CallResult::Unsent,
    }
}

/// The results of calls by several callers whose runtime has little processor time.
async fn call_all(
    pool: &Arc<ConnectionPool>,
    server: &UnsteadyServer,
    seed: u64,
) -> BTreeMap<String, CallResult> {
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (pool, server) = (pool.clone(), server.clone());
        let mut rng = Pcg64::seed_from_u64(seed * 1_000 + caller as u64);
        callers.push(tokio::spawn(async move {
            let mut results = BTreeMap::new();
            for index in 0..CALLS_PER_CALLER {
                let id = format!("id-{caller}-{index}-");
                let body_bytes = match rng.random_range(0..10) {
                    0 => 1 << 20,
                    _ => 20,
                };
                let pause = Duration::from_micros(rng.random_range(0..3_000));
                // Either this task waits, or all of them do.
                match rng.random_bool(0.5) {
                    true => tokio::time::sleep(pause).await,
                    false => block_for(pause),
                }
                let calling = call(&pool, &server, &id, body_bytes);
                results.insert(id.clone(), wait_for("the end of a call", calling).await);
            }
            results
        }));
    }
    let mut all = BTreeMap::new();
    for caller in callers {
        all.extend(caller.await.unwrap());
    }
    all
}

// Guards against a promise for a call that has left: the upstream ends its idle connection in the moment of the next call.
#[tokio::test]
async fn calls_that_count_as_not_sent_have_reached_no_upstream() {
    let _busy = BusyThreads::start();
    for seed in SEEDS {
        let server = UnsteadyServer::start(seed);
        let pool = Arc::new(ConnectionPool::new(ConnectionTimeouts {
            connect: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(5),
        }));
        let results = call_all(&pool, &server, seed).await;
        let received = server.received();
        let count = |result| results.values().filter(|other| **other == result).count();
        let summary = format!(
            "seed {seed}: {} answered, {} lost, {} unsent; {}",
            count(CallResult::Answered),
            count(CallResult::Lost),
            count(CallResult::Unsent),
            server.summary(),
        );
        println!("{summary}");
        let mut untrue = Vec::new();
        for (id, result) in &results {
            let arrivals = received.get(id).copied().unwrap_or_default();
            if arrivals > 1 || arrivals == 1 && *result == CallResult::Unsent {
                untrue.push(format!("{id} {result:?}, received {arrivals} times"));
            }
        }
        assert!(untrue.is_empty(), "{summary}: {untrue:#?}");
        let is_covered = count(CallResult::Lost) > 0 && count(CallResult::Unsent) > 0;
        assert!(is_covered, "{summary}");
        assert!(server.idle_ends() > 0, "{summary}");
    }
}

/// Status and id of each request that several callers sent through an instance with little processor time.
async fn send_all(fleet: &Arc<DirectFleet>, seed: u64) -> BTreeMap<String, u16> {
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let fleet = fleet.clone();
        let mut rng = Pcg64::seed_from_u64(seed * 2_000 + number as u64);
        callers.push(tokio::spawn(async move {
            let address = fleet.instances[0].callers;
            let mut caller = Caller::connect(address).await;
            let mut statuses = BTreeMap::new();
            for index in 0..CALLS_PER_CALLER {
                let id = format!("id-{number}-{index}-");
                let pause = Duration::from_micros(rng.random_range(0..3_000));
                match rng.random_bool(0.5) {
                    true => tokio::time::sleep(pause).await,
                    false => block_for(pause),
                }
                let more = "X-Deadline-Ms: 4000\r\n";
                let text = request_text("POST", "/b/1", &id, more, "a body");
                caller.write(&text).await;
                let reply = caller.read().await;
                statuses.insert(id, reply.status());
                if reply.status() == 0 {
                    caller = Caller::connect(address).await;
                }
            }
            statuses
        }));
    }
    let mut all = BTreeMap::new();
    for caller in callers {
        all.extend(caller.await.unwrap());
    }
    all
}

// Guards against a second run, or a refusal, of a request that reached an upstream over a connection that was ending.
#[tokio::test]
async fn requests_that_reached_an_ending_connection_go_nowhere_else() {
    let _busy = BusyThreads::start();
    for seed in SEEDS {
        let fleet = Arc::new(DirectFleet::start(1).await);
        fleet.allow_retries(0);
        let servers: BTreeMap<String, UnsteadyServer> = (0..3)
            .map(|index| {
                let server = UnsteadyServer::start(seed * 10 + index);
                (format!("i-carta-{index}"), server)
            })
            .collect();
        fleet.list(0, |upstream| match servers.get(&upstream.id) {
            Some(server) => server.address,
            None => upstream.address,
        });
        let statuses = send_all(&fleet, seed).await;
        let mut arrivals: BTreeMap<String, usize> = BTreeMap::new();
        let mut idle_ends = 0;
        for server in servers.values() {
            for (id, count) in server.received() {
                *arrivals.entry(id).or_default() += count;
            }
            idle_ends += server.idle_ends();
        }
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        let mut untrue = Vec::new();
        for (id, status) in &statuses {
            *counts.entry(*status).or_default() += 1;
            let arrived = arrivals.get(id).copied().unwrap_or_default();
            if arrived > 1 || arrived == 1 && NOT_RUN.contains(status) {
                untrue.push(format!("{id} {status}, received {arrived} times"));
            }
        }
        println!("seed {seed}: {counts:?}, {idle_ends} idle connections ended");
        assert!(untrue.is_empty(), "seed {seed}: {untrue:#?}");
        assert!(counts[&200] > 0 && idle_ends > 0, "seed {seed}: {counts:?}");
    }
}
