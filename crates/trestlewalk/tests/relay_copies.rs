//! Copies of an upstream's answers, and rejections that contradict themselves: no request that may run once runs twice, none
//! that ran is refused as not run, and none gets the answer to another one.

mod relay_support;
mod support;

use {
    futures_util::future::join_all,
    relay_support::{
        Caller, Contradiction, CopiedAnswer, CopyPlan, CopyTime, DirectFleet, UpstreamKind,
        UpstreamMode,
        caller::{fresh_id, request_text},
        relay_test::STREAM_HEADERS,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    support::wait::wait_until,
    tokio::sync::OnceCell,
};

const DEADLINE: &str = "X-Deadline-Ms: 4000\r\n";
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// How many callers send requests at the same time, each over one connection.
const CALLERS: usize = 3;
const REQUESTS_PER_CALLER: usize = 8;

/// How long a decode engine takes to reject a run.
const BEFORE_REFUSAL: Duration = Duration::from_millis(300);
/// Longer than an engine is avoided that has rejected a prefill.
const REJECTION_MEMORY: Duration = Duration::from_millis(2_400);
/// How often a request may go to either of two engines.
const STAGE_CHANGES: usize = 10;

static COPY_RUNS: OnceCell<Vec<WorkRun>> = OnceCell::const_new();
static CONTRADICTION_RUNS: OnceCell<Vec<WorkRun>> = OnceCell::const_new();

/// What callers and upstreams saw of some requests.
#[derive(Debug)]
struct WorkRun {
    /// The requests that one upstream received more than once, prefills aside.
    called_again: Vec<String>,
    copies: usize,
    /// The requests that ran, once for each run.
    ran: Vec<String>,
    /// Status and body by request.
    replies: BTreeMap<String, (u16, String)>,
    what: String,
}

impl WorkRun {
    /// Sends requests to upstreams that behave by `mode`.
    async fn of(mode: UpstreamMode, path: &str) -> Self {
        let fleet = DirectFleet::start(1).await;
        fleet.drop_reservations(0);
        Self::at(&fleet, mode, path).await
    }

    /// Sends streams with reservations, before whose answers no copy comes.
    async fn reserved(mode: UpstreamMode) -> Self {
        let fleet = DirectFleet::start(1).await;
        for upstream in &fleet.upstreams {
            upstream.state.lock().unwrap().copies_to_requests_only = true;
        }
        let run = Self::at(&fleet, mode, "/s/1").await;
        let what = format!("{} reserved", run.what);
        Self { what, ..run }
    }

    async fn at(fleet: &DirectFleet, mode: UpstreamMode, path: &str) -> Self {
        fleet.allow_retries(0);
        fleet
            .upstreams
            .iter()
            .for_each(|upstream| upstream.set(mode));
        let more = match path {
            "/s/1" => STREAM_HEADERS,
            _ => DEADLINE,
        };
        let address = fleet.instances[0].callers;
        let callers = (0..CALLERS).map(|_| send_in_turn(address, path, more));
        let replies = join_all(callers).await.into_iter().flatten().collect();
        Self::new(fleet, replies, format!("{mode:?} {path}"))
    }

    fn new(fleet: &DirectFleet, replies: BTreeMap<String, (u16, String)>, what: String) -> Self {
        let mut ran = Vec::new();
        let mut called_again = Vec::new();
        let mut copies = 0;
        for upstream in &fleet.upstreams {
            let mut called = BTreeSet::new();
            for received in upstream.received() {
                let id = received.message.header("x-request-id").map(str::to_owned);
                let id = id.filter(|_| received.message.header("x-stage").is_none());
                called_again.extend(id.filter(|id| !called.insert(id.clone())));
            }
            copies += upstream.state.lock().unwrap().late_answers;
            for run in upstream.runs() {
                if run.message.header("x-stage") != Some("prefill") {
                    ran.push(run.message.header("x-request-id").unwrap().to_owned());
                }
            }
        }
        Self {
            called_again,
            copies,
            ran,
            replies,
            what,
        }
    }

    /// The requests that ran more than once.
    fn repeated(&self) -> Vec<&String> {
        let count = |id| self.ran.iter().filter(|ran| *ran == id).count();
        let all = self.replies.keys();
        all.filter(|id| count(*id) > 1).collect()
    }

    /// The requests that ran and were refused as not run.
    fn refused(&self) -> Vec<&String> {
        let is_refused = |id: &&String| NOT_RUN.contains(&self.replies[*id].0);
        let refused: BTreeSet<&String> = self.ran.iter().filter(is_refused).collect();
        refused.into_iter().collect()
    }

    /// The requests that got the body of another one's answer.
    fn confused(&self) -> Vec<&String> {
        let is_confused = |(id, (_, body)): &(&String, &(u16, String))| {
            body.contains("answer to") && !body.contains(&format!("answer to {id}"))
        };
        let confused = self.replies.iter().filter(is_confused);
        confused.map(|(id, _)| id).collect()
    }
}

/// Sends requests over one connection; returns status and body of each.
async fn send_in_turn(
    address: SocketAddr,
    path: &str,
    more: &str,
) -> BTreeMap<String, (u16, String)> {
    let mut caller = Caller::connect(address).await;
    let mut replies = BTreeMap::new();
    for _ in 0..REQUESTS_PER_CALLER {
        let id = fresh_id();
        let text = request_text("POST", path, &id, more, "a body");
        caller.write(&text).await;
        let reply = caller.read().await;
        replies.insert(id, (reply.status(), reply.text()));
        if reply.status() == 0 || !reply.whole {
            caller = Caller::connect(address).await;
        }
    }
    replies
}

async fn copy_runs() -> &'static [WorkRun] {
    let run = async || {
        let mut runs = Vec::new();
        for plan in CopyPlan::all() {
            for path in ["/b/1", "/s/1"] {
                runs.push(WorkRun::of(UpstreamMode::Copies(plan), path).await);
            }
            runs.push(WorkRun::reserved(UpstreamMode::Copies(plan)).await);
        }
        runs
    };
    COPY_RUNS.get_or_init(run).await
}

async fn contradiction_runs() -> &'static [WorkRun] {
    let run = async || {
        let mut runs = Vec::new();
        for contradiction in Contradiction::ALL {
            if contradiction == Contradiction::SignedSuccess {
                continue;
            }
            for path in ["/b/1", "/s/1"] {
                let mode = UpstreamMode::Contradicts(contradiction);
                runs.push(WorkRun::of(mode, path).await);
            }
        }
        runs
    };
    CONTRADICTION_RUNS.get_or_init(run).await
}

/// The runs in which a property fails, with the number of requests at fault and one of them.
fn faults(runs: &[WorkRun], find: impl Fn(&WorkRun) -> Vec<&String>) -> Vec<String> {
    let mut faults = Vec::new();
    for run in runs {
        let found = find(run);
        let Some(first) = found.first() else {
            continue;
        };
        faults.push(format!("{}: {}, such as {first}", run.what, found.len()));
    }
    faults
}

// Guards against a table whose copies never come.
#[tokio::test]
async fn copies_come_in_each_run_whose_connections_are_used_again() {
    // The connection of a stream that failed is not.
    let is_single = |run: &&WorkRun| {
        let is_failed = run.what.contains("Failure") && run.what.contains("/s/1");
        run.what.contains("Next") && is_failed
    };
    let due = copy_runs().await.iter().filter(|run| !is_single(run));
    let without: Vec<&str> = due
        .filter(|run| run.copies == 0)
        .map(|run| run.what.as_str())
        .collect();
    assert!(without.is_empty(), "{without:#?}");
}

// Guards against the copy of an upstream's rejection of the very request that it is called for again.
#[tokio::test]
async fn no_upstream_is_called_twice_to_run_a_request() {
    let faults = faults(copy_runs().await, |run| run.called_again.iter().collect());
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a second run after a copy that is taken for a rejection.
#[tokio::test]
async fn no_copy_of_an_answer_makes_a_request_run_twice() {
    let faults = faults(copy_runs().await, WorkRun::repeated);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a promise that a copy makes for a request that runs.
#[tokio::test]
async fn no_copy_of_an_answer_refuses_a_request_that_ran() {
    let faults = faults(copy_runs().await, WorkRun::refused);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against the answer to an earlier request on the connection.
#[tokio::test]
async fn no_copy_of_an_answer_is_given_to_another_request() {
    let faults = faults(copy_runs().await, WorkRun::confused);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a table in which there is nothing to refuse or to repeat.
#[tokio::test]
async fn contradictory_rejections_of_requests_that_run_are_among_them() {
    let runs = contradiction_runs().await;
    let count = |contradiction: Contradiction| {
        let what = format!("{:?}", UpstreamMode::Contradicts(contradiction));
        let of = runs.iter().filter(|run| run.what.starts_with(&what));
        of.filter(|run| !run.ran.is_empty()).count()
    };
    for contradiction in Contradiction::ALL {
        let is_here = contradiction != Contradiction::SignedSuccess;
        let expected = match contradiction.runs_request() && is_here {
            true => 2,
            false => 0,
        };
        assert_eq!(count(contradiction), expected, "{contradiction:?}");
    }
}

// Guards against a second run after a rejection whose head or body contradicts it.
#[tokio::test]
async fn no_contradictory_rejection_makes_a_request_run_twice() {
    let faults = faults(contradiction_runs().await, WorkRun::repeated);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a promise by a rejection that contradicts itself.
#[tokio::test]
async fn no_contradictory_rejection_refuses_a_request_that_ran() {
    let faults = faults(contradiction_runs().await, WorkRun::refused);
    assert!(faults.is_empty(), "{faults:#?}");
}

// Guards against a statement that is contradicted by the signature on a success.
#[tokio::test]
async fn a_signed_success_that_states_that_it_did_not_run_is_no_rejection() {
    for path in ["/b/1", "/s/1"] {
        let mode = UpstreamMode::Contradicts(Contradiction::SignedSuccess);
        let runs = [WorkRun::of(mode, path).await];
        let repeated = faults(&runs, WorkRun::repeated);
        let refused = faults(&runs, WorkRun::refused);
        assert!(
            repeated.is_empty() && refused.is_empty(),
            "ran twice: {repeated:?}; refused, though they ran: {refused:?}"
        );
    }
}

/// When the copy of a prefill's rejection comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LateCopy {
    /// With the answer to the next call on the connection, which is the run, since engines take no reservations.
    Run,
    /// With the answer to the run, after that to its reservation.
    ReservedRun,
    /// With the answer to the next call on the connection, which is the reservation.
    Reservation,
}

/// A prefill engine answers the prefill of a request, and a decode engine rejects its run; meanwhile the prefill engine has changed
/// its stage, so that the request can run there. Returns what was seen and whether the prefill engine ran the request; with
/// `has_other` a further decode engine is free.
async fn run_over_stage_change(
    answer: CopiedAnswer,
    copy: LateCopy,
    has_other: bool,
) -> (WorkRun, bool) {
    let fleet = DirectFleet::start(1).await;
    fleet.allow_retries(0);
    if copy == LateCopy::Run {
        fleet.drop_reservations(0);
    }
    // Engines of the other kind take no stream.
    let set_kind = |id: &str, kind| fleet.upstream(id).state.lock().unwrap().kind = kind;
    for id in ["i-Decode-1", "i-Decode-2", "i-Decode-3"] {
        set_kind(id, UpstreamKind::Plain);
    }
    let (prefill, decode) = (fleet.upstream("i-Prefill-0"), fleet.upstream("i-Decode-0"));
    prefill.set(UpstreamMode::Copies(CopyPlan {
        answer,
        count: 1,
        has_interim: false,
        limit: Some(1),
        time: CopyTime::BeforeNext,
    }));
    prefill.state.lock().unwrap().copies_to_requests_only = copy == LateCopy::ReservedRun;
    // With another engine, this one is chosen only when it is no longer avoided for its rejection.
    decode.set(UpstreamMode::SlowRefusal(match has_other {
        true => REJECTION_MEMORY,
        false => BEFORE_REFUSAL,
    }));
    fleet.heal(0);
    let id = fresh_id();
    let sending = fleet.send_as(&id, 0, "POST", "/s/1", STREAM_HEADERS);
    let changing = async {
        wait_until("the prefill is received", async || {
            !prefill.received().is_empty()
        })
        .await;
        set_kind("i-Prefill-0", UpstreamKind::Decode);
        if has_other {
            set_kind("i-Decode-1", UpstreamKind::Decode);
        }
        fleet.heal(0);
    };
    let (reply, ()) = tokio::join!(sending, changing);
    let replies = BTreeMap::from([(id, (reply.status(), reply.text()))]);
    let run = WorkRun::new(&fleet, replies, format!("{answer:?} {copy:?}"));
    (run, !prefill.runs().is_empty())
}

// Guards against the copy of a rejection that names the very request, where an engine is called twice for it.
#[tokio::test]
async fn a_copied_refusal_of_a_prefill_refuses_no_run_at_the_same_engine() {
    for answer in [CopiedAnswer::Misdirected, CopiedAnswer::Refusal] {
        let (run, ran) = run_over_stage_change(answer, LateCopy::Run, false).await;
        assert!(ran, "{run:?}");
        assert!(run.refused().is_empty(), "refused, though it ran: {run:?}");
    }
}

// Guards against such a copy that comes one answer later, after that to a reservation.
#[tokio::test]
async fn a_copied_refusal_of_a_prefill_refuses_no_reserved_run_at_the_same_engine() {
    let (run, ran) =
        run_over_stage_change(CopiedAnswer::Refusal, LateCopy::ReservedRun, false).await;
    assert!(ran, "{run:?}");
    assert!(run.refused().is_empty(), "refused, though it ran: {run:?}");
}

// Guards against a reservation that is made by the copy of a prefill's rejection.
#[tokio::test]
async fn a_copied_refusal_of_a_prefill_reserves_nothing_at_the_same_engine() {
    let (run, ran) =
        run_over_stage_change(CopiedAnswer::Refusal, LateCopy::Reservation, false).await;
    assert!(!ran && run.copies == 1, "{run:?}");
    assert_eq!(run.replies.values().next().unwrap().0, 503, "{run:?}");
}

// Guards against a KV cache's name that is given to a caller as its stream.
#[tokio::test]
async fn a_copied_answer_to_a_prefill_answers_no_run_at_the_same_engine() {
    for answer in [CopiedAnswer::Failure, CopiedAnswer::Success] {
        let (run, ran) = run_over_stage_change(answer, LateCopy::Run, false).await;
        assert!(ran, "{run:?}");
        let (id, (status, body)) = run.replies.iter().next().unwrap();
        let is_own = *status == 200 && body.contains(&format!("answer to {id}"));
        let is_unknown = *status >= 500 && !NOT_RUN.contains(status);
        assert!(is_own || is_unknown, "{run:?}");
        assert!(!body.contains("Handle"), "{run:?}");
    }
}

// Guards against a second run at another engine after such a copy.
#[tokio::test]
async fn a_copied_refusal_of_a_prefill_makes_no_request_run_twice() {
    let changes = (0..STAGE_CHANGES)
        .map(|_| run_over_stage_change(CopiedAnswer::Refusal, LateCopy::Run, true));
    let runs = join_all(changes).await;
    let has_run_there = runs.iter().any(|(_, ran)| *ran);
    let all = runs.iter().map(|(run, _)| run);
    let repeated: Vec<&String> = all.flat_map(WorkRun::repeated).collect();
    assert!(repeated.is_empty(), "ran twice: {repeated:?}");
    assert!(has_run_there);
}
