//! The clock includes the time during which the host was suspended.

use {
    kernel::steady_clock::{self, SuspendCount},
    std::{
        fs,
        path::Path,
        time::{Duration, Instant},
    },
};

/// Crates whose decisions depend on ages: leases, updates from the store, waiting callers.
const CRATES: [&str; 3] = ["lease", "relay", "spread"];

fn seconds(value: u64) -> Duration {
    Duration::from_secs(value)
}

#[test]
fn the_time_of_a_suspension_is_added_and_stays() {
    let count = SuspendCount::new();
    assert_eq!(count.note(seconds(100), seconds(90)), Duration::ZERO);
    assert_eq!(count.note(seconds(101), seconds(91)), Duration::ZERO);
    assert_eq!(count.note(seconds(107), seconds(92)), seconds(5));
    // The process was paused between the two readings: the result must not decrease.
    assert_eq!(count.note(seconds(108), seconds(95)), seconds(5));
    assert_eq!(count.note(seconds(120), seconds(102)), seconds(8));
}

#[test]
fn it_never_goes_back_and_is_not_behind_the_systems_clock() {
    let mut previous = steady_clock::now();
    for _ in 0..10_000 {
        let system = Instant::now();
        let now = steady_clock::now();
        assert!(now >= previous && now >= system);
        previous = now;
    }
    assert!(steady_clock::elapsed(previous) < seconds(60));
}

#[test]
fn what_rests_on_ages_reads_no_clock_that_stands_still() {
    for name in CRATES {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name);
        let mut folders = vec![folder.join("src")];
        while let Some(folder) = folders.pop() {
            for entry in fs::read_dir(folder).unwrap() {
                let path = entry.unwrap().path();
                if path.is_dir() {
                    folders.push(path);
                    continue;
                }
                let text = fs::read_to_string(&path).unwrap();
                for (number, line) in text.lines().enumerate() {
                    // Timers of the runtime only bound waits.
                    let is_timer = line.contains("time::Instant::now()");
                    let reads = line.contains("Instant::now()") || line.contains(".elapsed()");
                    let location = format!("{}:{}", path.display(), number + 1);
                    assert!(
                        !reads || is_timer || path.ends_with("start_gate.rs"),
                        "{location}"
                    );
                }
            }
        }
    }
}
