//! The rate limits that upstreams state: what is taken from answers, and in which order.

use {
    kernel::UpstreamId,
    policy::{CallRate, RateChange, RateStatement, RateTable},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

fn limited(rate: f64) -> RateStatement {
    RateStatement::Limited(CallRate::from(rate))
}

#[test]
fn only_unsigned_decimal_numbers_are_rates() {
    for text in [
        "", "-1", "+1", "1e300", "NaN", "inf", "1.6 rps", "1,6", "1.2.3", ".",
    ] {
        assert_eq!(CallRate::parse(text), None, "{text}");
    }
    let parsed = |text: &str| CallRate::parse(text).unwrap().per_second();
    assert_eq!(parsed("1.6"), 1.6);
    assert_eq!(parsed(" 30 "), 30.0);
    assert!(parsed("0") > 0.0);
    assert!(parsed(&"9".repeat(400)).is_finite());
    assert!(CallRate::from(f64::NAN).per_second() > 0.0);
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_call_states_none() {
    let mut table = RateTable::default();
    let id = UpstreamId::from("a");
    let start = Instant::now();
    let told = table.note_answer(&id, limited(2.0), start, start + 20 * MS);
    assert_eq!(told, Some(RateChange::Limited(CallRate::from(2.0))));
    let again = table.note_answer(&id, limited(2.0), start, start + 21 * MS);
    assert_eq!(again, None);
    let overtaken = table.note_answer(
        &id,
        RateStatement::Unlimited,
        start + 10 * MS,
        start + 30 * MS,
    );
    assert_eq!(overtaken, None);
    assert_eq!(table.limit(&id), Some(CallRate::from(2.0)));
    let lifted = table.note_answer(
        &id,
        RateStatement::Unlimited,
        start + 40 * MS,
        start + 50 * MS,
    );
    assert_eq!(lifted, Some(RateChange::Lifted));
    assert_eq!(table.limit(&id), None);
}

#[test]
fn an_unreadable_statement_is_reported_once_and_keeps_the_limit() {
    let mut table = RateTable::default();
    let id = UpstreamId::from("a");
    let now = Instant::now();
    table.note_answer(&id, limited(2.0), now, now);
    let unreadable =
        |table: &mut RateTable| table.note_answer(&id, RateStatement::Invalid, now, now);
    assert_eq!(unreadable(&mut table), Some(RateChange::Unreadable));
    assert_eq!(unreadable(&mut table), None);
    assert_eq!(table.limit(&id), Some(CallRate::from(2.0)));
    table.forget(&id);
    assert_eq!(table.limit(&id), None);
}
