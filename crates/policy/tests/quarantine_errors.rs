//! The two errors of the quarantine, counted over simulated days: a request that crashes engines is let through too
//! often, or a bystander is refused.
//!
//! Twelve engines that take five seconds to restart, streams of three seconds, callers that retry a broken stream, some
//! of them up to four times, and callers whose request crashes each engine that runs it. Reports are known everywhere
//! at once here; their propagation is tested with the instances.

use {
    kernel::seeded_rng,
    policy::{CrashMark, CrashReport, CrashTable, RequestContent, SuspectId, SuspectSet},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 12;
const DAYS: u64 = 40;
const DAY: u64 = 120_000;
const TICK: u64 = 10;
/// The interval between new streams, milliseconds: 13 per second.
const ARRIVAL_INTERVAL: u64 = 75;
const STREAM: u64 = 3_000;
const RESTART: u64 = 5_000;
/// How long a crashing request runs before its engine crashes, milliseconds.
const EARLY_CRASH: u64 = 100;
const LATE_CRASH: u64 = 1_800;
/// The delay between two attempts of a crashing request, milliseconds.
const RETRY_DELAY: u64 = 1_500;
/// The number of crashing requests; they have the lowest ids.
const CRASHING: u64 = 3;

struct Sampler(u64);

impl Sampler {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = seeded_rng::mix(self.0, b"next");
        self.0 % limit
    }
}

#[derive(Clone, Copy)]
struct Run {
    started: u64,
    engine: usize,
    request: u64,
}

#[derive(Default, Debug)]
struct DayCount {
    /// Engines crashed by the request that crashed most.
    most_crashes: u32,
    /// Requests that crash nothing.
    others: u64,
    /// Refused attempts of such requests.
    refused: u64,
    /// Such requests that ran at crashed engines, by the number of these.
    bystanders: BTreeMap<u32, u64>,
}

fn fingerprint(request: u64) -> SuspectId {
    SuspectId::request(&RequestContent {
        body: &request.to_le_bytes(),
        caller: "team-7",
        host: "shop.example",
        method: "POST",
        target: "/note/1",
    })
}

fn suspects(request: u64) -> SuspectSet {
    SuspectSet::new(fingerprint(request), [].iter())
}

/// Simulates one day; `lasts` is how long a crashing request runs before its engine crashes.
fn simulate(seed: u64, lasts: u64) -> DayCount {
    let start = Instant::now();
    let at = |now: u64| start + Duration::from_millis(now);
    let mut sampler = Sampler(seed);
    let mut table = CrashTable::new(Duration::from_secs(600));
    let mut count = DayCount::default();
    let mut incarnations = [0_u32; ENGINES];
    let mut restarted_at = [0_u64; ENGINES];
    let mut runs: Vec<Run> = Vec::new();
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    let mut crashes: BTreeMap<u64, u32> = BTreeMap::new();
    // When which request arrives; requests below `CRASHING` crash their engines.
    let mut due: Vec<(u64, u64)> = (0..CRASHING).map(|request| (10_000, request)).collect();
    let mut next = CRASHING;
    for now in (0..DAY).step_by(TICK as usize) {
        if now % ARRIVAL_INTERVAL < TICK {
            due.push((now, next));
            count.others += 1;
            next += 1;
        }
        let (arrived, later): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(when, _)| *when <= now);
        due = later;
        for (_, request) in arrived {
            let is_quarantined = table.quarantine_left(&suspects(request), at(now)).is_some();
            let available: Vec<usize> = (0..ENGINES)
                .filter(|engine| restarted_at[*engine] <= now)
                .collect();
            if is_quarantined || available.is_empty() {
                match request < CRASHING {
                    true => due.push((now + RETRY_DELAY, request)),
                    false => count.refused += u64::from(is_quarantined),
                }
                continue;
            }
            let engine = available[sampler.below(available.len() as u64) as usize];
            runs.push(Run {
                started: now,
                engine,
                request,
            });
        }
        let done = |run: &Run| run.request >= CRASHING && now - run.started >= STREAM;
        for run in runs.iter().filter(|run| done(run)) {
            table.clear(&suspects(run.request));
        }
        runs.retain(|run| !done(run));
        let causes: Vec<Run> = runs
            .iter()
            .filter(|run| run.request < CRASHING && now - run.started >= lasts)
            .copied()
            .collect();
        for cause in causes {
            if restarted_at[cause.engine] > now {
                continue;
            }
            *crashes.entry(cause.request).or_default() += 1;
            restarted_at[cause.engine] = now + RESTART;
            incarnations[cause.engine] += 1;
            let (lost, left): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.engine == cause.engine);
            runs = left;
            for run in lost {
                let report = CrashReport {
                    suspect: fingerprint(run.request),
                    mark: match now - run.started <= 1_000 {
                        true => CrashMark::Early,
                        false => CrashMark::Late,
                    },
                    upstream: format!("i-{}-{}", cause.engine, incarnations[cause.engine]).into(),
                };
                table.merge(&report, at(now), at(now));
                if run.request < CRASHING {
                    due.push((now + RETRY_DELAY, run.request));
                    continue;
                }
                let attempted = attempts.entry(run.request).or_default();
                *attempted += 1;
                // A third of the callers retry four times, the others once.
                let retries = if run.request % 3 == 0 { 4 } else { 1 };
                if *attempted <= retries {
                    due.push((now + 50 + sampler.below(300), run.request));
                }
            }
        }
    }
    count.most_crashes = crashes.values().copied().max().unwrap_or(0);
    for attempted in attempts.values() {
        *count.bystanders.entry(*attempted).or_default() += 1;
    }
    count
}

fn simulate_all(lasts: u64) -> DayCount {
    let mut all = DayCount::default();
    for seed in 0..DAYS {
        let day = simulate(seed, lasts);
        all.most_crashes = all.most_crashes.max(day.most_crashes);
        all.others += day.others;
        all.refused += day.refused;
        for (crashes, count) in day.bystanders {
            *all.bystanders.entry(crashes).or_default() += count;
        }
    }
    println!("{all:?}");
    all
}

#[test]
fn what_ends_engines_at_once_ends_three_and_nobody_beside_it_is_refused() {
    let all = simulate_all(EARLY_CRASH);
    assert!(all.others > 60_000, "{all:?}");
    assert_eq!(all.most_crashes, 3);
    assert_eq!(all.refused, 0, "{all:?}");
}

#[test]
fn what_ends_engines_later_ends_five_and_nobody_beside_it_is_refused() {
    let all = simulate_all(LATE_CRASH);
    assert_eq!(all.most_crashes, 5);
    assert_eq!(all.refused, 0, "{all:?}");
}
