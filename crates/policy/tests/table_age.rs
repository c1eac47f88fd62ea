//! As of when a declaration is known to be the newest: never later than it was.

use {
    policy::{StoreClock, TableAge},
    std::time::{Duration, Instant},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_version_keeps_its_last_moment_while_the_next_one_comes_into_force() {
    let start = Instant::now();
    let mut age = TableAge::default();
    assert_eq!(age.as_of(7), None);
    age.note(7, start + millis(100));
    age.note(7, start + millis(50));
    assert_eq!(age.as_of(7), Some(start + millis(100)));
    age.note(9, start + millis(300));
    assert_eq!(age.as_of(7), Some(start + millis(100)));
    assert_eq!(age.as_of(9), Some(start + millis(300)));
    // What is told late of an older version changes nothing.
    age.note(7, start + millis(400));
    assert_eq!(age.newest(), Some((9, start + millis(300))));
    assert_eq!(age.as_of(7), Some(start + millis(100)));
}

#[test]
fn an_answer_that_was_held_back_is_as_young_as_the_stores_clock_says() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    let asked = start + millis(1_000);
    // Without an answer that came at once, as old as the question.
    assert_eq!(
        clock.answer_time(millis(70_000), asked, asked + millis(900)),
        asked
    );
    clock.note_answer(millis(70_000), start);
    // 1.8 s later by the store's clock, less a step of it.
    let given = clock.answer_time(millis(71_800), asked, start + millis(1_900));
    assert_eq!(given, start + millis(1_799));
    // The answer was long on its way: that makes it older.
    let given = clock.answer_time(millis(71_800), asked, start + millis(5_000));
    assert_eq!(given, start + millis(1_799));
    // A clock that goes wrong makes it no younger than its arrival, nor older than the question.
    let received = start + millis(1_900);
    assert_eq!(clock.answer_time(millis(99_000), asked, received), received);
    assert_eq!(clock.answer_time(millis(3), asked, received), asked);
}
