//! When callers that found no place come back.

use {policy::SlotHoldTime, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn callers_come_back_after_the_time_that_places_are_held() {
    let mut pace = SlotHoldTime::new();
    for _ in 0..200 {
        pace.note(4 * SECOND);
    }
    let after = pace.retry_after("r");
    assert!(after > 2 * SECOND && after < 6 * SECOND, "{after:?}");
    for _ in 0..200 {
        pace.note(SECOND / 2);
    }
    assert!(pace.retry_after("r") < SECOND);
}

#[test]
fn callers_that_are_refused_together_do_not_come_back_together() {
    const CALLERS: u32 = 400;
    let pace = SlotHoldTime::new();
    let mut times: Vec<Duration> = (0..CALLERS)
        .map(|caller| pace.retry_after(&format!("r-{caller}")))
        .collect();
    times.sort();
    let mean = times.iter().sum::<Duration>() / CALLERS;
    assert!(mean > SECOND + SECOND / 2 && mean < 2 * SECOND + SECOND / 2);
    // A fifth of them comes within a fifth of the spread, give or take.
    let first = times
        .iter()
        .filter(|time| **time < times[0] + SECOND / 5)
        .count();
    assert!((40..=140).contains(&first), "{first}");
}

#[test]
fn one_long_stream_moves_the_time_by_little() {
    let mut pace = SlotHoldTime::new();
    let before = pace.retry_after("r");
    pace.note(10 * SECOND);
    let after = pace.retry_after("r");
    assert!(after > before && after < before + SECOND);
}
