//! The time at which a declaration is known to be the newest is never later than it really was.

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
    // A late report of an older version changes nothing.
    age.note(7, start + millis(400));
    assert_eq!(age.newest(), Some((9, start + millis(300))));
    assert_eq!(age.as_of(7), Some(start + millis(100)));
}

#[test]
fn an_answer_that_was_held_back_is_as_young_as_the_stores_clock_says() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    let asked = start + millis(1_000);
    // Without a reference answer, the answer is as old as the question.
    assert_eq!(
        clock.answer_time(millis(70_000), asked, asked + millis(900)),
        asked
    );
    clock.note_answer(millis(70_000), start);
    // 1.8 s later by the clock of the store, less its resolution.
    let answered = clock.answer_time(millis(71_800), asked, start + millis(1_900));
    assert_eq!(answered, start + millis(1_799));
    // A long transmission makes the answer older.
    let answered = clock.answer_time(millis(71_800), asked, start + millis(5_000));
    assert_eq!(answered, start + millis(1_799));
    // Even with a wrong clock, the result is between the question and the arrival.
    let received = start + millis(1_900);
    assert_eq!(clock.answer_time(millis(99_000), asked, received), received);
    assert_eq!(clock.answer_time(millis(3), asked, received), asked);
}
