//! The two errors of a quarantine, counted over seeded days: what ends upstreams is let through too often, or what ran
//! beside it is refused.
//!
//! Twelve engines that take five seconds to come back, streams of three seconds, callers that repeat a broken stream, some of
//! them up to four times, and callers whose request ends each engine that runs it. Everything is known at once here: how
//! news travel is tested with the instances.

use {
    kernel::seeded_rng,
    policy::{CrashMark, CrashReport, CrashTable, FingerprintParts, RequestFingerprint},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 12;
const DAYS: u64 = 40;
const DAY: u64 = 120_000;
const TICK: u64 = 10;
/// From one stream to the next, milliseconds: 13 a second.
const ARRIVALS: u64 = 75;
const STREAM: u64 = 3_000;
const RESTART: u64 = 5_000;
/// How long a deadly request runs before its engine ends, milliseconds.
const YOUNG_END: u64 = 100;
const OLD_END: u64 = 1_800;
/// From the end of one try of a deadly request to the next, milliseconds.
const COMES_BACK: u64 = 1_500;
const DEADLY: u64 = 3;

struct Draw(u64);

impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = seeded_rng::mix(self.0, b"next");
        self.0 % limit
    }
}

#[derive(Clone, Copy)]
struct Run {
    began: u64,
    engine: usize,
    request: u64,
}

#[derive(Default, Debug)]
struct DayCount {
    /// Engines ended by the deadly request that ended most.
    most_ends: u32,
    /// Requests that end nothing.
    others: u64,
    /// Tries of others that were refused.
    refused: u64,
    /// Others that ran at engines that ended, by how many of these.
    beside: BTreeMap<u32, u64>,
}

fn fingerprint(request: u64) -> RequestFingerprint {
    RequestFingerprint::new(&FingerprintParts {
        body: &request.to_le_bytes(),
        caller: "team-7",
        host: "shop.example",
        method: "POST",
        target: "/note/1",
    })
}

/// Plays one day; `lasts` is how long a deadly request runs before its engine ends.
fn play(seed: u64, lasts: u64) -> DayCount {
    let start = Instant::now();
    let at = |now: u64| start + Duration::from_millis(now);
    let mut draw = Draw(seed);
    let mut table = CrashTable::new(Duration::from_secs(600));
    let mut count = DayCount::default();
    let mut lives = [0_u32; ENGINES];
    let mut back = [0_u64; ENGINES];
    let mut runs: Vec<Run> = Vec::new();
    let mut tries: BTreeMap<u64, u32> = BTreeMap::new();
    let mut ends: BTreeMap<u64, u32> = BTreeMap::new();
    // When which request comes; requests below `DEADLY` are deadly.
    let mut due: Vec<(u64, u64)> = (0..DEADLY).map(|request| (10_000, request)).collect();
    let mut next = DEADLY;
    for now in (0..DAY).step_by(TICK as usize) {
        if now % ARRIVALS < TICK {
            due.push((now, next));
            count.others += 1;
            next += 1;
        }
        let (come, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(when, _)| *when <= now);
        due = later;
        for (_, request) in come {
            let is_held = table
                .quarantine_left(&fingerprint(request), at(now))
                .is_some();
            let open: Vec<usize> = (0..ENGINES).filter(|engine| back[*engine] <= now).collect();
            if is_held || open.is_empty() {
                match request < DEADLY {
                    true => due.push((now + COMES_BACK, request)),
                    false => count.refused += u64::from(is_held),
                }
                continue;
            }
            let engine = open[draw.below(open.len() as u64) as usize];
            runs.push(Run {
                began: now,
                engine,
                request,
            });
        }
        let done = |run: &Run| run.request >= DEADLY && now - run.began >= STREAM;
        for run in runs.iter().filter(|run| done(run)) {
            table.clear(fingerprint(run.request));
        }
        runs.retain(|run| !done(run));
        let causes: Vec<Run> = runs
            .iter()
            .filter(|run| run.request < DEADLY && now - run.began >= lasts)
            .copied()
            .collect();
        for cause in causes {
            if back[cause.engine] > now {
                continue;
            }
            *ends.entry(cause.request).or_default() += 1;
            back[cause.engine] = now + RESTART;
            lives[cause.engine] += 1;
            let (lost, left): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.engine == cause.engine);
            runs = left;
            for run in lost {
                let report = CrashReport {
                    fingerprint: fingerprint(run.request),
                    mark: match now - run.began <= 1_000 {
                        true => CrashMark::Early,
                        false => CrashMark::Late,
                    },
                    upstream: format!("i-{}-{}", cause.engine, lives[cause.engine]).into(),
                };
                table.merge(&report, at(now), at(now));
                if run.request < DEADLY {
                    due.push((now + COMES_BACK, run.request));
                    continue;
                }
                let tried = tries.entry(run.request).or_default();
                *tried += 1;
                // A third of the callers repeat four times, the others once.
                let repeats = if run.request % 3 == 0 { 4 } else { 1 };
                if *tried <= repeats {
                    due.push((now + 50 + draw.below(300), run.request));
                }
            }
        }
    }
    count.most_ends = ends.values().copied().max().unwrap_or(0);
    for tried in tries.values() {
        *count.beside.entry(*tried).or_default() += 1;
    }
    count
}

fn play_all(lasts: u64) -> DayCount {
    let mut all = DayCount::default();
    for seed in 0..DAYS {
        let day = play(seed, lasts);
        all.most_ends = all.most_ends.max(day.most_ends);
        all.others += day.others;
        all.refused += day.refused;
        for (ends, count) in day.beside {
            *all.beside.entry(ends).or_default() += count;
        }
    }
    println!("{all:?}");
    all
}

#[test]
fn what_ends_engines_at_once_ends_three_and_nobody_beside_it_is_refused() {
    let all = play_all(YOUNG_END);
    assert!(all.others > 60_000, "{all:?}");
    assert_eq!(all.most_ends, 3);
    assert_eq!(all.refused, 0, "{all:?}");
}

#[test]
fn what_ends_engines_later_ends_five_and_nobody_beside_it_is_refused() {
    let all = play_all(OLD_END);
    assert_eq!(all.most_ends, 5);
    assert_eq!(all.refused, 0, "{all:?}");
}
