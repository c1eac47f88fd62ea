//! A run lost with its connection is reported as a crash only when its upstream has crashed.

use {
    policy::{
        CrashMark, CrashReport, LossAction, LossTable, LostRun, ProbeOutcome, RequestContent,
        SuspectId, SuspectSet,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn fingerprint(target: &str) -> SuspectId {
    SuspectId::request(&RequestContent {
        body: b"the prompt",
        caller: "team-7",
        host: "shop.example",
        method: "POST",
        target,
    })
}

fn run(target: &str, ran: u64) -> LostRun {
    LostRun {
        suspects: SuspectSet::new(fingerprint(target), [].iter()),
        has_answered: true,
        ran: Duration::from_millis(ran),
    }
}

fn report(target: &str, mark: CrashMark) -> CrashReport {
    CrashReport {
        suspect: fingerprint(target),
        mark,
        upstream: Arc::from("i-1"),
    }
}

#[test]
fn all_runs_at_an_upstream_that_ended_are_reported_and_it_is_examined_once() {
    let (now, upstream) = (Instant::now(), Arc::from("i-1"));
    let mut table = LossTable::default();
    assert_eq!(
        table.note(&upstream, run("/1", 100), now),
        LossAction::Probe
    );
    assert_eq!(
        table.note(&upstream, run("/2", 2_000), now),
        LossAction::AwaitProbe
    );
    let runs = table.note_probe(&upstream, ProbeOutcome::Refused);
    let reports: Vec<CrashReport> = runs
        .iter()
        .map(|run| run.report(run.suspects.request, &upstream))
        .collect();
    let expected = [
        report("/1", CrashMark::Early),
        report("/2", CrashMark::Late),
    ];
    assert_eq!(reports, expected);
    let later = table.note(&upstream, run("/3", 5), now);
    assert_eq!(later, LossAction::Report(run("/3", 5)));
    assert_eq!(
        run("/3", 5).report(fingerprint("/3"), &upstream),
        report("/3", CrashMark::Early)
    );
}

#[test]
fn a_run_that_has_given_nothing_yet_has_hardly_begun() {
    let upstream = Arc::from("i-1");
    let mut table = LossTable::default();
    let waiting = LostRun {
        has_answered: false,
        ..run("/1", 5_000)
    };
    table.note(&upstream, waiting, Instant::now());
    let runs = table.note_probe(&upstream, ProbeOutcome::Refused);
    let reports: Vec<CrashReport> = runs
        .iter()
        .map(|run| run.report(run.suspects.request, &upstream))
        .collect();
    assert_eq!(reports, [report("/1", CrashMark::Early)]);
}

#[test]
fn an_upstream_that_answers_or_is_out_of_reach_tells_nothing() {
    let (now, upstream) = (Instant::now(), Arc::from("i-1"));
    for outcome in [ProbeOutcome::Accepted, ProbeOutcome::NoAnswer] {
        let mut table = LossTable::default();
        table.note(&upstream, run("/1", 100), now);
        assert_eq!(table.note_probe(&upstream, outcome), []);
        let next = table.note(&upstream, run("/2", 100), now);
        assert_eq!(next, LossAction::Probe);
    }
}

#[test]
fn an_end_is_forgotten() {
    let (now, upstream) = (Instant::now(), Arc::from("i-1"));
    let mut table = LossTable::default();
    table.note(&upstream, run("/1", 100), now);
    table.note_probe(&upstream, ProbeOutcome::Refused);
    let later = now + Duration::from_secs(10);
    let next = table.note(&upstream, run("/2", 100), later);
    assert_eq!(next, LossAction::Probe);
}

#[test]
fn requests_differ_by_each_part_and_not_by_where_one_ends_and_the_next_begins() {
    let parts = RequestContent {
        body: b"bc",
        caller: "team-7",
        host: "shop.example",
        method: "GET",
        target: "/a",
    };
    let other = [
        RequestContent {
            body: b"c",
            target: "/ab",
            ..parts
        },
        RequestContent {
            caller: "team-8",
            ..parts
        },
        RequestContent {
            host: "shop.test",
            ..parts
        },
        RequestContent {
            method: "PUT",
            ..parts
        },
    ];
    let own = SuspectId::request(&parts);
    for other in other {
        assert_ne!(SuspectId::request(&other), own);
    }
    assert_eq!(SuspectId::parse(&own.to_string()), Some(own));
    assert_eq!(SuspectId::parse("12"), None);
    assert_eq!(SuspectId::parse(&"+1".repeat(16)), None);
}
