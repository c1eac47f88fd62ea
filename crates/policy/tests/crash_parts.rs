//! Which requests are refused for a part of their prompt that crashes upstreams.
//!
//! Guards against a shared part that crashes one upstream after the other while no two requests with it are alike, and
//! against the refusal of sound requests that share the other parts.

use {
    policy::{CrashMark, CrashReport, CrashTable, RequestContent, SuspectId, SuspectSet},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TTL: Duration = Duration::from_secs(600);
/// The interval between crashes that count one by one.
const INTERVAL: Duration = Duration::from_secs(1);

/// A request with these parts, the last one its own.
fn request(parts: &[&str], serial: u32) -> SuspectSet {
    let names: Vec<Arc<str>> = parts.iter().copied().map(Arc::from).collect();
    let id = SuspectId::request(&RequestContent {
        body: &serial.to_le_bytes(),
        caller: "team-7",
        host: "shop.example",
        method: "POST",
        target: "/note/1",
    });
    SuspectSet::new(id, names.iter())
}

/// Records that a request ran at an upstream when it crashed.
fn crash(table: &mut CrashTable, request: &SuspectSet, upstream: u32, at: Instant) {
    for suspect in request.iter() {
        let report = CrashReport {
            mark: CrashMark::Early,
            suspect,
            upstream: format!("i-{upstream}").into(),
        };
        table.merge(&report, at, at);
    }
}

/// Crashes `count` upstreams by requests with these shared parts; returns the time of the last crash.
fn crash_in_turn(table: &mut CrashTable, shared: &[&str], count: u32, start: Instant) -> Instant {
    let mut at = start;
    for upstream in 0..count {
        at = start + INTERVAL * upstream;
        let own = format!("own-{upstream}");
        let parts: Vec<&str> = shared.iter().copied().chain([own.as_str()]).collect();
        crash(table, &request(&parts, upstream), upstream, at);
    }
    at
}

fn is_refused(table: &CrashTable, parts: &[&str], at: Instant) -> bool {
    table.quarantine_left(&request(parts, 1_000), at).is_some()
}

#[test]
fn three_crashes_convict_a_part_whatever_else_a_request_holds() {
    let mut table = CrashTable::new(TTL);
    let now = crash_in_turn(&mut table, &["first", "lethal"], 2, Instant::now());
    assert!(!is_refused(&table, &["first", "lethal", "x"], now));
    let now = crash_in_turn(&mut table, &["first", "lethal"], 3, now);
    assert!(is_refused(&table, &["first", "lethal", "x"], now));
    // The last part belongs to the request, and is not what crashed the others.
    assert!(!is_refused(&table, &["first", "lethal"], now));
    assert!(!is_refused(&table, &["lethal"], now));
    assert!(!is_refused(&table, &[], now));
}

#[test]
fn sound_requests_with_the_other_parts_go_on() {
    let mut table = CrashTable::new(TTL);
    let now = crash_in_turn(&mut table, &["first", "rare", "lethal"], 3, Instant::now());
    assert!(!is_refused(&table, &["first", "x"], now));
    assert!(!is_refused(&table, &["first", "rare", "x"], now));
    assert!(is_refused(&table, &["lethal", "rare", "first", "x"], now));
}

// Parts that always stand together can't be told apart; the first request with one of them alone decides.
#[test]
fn the_cause_is_told_from_its_companions_by_what_follows() {
    let mut table = CrashTable::new(TTL);
    let now = crash_in_turn(&mut table, &["a", "b"], 3, Instant::now());
    table.clear(&request(&["a", "x"], 1_000));
    assert!(!is_refused(&table, &["a", "x"], now));
    assert!(is_refused(&table, &["b", "x"], now));
    assert!(is_refused(&table, &["a", "b", "x"], now));
}

// Requests with the lethal part that come without its former companions crash two more upstreams at most.
#[test]
fn a_cause_that_leaves_its_companions_is_refused_after_five_crashes() {
    let mut table = CrashTable::new(TTL);
    let mut now = crash_in_turn(&mut table, &["companion", "lethal"], 3, Instant::now());
    let mut crashes = 3;
    while !is_refused(&table, &["lethal", "x"], now) {
        now += INTERVAL;
        crash(
            &mut table,
            &request(&["lethal", "x"], crashes),
            crashes,
            now,
        );
        crashes += 1;
    }
    assert_eq!(crashes, 5);
}

// A popular part runs at every upstream that crashes, whatever the cause.
#[test]
fn a_part_that_is_answered_is_not_suspected() {
    let start = Instant::now();
    let mut table = CrashTable::new(TTL);
    let popular = request(&["popular", "x"], 1_000);
    for upstream in 0..20 {
        let at = start + INTERVAL * upstream;
        table.note_answered(&popular.parts, at);
        let lost = request(&["popular", "y"], upstream);
        crash(&mut table, &lost, upstream, at + INTERVAL * 4);
    }
    assert!(!is_refused(
        &table,
        &["popular", "x"],
        start + INTERVAL * 24
    ));
}

// Software may turn a part lethal that was answered before.
#[test]
fn an_answer_speaks_for_a_part_for_a_few_seconds_only() {
    let start = Instant::now();
    let mut table = CrashTable::new(TTL);
    table.note_answered(&request(&["lethal", "x"], 1_000).parts, start);
    let later = start + Duration::from_secs(6);
    let now = crash_in_turn(&mut table, &["lethal"], 3, later);
    assert!(is_refused(&table, &["lethal", "x"], now));
}

// A rack that loses power is no sign against the parts that ran there.
#[test]
fn upstreams_that_crash_together_count_once_up_to_four() {
    let now = Instant::now();
    let mut table = CrashTable::new(TTL);
    for upstream in 0..4 {
        let lost = request(&["new", "x"], upstream);
        crash(
            &mut table,
            &lost,
            upstream,
            now + Duration::from_millis(100) * upstream,
        );
    }
    assert!(!is_refused(&table, &["new", "y"], now));
    crash(&mut table, &request(&["new", "x"], 4), 4, now);
    assert!(is_refused(&table, &["new", "y"], now));
}

/// Crashes three upstreams by requests with each of two parts behind a shared one, both at a time, so fast that neither
/// of the two is convicted; returns the time of the last crash.
fn crash_by_two(table: &mut CrashTable, start: Instant) -> Instant {
    let mut at = start;
    for round in 0..3 {
        at = start + Duration::from_millis(240) * round;
        for (index, part) in ["lethal-0", "lethal-1"].into_iter().enumerate() {
            let upstream = 2 * round + index as u32;
            crash(
                table,
                &request(&["first", part, "x"], upstream),
                upstream,
                at,
            );
        }
    }
    at
}

// Guards against the refusal of all that begins like two lethal parts, whose crashes came too fast to convict them.
#[test]
fn what_two_lethal_parts_share_goes_on_although_their_crashes_came_fast() {
    let mut table = CrashTable::new(TTL);
    let now = crash_by_two(&mut table, Instant::now());
    assert!(!is_refused(&table, &["first", "x"], now));
    assert!(!is_refused(&table, &["first", "other", "x"], now));
    assert!(is_refused(&table, &["first", "lethal-0", "x"], now));
    assert!(is_refused(&table, &["first", "lethal-1", "x"], now));
}

// The same reports may come from a lethal first part, beside which two others stood by chance.
#[test]
fn a_shared_part_that_is_lethal_itself_crashes_one_more_upstream() {
    let mut table = CrashTable::new(TTL);
    let now = crash_by_two(&mut table, Instant::now());
    crash(&mut table, &request(&["first", "x"], 6), 6, now + INTERVAL);
    assert!(is_refused(&table, &["first", "x"], now + INTERVAL));
    assert!(is_refused(&table, &["first", "other", "x"], now + INTERVAL));
}

// A bystander that was lost three times must not speak for the cause.
#[test]
fn parts_that_ran_late_do_not_explain_the_crashes_of_a_lethal_one() {
    let mut table = CrashTable::new(TTL);
    let now = crash_in_turn(&mut table, &["lethal"], 4, Instant::now());
    for upstream in 0..4 {
        let report = CrashReport {
            mark: CrashMark::Late,
            suspect: SuspectId::prompt_part("bystander"),
            upstream: format!("i-{upstream}").into(),
        };
        table.merge(&report, now, now);
    }
    assert!(is_refused(&table, &["lethal", "x"], now));
}

#[test]
fn a_part_counts_once_however_often_a_request_names_it() {
    let lone = request(&["a", "x"], 1);
    assert_eq!(request(&["a", "a", "a", "x"], 1), lone);
    assert!(request(&["x"], 1).parts.is_empty());
    assert!(request(&[], 1).parts.is_empty());
    let names: Vec<String> = (0..500).map(|part| part.to_string()).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert_eq!(request(&names, 1).parts.len(), 64);
}

#[test]
fn a_part_and_a_request_are_told_apart_in_a_report() {
    let request = request(&["a", "b", "x"], 1);
    assert!(!request.request.is_prompt_part());
    assert!(request.parts.iter().all(|part| part.id.is_prompt_part()));
    for id in request.iter() {
        assert_eq!(SuspectId::parse(&id.to_string()), Some(id));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(56),
        ..ProptestConfig::default()
    })]

    /// Two instances that receive the same reports in another order, and some twice, refuse the same requests.
    #[test]
    fn the_order_of_reports_makes_no_difference(
        reports in prop::collection::vec((0..4_usize, 0..8_u32, 0..3_usize, 0..40_u64), 1..60),
        shift in any::<prop::sample::Index>(),
        repeated in 0..40_usize,
    ) {
        let marks = [CrashMark::Late, CrashMark::Early, CrashMark::Cleared];
        let names = ["a", "b", "c", "d"];
        let start = Instant::now();
        let end = start + Duration::from_secs(30);
        let reports: Vec<(CrashReport, Instant)> = reports
            .into_iter()
            .map(|(part, upstream, mark, at)| {
                let report = CrashReport {
                    mark: marks[mark],
                    suspect: SuspectId::prompt_part(names[part]),
                    upstream: format!("i-{upstream}").into(),
                };
                (report, start + Duration::from_millis(200 * at))
            })
            .collect();
        let mut shuffled = reports.clone();
        shuffled.rotate_left(shift.index(reports.len()));
        shuffled.reverse();
        shuffled.extend(reports.iter().take(repeated).cloned());
        let fill = |reports: &[(CrashReport, Instant)]| {
            let mut table = CrashTable::new(TTL);
            for (report, since) in reports {
                table.merge(report, *since, end);
            }
            table
        };
        let (first, second) = (fill(&reports), fill(&shuffled));
        prop_assert_eq!(first.rows(end), second.rows(end));
        for parts in [&["a", "x"][..], &["a", "b", "x"], &["c", "d", "a", "x"]] {
            let set = request(parts, 1);
            prop_assert_eq!(first.quarantine_left(&set, end), second.quarantine_left(&set, end));
        }
    }
}
