//! Which further calls a request of a model service may make.

use policy::{RepeatRule, StreamTries, TryEnd};

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
    let mut tries = StreamTries::new(RepeatRule::Once, 1);
    tries.note(TryEnd::Read);
    assert!(tries.take_call(unasked));
    tries.note(TryEnd::Ran);
    assert!(tries.has_run());
    assert!(!tries.may_go_on());
}

#[test]
fn a_refused_reading_makes_the_run_a_repeated_call() {
    let mut tries = StreamTries::new(RepeatRule::Once, 1);
    tries.note(TryEnd::ReadRefused);
    assert!(!tries.take_call(spent));
    assert!(!tries.may_go_on());
    assert!(!tries.has_run());
}

#[test]
fn a_call_that_did_not_leave_costs_nothing() {
    let mut tries = StreamTries::new(RepeatRule::Once, 1);
    tries.note(TryEnd::Unsent);
    assert!(tries.take_call(unasked));
    assert!(tries.may_go_on());
}

#[test]
fn a_retry_that_is_paid_ahead_is_not_paid_twice() {
    let mut tries = StreamTries::new(RepeatRule::Resumable, 2);
    tries.note(TryEnd::Ran);
    assert!(tries.pay_ahead(funded));
    assert!(tries.take_call(unasked));
    assert!(!tries.take_call(spent));
}

#[test]
fn only_a_resumable_stream_runs_again_and_no_more_often_than_its_row_says() {
    let mut once = StreamTries::new(RepeatRule::Once, 2);
    once.note(TryEnd::Ran);
    assert!(!once.may_go_on());
    let mut resumable = StreamTries::new(RepeatRule::Resumable, 2);
    resumable.note(TryEnd::Ran);
    assert!(resumable.may_go_on());
    resumable.note(TryEnd::Ran);
    assert!(!resumable.may_go_on());
}

#[test]
fn refusals_end() {
    let mut tries = StreamTries::new(RepeatRule::Resumable, 2);
    for _ in 0..4 {
        assert!(tries.may_go_on());
        tries.note(TryEnd::Refused);
    }
    assert!(!tries.may_go_on());
}

#[test]
fn a_prompt_is_read_again_only_when_the_run_after_it_is_paid_for() {
    let mut tries = StreamTries::new(RepeatRule::Resumable, 2);
    assert!(tries.take_reading(unasked));
    tries.note(TryEnd::Read);
    tries.note(TryEnd::Ran);
    assert!(!tries.take_reading(unasked), "the run is not paid for");
    assert!(tries.pay_ahead(funded));
    assert!(!tries.take_reading(spent));
    assert!(tries.take_reading(funded));
    assert!(tries.take_call(unasked));
}
