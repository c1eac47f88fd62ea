//! Instances that schedule decode places and are killed in a burst.

mod relay_support;
mod support;

use {
    relay_support::{
        Caller, ZoneRun,
        caller::{fresh_id, request_text},
        engine_answers::{EVENTS, event_text},
        place_zone::{
            INSTANCES, knows_engines, places, scheduled_streams, scheduler, start_places,
        },
        relay_test::{STREAM_HEADERS, start_again},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    support::wait::wait_until,
    tokio::{task::JoinSet, time},
};

/// More than the engines have room for.
const CALLERS_EACH: usize = 4;
/// The deadline of each attempt.
const DEADLINE: Duration = Duration::from_secs(9);
/// An answer that leaves less of the deadline comes too late.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// How long a caller comes back with one request.
const PATIENCE: Duration = Duration::from_secs(45);
/// How long a caller waits for an instance that is down before it looks again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// How long a stream stands still after its second event.
const STREAM_PAUSE: Duration = Duration::from_millis(300);

/// What became of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptEnd {
    /// A whole stream.
    Answered,
    /// Refused as not run, with a time to come back.
    Refused,
    /// The connection ended without a whole answer, or it came too late.
    Unanswered,
}

/// The callers of all instances, which send one request after another.
#[derive(Clone, Debug)]
struct BurstCallers {
    /// `None` while an instance is down.
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    is_over: Arc<AtomicBool>,
}

impl BurstCallers {
    fn new(run: &ZoneRun) -> Self {
        let instances = run.instances.iter();
        let addresses = instances.map(|instance| Some(instance.process.address("callers")));
        Self {
            addresses: Arc::new(Mutex::new(addresses.collect())),
            is_over: Arc::default(),
        }
    }

    fn set_address(&self, index: usize, address: Option<SocketAddr>) {
        self.addresses.lock().unwrap()[index] = address;
    }

    /// Sends requests to one instance until the burst is over, and one after that; returns the ends of all attempts.
    async fn call(self, index: usize) -> (usize, Vec<AttemptEnd>) {
        let mut ends = Vec::new();
        while !self.is_over.load(Ordering::Acquire) {
            self.serve_one(index, &mut ends).await;
        }
        self.serve_one(index, &mut ends).await;
        (index, ends)
    }

    /// Comes back with a request until it is answered.
    async fn serve_one(&self, index: usize, ends: &mut Vec<AttemptEnd>) {
        let until = Instant::now() + PATIENCE;
        loop {
            assert!(Instant::now() < until, "front-{}: {ends:?}", index + 1);
            let address = self.addresses.lock().unwrap()[index];
            let Some(address) = address else {
                time::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            let (end, pause) = attempt(address).await;
            ends.push(end);
            if end == AttemptEnd::Answered {
                return;
            }
            time::sleep(pause).await;
        }
    }
}

/// One attempt, and the time after which the caller is to come back.
async fn attempt(address: SocketAddr) -> (AttemptEnd, Duration) {
    let Some(mut caller) = Caller::try_connect(address).await else {
        return (AttemptEnd::Unanswered, RECONNECT_PAUSE);
    };
    let deadline = format!("X-Deadline-Ms: {}", DEADLINE.as_millis());
    let headers = STREAM_HEADERS.replace("X-Deadline-Ms: 4000", &deadline);
    let began = Instant::now();
    let text = request_text("POST", "/note/1", &fresh_id(), &headers, "the prompt");
    caller.write(&text).await;
    let reply = caller.read().await;
    let is_late = began.elapsed() + DEADLINE_MARGIN > DEADLINE;
    if reply.status() == 0 || !reply.whole || is_late {
        return (AttemptEnd::Unanswered, RECONNECT_PAUSE);
    }
    if reply.status() == 503 {
        let after = reply.header("retry-after").expect("a time to come back");
        let pause = Duration::from_secs_f64(after.parse().unwrap());
        return (AttemptEnd::Refused, pause);
    }
    let events: String = (1..=EVENTS).map(event_text).collect();
    assert_eq!((reply.status(), reply.text()), (200, events));
    (AttemptEnd::Answered, Duration::ZERO)
}

/// Whether requests wait for places at an instance that schedules.
async fn has_queue(run: &ZoneRun, index: usize) -> bool {
    let places = places(run, index).await;
    let cells = places["cells_here"].as_array().unwrap();
    cells.iter().any(|cell| cell["queue"].as_u64() > Some(0))
}

async fn kill(run: &mut ZoneRun, callers: &BurstCallers, index: usize) {
    callers.set_address(index, None);
    run.instances[index].process.kill().await;
}

async fn start(run: &mut ZoneRun, callers: &BurstCallers, index: usize) {
    let process = start_again(&format!("front-{}", index + 1), &run.folder).await;
    callers.set_address(index, Some(process.address("callers")));
    run.instances[index].process = process;
}

// Guards against requests that end with the instance that they wait on, and against a role that ends one instance after
// another: callers of one that was killed are answered when they come back.
#[tokio::test]
async fn schedulers_that_are_killed_in_a_burst_leave_no_request_of_others_unanswered() {
    let mut run = start_places(STREAM_PAUSE).await;
    let callers = BurstCallers::new(&run);
    let mut burst = JoinSet::new();
    for index in (0..INSTANCES).flat_map(|index| [index; CALLERS_EACH]) {
        burst.spawn(callers.clone().call(index));
    }
    let first = scheduler(|_| true);
    let second = scheduler(|index| index != first);
    let third = scheduler(|index| index != first && index != second);
    wait_until("requests wait on the scheduler", async || {
        knows_engines(&run, first).await && has_queue(&run, first).await
    })
    .await;
    kill(&mut run, &callers, first).await;
    wait_until("the role moved", async || {
        scheduled_streams(&run, second).await > 0
    })
    .await;
    kill(&mut run, &callers, second).await;
    wait_until("the role moved again", async || {
        scheduled_streams(&run, third).await > 0
    })
    .await;
    for index in [first, second] {
        start(&mut run, &callers, index).await;
    }
    wait_until("the role moved back", async || {
        scheduled_streams(&run, first).await > 0
    })
    .await;
    callers.is_over.store(true, Ordering::Release);
    let mut cut = 0;
    while let Some(ended) = burst.join_next().await {
        let (index, ends) = ended.unwrap();
        let is_killed = [first, second].contains(&index);
        let count = |end| ends.iter().filter(|other| **other == end).count();
        let unanswered = count(AttemptEnd::Unanswered);
        cut += unanswered;
        println!(
            "front-{}: {} answered, {} refused, {unanswered} unanswered",
            index + 1,
            count(AttemptEnd::Answered),
            count(AttemptEnd::Refused),
        );
        assert!(
            is_killed || unanswered == 0,
            "front-{}: {ends:?}",
            index + 1
        );
        let twice = ends.windows(2);
        let mut twice = twice.filter(|pair| *pair == [AttemptEnd::Unanswered; 2]);
        assert_eq!(twice.next(), None, "front-{}: {ends:?}", index + 1);
    }
    assert!(cut > 0, "no instance was killed while it served");
    for index in 0..INSTANCES {
        wait_until("all places are free again", async || {
            scheduled_streams(&run, index).await == 0
        })
        .await;
    }
}
