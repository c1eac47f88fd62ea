//! The cooldown of an engine that refuses requests for which it had reserved a slot.

use {
    policy::RefusalCooldown,
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn one_that_turns_a_request_away_is_left_alone_at_once() {
    let now = Instant::now();
    let mut cooldown = RefusalCooldown::default();
    assert!(!cooldown.is_active(now));
    cooldown.note_refusal(false, now);
    assert!(cooldown.is_active(now + SECOND));
    assert!(!cooldown.is_active(now + 2 * SECOND));
}

#[test]
fn a_cache_that_may_have_lapsed_is_half_a_sign() {
    let now = Instant::now();
    let mut cooldown = RefusalCooldown::default();
    cooldown.note_refusal(true, now);
    assert!(!cooldown.is_active(now));
    cooldown.note_refusal(true, now);
    assert!(cooldown.is_active(now));
}

#[test]
fn a_run_clears_it() {
    let now = Instant::now();
    let mut cooldown = RefusalCooldown::default();
    cooldown.note_refusal(true, now);
    cooldown.note_run();
    cooldown.note_refusal(true, now);
    assert!(!cooldown.is_active(now));
}

#[test]
fn an_engine_that_changes_its_stage_for_ten_seconds_is_tried_three_times() {
    let start = Instant::now();
    let mut cooldown = RefusalCooldown::default();
    let mut tried = 0;
    for step in 0..200 {
        let now = start + step * SECOND / 20;
        if !cooldown.is_active(now) {
            tried += 1;
            cooldown.note_refusal(false, now);
        }
    }
    assert_eq!(tried, 3);
}

#[test]
fn signs_that_come_while_it_is_left_alone_make_it_no_longer() {
    let now = Instant::now();
    let mut cooldown = RefusalCooldown::default();
    for _ in 0..10 {
        cooldown.note_refusal(false, now);
    }
    assert!(!cooldown.is_active(now + 2 * SECOND));
}
