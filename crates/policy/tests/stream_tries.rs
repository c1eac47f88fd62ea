//! Which further calls a request of a model service may make.

use policy::{AttemptEnd, RepeatRule, StreamAttempts};

fn spent() -> bool {
    false
}

fn funded() -> bool {
    true
}

fn unasked() -> bool {
    unreachable!("the budget is not asked")
}

#[test]
fn the_first_call_and_an_accepted_reading_take_nothing_out_of_the_budget() {
    let mut tries = StreamAttempts::new(RepeatRule::Once, 1);
    tries.note(AttemptEnd::Prefilled);
    assert!(tries.allow_call(unasked));
    tries.note(AttemptEnd::Ran);
    assert!(tries.has_run());
    assert!(!tries.can_continue());
}

#[test]
fn a_refused_reading_makes_the_run_a_repeated_call() {
    let mut tries = StreamAttempts::new(RepeatRule::Once, 1);
    tries.note(AttemptEnd::PrefillRefused);
    assert!(!tries.allow_call(spent));
    assert!(!tries.can_continue());
    assert!(!tries.has_run());
}

#[test]
fn a_call_that_did_not_leave_costs_nothing() {
    let mut tries = StreamAttempts::new(RepeatRule::Once, 1);
    tries.note(AttemptEnd::Unsent);
    assert!(tries.allow_call(unasked));
    assert!(tries.can_continue());
}

#[test]
fn a_retry_that_is_paid_ahead_is_not_paid_twice() {
    let mut tries = StreamAttempts::new(RepeatRule::Resumable, 2);
    tries.note(AttemptEnd::Ran);
    assert!(tries.reserve_retry(funded));
    assert!(tries.allow_call(unasked));
    assert!(!tries.allow_call(spent));
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
    let mut tries = StreamAttempts::new(RepeatRule::Resumable, 2);
    for _ in 0..4 {
        assert!(tries.can_continue());
        tries.note(AttemptEnd::Refused);
    }
    assert!(!tries.can_continue());
}

#[test]
fn a_prompt_is_read_again_only_when_the_run_after_it_is_paid_for() {
    let mut tries = StreamAttempts::new(RepeatRule::Resumable, 2);
    assert!(tries.allow_prefill(unasked));
    tries.note(AttemptEnd::Prefilled);
    tries.note(AttemptEnd::Ran);
    assert!(!tries.allow_prefill(unasked), "the run is not paid for");
    assert!(tries.reserve_retry(funded));
    assert!(!tries.allow_prefill(spent));
    assert!(tries.allow_prefill(funded));
    assert!(tries.allow_call(unasked));
}
