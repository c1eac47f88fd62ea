//! When callers that found no free slot are told to retry.

use {policy::SlotHoldTime, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn callers_come_back_after_the_time_that_places_are_held() {
    let mut hold_time = SlotHoldTime::new();
    for _ in 0..200 {
        hold_time.note(4 * SECOND);
    }
    let after = hold_time.retry_after("r");
    assert!(after > 2 * SECOND && after < 6 * SECOND, "{after:?}");
    for _ in 0..200 {
        hold_time.note(SECOND / 2);
    }
    assert!(hold_time.retry_after("r") < SECOND);
}

#[test]
fn callers_that_are_refused_together_do_not_come_back_together() {
    const CALLERS: u32 = 400;
    let hold_time = SlotHoldTime::new();
    let mut times: Vec<Duration> = (0..CALLERS)
        .map(|caller| hold_time.retry_after(&format!("r-{caller}")))
        .collect();
    times.sort();
    let mean = times.iter().sum::<Duration>() / CALLERS;
    assert!(mean > SECOND + SECOND / 2 && mean < 2 * SECOND + SECOND / 2);
    // About a fifth of them retries within a fifth of the jitter interval.
    let first = times
        .iter()
        .filter(|time| **time < times[0] + SECOND / 5)
        .count();
    assert!((40..=140).contains(&first), "{first}");
}

#[test]
fn one_long_stream_moves_the_time_by_little() {
    let mut hold_time = SlotHoldTime::new();
    let before = hold_time.retry_after("r");
    hold_time.note(10 * SECOND);
    let after = hold_time.retry_after("r");
    assert!(after > before && after < before + SECOND);
}
