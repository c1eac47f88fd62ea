//! Which further calls are allowed for a request of a model service.

use policy::{AttemptEnd, RepeatRule, StreamAttempts};

fn spent() -> bool {
    false
}

fn funded() -> bool {
    true
}

fn unused() -> bool {
    unreachable!("the budget must not be used")
}

#[test]
fn the_first_call_and_an_accepted_reading_take_nothing_out_of_the_budget() {
    let mut attempts = StreamAttempts::new(RepeatRule::Once, 1);
    attempts.note(AttemptEnd::Prefilled);
    assert!(attempts.allow_call(unused));
    attempts.note(AttemptEnd::Ran);
    assert!(attempts.has_run());
    assert!(!attempts.can_continue());
}

#[test]
fn a_refused_reading_makes_the_run_a_repeated_call() {
    let mut attempts = StreamAttempts::new(RepeatRule::Once, 1);
    attempts.note(AttemptEnd::PrefillRefused);
    assert!(!attempts.allow_call(spent));
    assert!(!attempts.can_continue());
    assert!(!attempts.has_run());
}

#[test]
fn a_call_that_did_not_leave_costs_nothing() {
    let mut attempts = StreamAttempts::new(RepeatRule::Once, 1);
    attempts.note(AttemptEnd::Unsent);
    assert!(attempts.allow_call(unused));
    assert!(attempts.can_continue());
}

#[test]
fn a_retry_that_is_paid_ahead_is_not_paid_twice() {
    let mut attempts = StreamAttempts::new(RepeatRule::Resumable, 2);
    attempts.note(AttemptEnd::Ran);
    assert!(attempts.reserve_retry(funded));
    assert!(attempts.allow_call(unused));
    assert!(!attempts.allow_call(spent));
}

#[test]
fn only_a_resumable_stream_runs_again_and_no_more_often_than_its_row_says() {
    let mut once = StreamAttempts::new(RepeatRule::Once, 2);
    once.note(AttemptEnd::Ran);
    assert!(!once.can_continue());
    let mut resumable = StreamAttempts::new(RepeatRule::Resumable, 2);
    resumable.note(AttemptEnd::Ran);
    assert!(resumable.can_continue());
    resumable.note(AttemptEnd::Ran);
    assert!(!resumable.can_continue());
}

#[test]
fn refusals_end() {
    let mut attempts = StreamAttempts::new(RepeatRule::Resumable, 2);
    for _ in 0..4 {
        assert!(attempts.can_continue());
        attempts.note(AttemptEnd::Refused);
    }
    assert!(!attempts.can_continue());
}

#[test]
fn a_prompt_is_read_again_only_when_the_run_after_it_is_paid_for() {
    let mut attempts = StreamAttempts::new(RepeatRule::Resumable, 2);
    assert!(attempts.allow_prefill(unused));
    attempts.note(AttemptEnd::Prefilled);
    attempts.note(AttemptEnd::Ran);
    assert!(
        !attempts.allow_prefill(unused),
        "no retry is reserved for the run"
    );
    assert!(attempts.reserve_retry(funded));
    assert!(!attempts.allow_prefill(spent));
    assert!(attempts.allow_prefill(funded));
    assert!(attempts.allow_call(unused));
}
