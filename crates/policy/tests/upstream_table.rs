//! Which upstream is selected for a call, and how changes of the list are applied.

use {
    kernel::{ServiceId, ZoneId},
    policy::{
        BackoffStatement, CallBlock, CallVerdict, ChoiceQuery, UpstreamRecord, UpstreamStage,
        UpstreamTable, ZoneFilter,
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn record(id: &str, zone: &str, stage: UpstreamStage) -> UpstreamRecord {
    let number: u16 = id.bytes().map(u16::from).sum();
    UpstreamRecord {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold_for: Duration::ZERO,
        id: id.into(),
        leaving: false,
        name: id.into(),
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage,
        zone: zone.into(),
    }
}

fn chosen(table: &UpstreamTable, stage: UpstreamStage, now: Instant) -> Option<String> {
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let query = ChoiceQuery {
        avoid: &[],
        filter: &ZoneFilter::default(),
        holders: &[],
        connected: &BTreeSet::new(),
        request: "r",
        service: &service,
        software: None,
        stage,
        zone: &zone,
    };
    table
        .choose(&query, now)
        .map(|record| record.id.to_string())
}

#[test]
fn the_own_zone_goes_first_until_it_is_busy() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let near = record("a", "near", UpstreamStage::Plain);
    let far = record("b", "far", UpstreamStage::Plain);
    table.replace(&[near.clone(), far], None, now);
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, now).as_deref(),
        Some("a")
    );
    for _ in 0..3 {
        table.begin(&near.id, 0);
    }
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, now).as_deref(),
        Some("b")
    );
    for _ in 0..3 {
        table.end(&near.id, 0, CallVerdict::Answered, now);
    }
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, now).as_deref(),
        Some("a")
    );
}

#[test]
fn a_stream_stays_in_its_zone_until_the_engines_there_are_full() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let near = record("a", "near", UpstreamStage::Decode);
    let far = record("b", "far", UpstreamStage::Decode);
    table.replace(&[near.clone(), far], None, now);
    for _ in 0..5 {
        table.begin(&near.id, 3_000);
    }
    assert_eq!(
        chosen(&table, UpstreamStage::Decode, now).as_deref(),
        Some("a")
    );
    table.begin(&near.id, 3_000);
    table.end(&near.id, 3_000, CallVerdict::Full, now);
    assert_eq!(
        chosen(&table, UpstreamStage::Decode, now).as_deref(),
        Some("b")
    );
}

#[test]
fn one_that_fails_is_passed_over_and_tried_again_later() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let near = record("a", "near", UpstreamStage::Plain);
    let far = record("b", "far", UpstreamStage::Plain);
    table.replace(&[near.clone(), far], None, now);
    table.begin(&near.id, 0);
    table.end(&near.id, 0, CallVerdict::Unreachable, now);
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, now).as_deref(),
        Some("b")
    );
    let later = now + 12 * SECOND;
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, later).as_deref(),
        Some("a")
    );
}

#[test]
fn a_caller_that_leaves_tells_nothing_of_the_upstream() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let near = record("a", "near", UpstreamStage::Plain);
    let far = record("b", "far", UpstreamStage::Plain);
    table.replace(&[near.clone(), far], None, now);
    for _ in 0..20 {
        table.begin(&near.id, 0);
        table.end(&near.id, 0, CallVerdict::Neutral, now);
    }
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, now).as_deref(),
        Some("a")
    );
}

#[test]
fn one_that_leaves_or_is_gone_from_the_list_is_not_chosen() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let mut record_a = record("a", "near", UpstreamStage::Plain);
    table.replace(std::slice::from_ref(&record_a), None, now);
    assert!(table.accepts_work(&record_a.id, now));
    record_a.leaving = true;
    table.replace(std::slice::from_ref(&record_a), None, now);
    assert_eq!(chosen(&table, UpstreamStage::Plain, now), None);
    assert!(!table.accepts_work(&record_a.id, now));
    record_a.leaving = false;
    table.replace(std::slice::from_ref(&record_a), None, now);
    table.replace(&[], None, now);
    assert_eq!(chosen(&table, UpstreamStage::Plain, now), None);
}

#[test]
fn what_lapsed_during_an_outage_is_kept_for_two_seconds_after_it() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let record_a = record("a", "near", UpstreamStage::Plain);
    table.replace(std::slice::from_ref(&record_a), None, now);
    table.replace(&[], Some(now), now);
    assert!(chosen(&table, UpstreamStage::Plain, now).is_some());
    let soon = now + SECOND;
    table.replace(&[], None, soon);
    assert!(chosen(&table, UpstreamStage::Plain, soon).is_some());
    let late = now + 2 * SECOND;
    table.replace(&[], None, late);
    assert_eq!(chosen(&table, UpstreamStage::Plain, late), None);
}

/// Guards against work for upstreams that have left, from the end of their grace period to the next list.
#[test]
fn what_a_fresh_list_lacks_is_gone_as_soon_as_its_grace_period_ends() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    let record_a = record("a", "near", UpstreamStage::Plain);
    table.replace(std::slice::from_ref(&record_a), None, start);
    table.replace(&[], Some(start), start);
    assert!(table.end_grace(start + SECOND).is_empty());
    let read = start + Duration::from_millis(1_800);
    table.replace(&[], None, read);
    let end = table.grace_end().expect("a grace period");
    assert!(chosen(&table, UpstreamStage::Plain, end).is_some());
    assert_eq!(table.end_grace(end), [record_a.id]);
    assert_eq!(chosen(&table, UpstreamStage::Plain, end), None);
    assert_eq!(table.grace_end(), None);
}

/// Guards against the loss of all upstreams when the store is away again before they could report.
#[test]
fn what_an_old_list_lacks_is_kept_until_the_next_one() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    let record_a = record("a", "near", UpstreamStage::Plain);
    table.replace(std::slice::from_ref(&record_a), None, start);
    table.replace(&[], Some(start), start);
    let late = start + 5 * SECOND;
    assert!(table.end_grace(late).is_empty());
    assert!(chosen(&table, UpstreamStage::Plain, late).is_some());
    table.replace(&[], None, late);
    assert_eq!(chosen(&table, UpstreamStage::Plain, late), None);
}

#[test]
fn what_lapsed_during_an_outage_is_gone_when_its_address_has_another_upstream() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let record_a = record("a", "near", UpstreamStage::Plain);
    let mut other = record("b", "near", UpstreamStage::Plain);
    other.address = record_a.address;
    table.replace(std::slice::from_ref(&record_a), None, now);
    table.replace(&[other], Some(now), now);
    assert!(!table.accepts_work(&record_a.id, now));
}

#[test]
fn the_prefill_engine_that_is_done_first_reads() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let near = record("a", "near", UpstreamStage::Prefill);
    let far = record("b", "far", UpstreamStage::Prefill);
    table.replace(&[near.clone(), far], None, now);
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let query = ChoiceQuery {
        avoid: &[],
        filter: &ZoneFilter::default(),
        holders: &[],
        connected: &BTreeSet::new(),
        request: "r",
        service: &service,
        software: None,
        stage: UpstreamStage::Prefill,
        zone: &zone,
    };
    let id = |table: &UpstreamTable, now| {
        let choice = table.choose_prefill(&query, 3_000, now).unwrap();
        choice.upstream.id.to_string()
    };
    assert_eq!(id(&table, now), "a");
    // A prefill that took a second longer than expected indicates a queue, which is gone a few seconds later.
    table.note_prefill(&near.id, 3_000, Duration::from_millis(150), now);
    table.note_prefill(&near.id, 3_000, Duration::from_millis(1_150), now);
    assert_eq!(id(&table, now), "b");
    assert_eq!(id(&table, now + 4 * SECOND), "a");
    table.begin(&near.id, 30_000);
    assert_eq!(id(&table, now + 4 * SECOND), "b");
}

#[test]
fn one_stands_out_when_it_fails_more_often_than_the_others() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let records = ["a", "b", "c"].map(|id| record(id, "near", UpstreamStage::Plain));
    table.replace(&records, None, now);
    let fail = |table: &mut UpstreamTable, index: usize| {
        table.begin(&records[index].id, 0);
        table.end(&records[index].id, 0, CallVerdict::Failed, now);
    };
    fail(&mut table, 0);
    assert!(
        !table.is_outlier(&records[0].id, now),
        "a single failure is attributed to the request"
    );
    fail(&mut table, 0);
    assert!(table.is_outlier(&records[0].id, now));
    for index in [1, 1, 2, 2] {
        fail(&mut table, index);
    }
    assert!(
        !table.is_outlier(&records[0].id, now),
        "all fail equally often"
    );
}

/// Sixteen instances, each with its own table, have prompts prefilled one after the other.
#[test]
fn instances_that_see_few_readings_do_not_all_go_to_the_same_prefill_engine() {
    const ENGINES: usize = 8;
    const INSTANCES: usize = 16;
    const ROUNDS: usize = 20;
    let now = Instant::now();
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let records = names.map(|name| record(name, "near", UpstreamStage::Prefill));
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let mut prefills = std::collections::BTreeMap::new();
    for instance in 0..INSTANCES {
        let mut table = UpstreamTable::default();
        table.replace(&records, None, now);
        for round in 0..ROUNDS {
            let at = now + SECOND * u32::try_from(round).unwrap();
            let request = format!("{instance}-{round}");
            let query = ChoiceQuery {
                avoid: &[],
                filter: &ZoneFilter::default(),
                holders: &[],
                connected: &BTreeSet::new(),
                request: &request,
                service: &service,
                software: None,
                stage: UpstreamStage::Prefill,
                zone: &zone,
            };
            let choice = table.choose_prefill(&query, 3_000, at).unwrap();
            let id = choice.upstream.id.clone();
            table.note_prefill(&id, choice.queued_tokens, Duration::from_millis(100), at);
            *prefills.entry(id).or_insert(0) += 1;
        }
    }
    let fair = INSTANCES * ROUNDS / ENGINES;
    let most = *prefills.values().max().unwrap();
    assert!(most <= 2 * fair, "{prefills:?}");
    assert_eq!(prefills.len(), ENGINES, "{prefills:?}");
}

#[test]
fn a_prefill_engine_that_refuses_is_passed_over_until_the_list_has_caught_up() {
    let now = Instant::now();
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let mut table = UpstreamTable::default();
    let records = ["a", "b"].map(|id| record(id, "near", UpstreamStage::Prefill));
    table.replace(&records, None, now);
    table.begin(&"a".into(), 3_000);
    table.end(&"a".into(), 3_000, CallVerdict::Full, now);
    for round in 0..100_u32 {
        let at = now + Duration::from_millis(20) * round;
        let request = format!("{round}");
        let query = ChoiceQuery {
            avoid: &[],
            filter: &ZoneFilter::default(),
            holders: &[],
            connected: &BTreeSet::new(),
            request: &request,
            service: &service,
            software: None,
            stage: UpstreamStage::Prefill,
            zone: &zone,
        };
        let choice = table.choose_prefill(&query, 3_000, at).unwrap();
        assert_eq!(&*choice.upstream.id, "b", "after {:?}", at - now);
    }
}

#[test]
fn an_engine_that_turns_requests_away_is_left_alone_while_another_is_there() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let records = ["a", "b"].map(|id| record(id, "near", UpstreamStage::Decode));
    table.replace(&records, None, now);
    // The other engine is nearly full, so the idle one costs less.
    for _ in 0..10 {
        table.begin(&"b".into(), 3_000);
    }
    let selected = |table: &UpstreamTable, now| chosen(table, UpstreamStage::Decode, now);
    assert_eq!(selected(&table, now).as_deref(), Some("a"));
    table.note_refusal(&"a".into(), false, now);
    assert_eq!(selected(&table, now).as_deref(), Some("b"));
    table.note_run(&"a".into());
    assert_eq!(selected(&table, now).as_deref(), Some("a"));
}

#[test]
fn engines_that_all_turn_requests_away_are_asked_all_the_same() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.replace(&[record("a", "near", UpstreamStage::Decode)], None, now);
    table.note_refusal(&"a".into(), false, now);
    let selected = chosen(&table, UpstreamStage::Decode, now);
    assert_eq!(selected.as_deref(), Some("a"));
}

#[test]
fn a_closed_engine_is_not_asked_after_those_that_are_full() {
    let now = Instant::now();
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let mut table = UpstreamTable::default();
    let records = ["a", "b"].map(|id| record(id, "near", UpstreamStage::Decode));
    table.replace(&records, None, now);
    table.note_refusal(&"a".into(), false, now);
    let query = ChoiceQuery {
        avoid: &["b".into()],
        filter: &ZoneFilter::default(),
        holders: &[],
        connected: &BTreeSet::new(),
        request: "r",
        service: &service,
        software: None,
        stage: UpstreamStage::Decode,
        zone: &zone,
    };
    assert_eq!(table.choose(&query, now), None);
}

#[test]
fn an_engine_that_holds_the_prompt_goes_first_while_it_is_not_full() {
    let now = Instant::now();
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let mut table = UpstreamTable::default();
    let idle = record("a", "near", UpstreamStage::Decode);
    let holder = record("b", "far", UpstreamStage::Decode);
    table.replace(&[idle, holder.clone()], None, now);
    for _ in 0..8 {
        table.begin(&holder.id, 3_000);
    }
    let query = ChoiceQuery {
        avoid: &[],
        filter: &ZoneFilter::default(),
        holders: std::slice::from_ref(&holder.id),
        connected: &BTreeSet::new(),
        request: "r",
        service: &service,
        software: None,
        stage: UpstreamStage::Decode,
        zone: &zone,
    };
    let first = table.choose(&query, now).unwrap();
    assert_eq!(&*first.id, "b");
    table.end(&holder.id, 3_000, CallVerdict::Full, now);
    let next = table.choose(&query, now).unwrap();
    assert_eq!(&*next.id, "a");
}

#[test]
fn a_prompt_is_read_where_it_is_held_unless_that_engine_is_slow_by_its_queue() {
    let now = Instant::now();
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let holder = record("b", "near", UpstreamStage::Prefill);
    let records = [record("a", "near", UpstreamStage::Prefill), holder.clone()];
    for number in 0..50 {
        let mut table = UpstreamTable::default();
        table.replace(&records, None, now);
        let request = format!("{number}");
        let query = ChoiceQuery {
            avoid: &[],
            filter: &ZoneFilter::default(),
            holders: std::slice::from_ref(&holder.id),
            connected: &BTreeSet::new(),
            request: &request,
            service: &service,
            software: None,
            stage: UpstreamStage::Prefill,
            zone: &zone,
        };
        let choice = table.choose_prefill(&query, 3_000, now).unwrap();
        assert!(choice.is_cached, "request {number}");
        for _ in 0..10 {
            table.begin(&holder.id, 3_000);
        }
        let choice = table.choose_prefill(&query, 3_000, now).unwrap();
        assert_eq!(&*choice.upstream.id, "a", "request {number}");
    }
}

/// Ten idle engines in each of two zones.
fn two_zones(stage: UpstreamStage, now: Instant) -> UpstreamTable {
    let mut records = Vec::new();
    for zone in ["a", "b"] {
        for number in 0..10 {
            records.push(record(&format!("{zone}-{number}"), zone, stage));
        }
    }
    let mut table = UpstreamTable::default();
    table.replace(&records, None, now);
    table
}

/// The zone selected for a request in zone `a` after refusals by the given engines.
fn chosen_after(
    table: &UpstreamTable,
    stage: UpstreamStage,
    avoid: &[&str],
    now: Instant,
) -> String {
    let avoid: Vec<kernel::UpstreamId> = avoid.iter().map(|id| (*id).into()).collect();
    let (service, zone) = ("s".into(), "a".into());
    let query = ChoiceQuery {
        avoid: &avoid,
        filter: &ZoneFilter::default(),
        holders: &[],
        connected: &BTreeSet::new(),
        request: "r",
        service: &service,
        software: None,
        stage,
        zone: &zone,
    };
    table.choose(&query, now).unwrap().zone.to_string()
}

#[test]
fn a_burst_that_fills_engines_of_one_zone_sends_requests_to_others() {
    let now = Instant::now();
    let table = two_zones(UpstreamStage::Decode, now);
    let zone = |avoid: &[&str]| chosen_after(&table, UpstreamStage::Decode, avoid, now);
    assert_eq!(zone(&[]), "a");
    assert_eq!(zone(&["a-0"]), "a");
    assert_eq!(zone(&["a-0", "a-1", "a-2"]), "b");
    // After as many refusals in the other zone, the own one is tried again.
    assert_eq!(zone(&["a-0", "a-1", "a-2", "b-0", "b-1"]), "a");
}

#[test]
fn refusals_of_a_plain_service_keep_their_zone() {
    let now = Instant::now();
    let table = two_zones(UpstreamStage::Plain, now);
    let avoid = ["a-0", "a-1", "a-2"];
    assert_eq!(chosen_after(&table, UpstreamStage::Plain, &avoid, now), "a");
}

#[test]
fn an_instance_of_many_goes_to_the_idle_engines_that_it_has_a_connection_to() {
    let now = Instant::now();
    let mut table = two_zones(UpstreamStage::Decode, now);
    let connected = BTreeSet::from(["a-3".into(), "a-7".into()]);
    let (service, zone): (ServiceId, _) = ("s".into(), "a".into());
    let choose = |table: &UpstreamTable, request: &str| {
        let query = ChoiceQuery {
            avoid: &[],
            filter: &ZoneFilter::default(),
            holders: &[],
            connected: &connected,
            request,
            service: &service,
            software: None,
            stage: UpstreamStage::Decode,
            zone: &zone,
        };
        table.choose(&query, now).unwrap().id.clone()
    };
    for request in 0..20 {
        let id = choose(&table, &request.to_string());
        assert!(connected.contains(&id), "{id}");
    }
    for id in &connected {
        table.begin(id, 3_000);
    }
    // A call runs at each of them, so another, idle engine costs less.
    let id = choose(&table, "r");
    assert!(!connected.contains(&id), "{id}");
}

/// Guards against an upstream that leaves and is available again: by a later list that does not know of it, or because it
/// was missing from one. Another incarnation at its address is another upstream.
#[test]
fn an_upstream_that_stated_that_it_leaves_stays_so_until_it_has_been_gone_for_long() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let leaving = record("a", "near", UpstreamStage::Plain);
    let other = UpstreamRecord {
        id: "a/2".into(),
        ..leaving.clone()
    };
    table.replace(std::slice::from_ref(&leaving), None, now);
    assert_eq!(table.call_block(&leaving.id, now), None);
    assert!(table.departures.note(&leaving.id, now));
    assert!(!table.departures.note(&leaving.id, now));
    assert_eq!(table.call_block(&leaving.id, now), Some(CallBlock::Leaving));
    assert!(!table.is_active(&leaving.id));
    assert_eq!(chosen(&table, UpstreamStage::Plain, now), None);
    table.replace(std::slice::from_ref(&leaving), None, now + SECOND);
    assert_eq!(table.call_block(&leaving.id, now), Some(CallBlock::Leaving));
    table.replace(&[], None, now + 2 * SECOND);
    assert_eq!(
        table.call_block(&leaving.id, now),
        Some(CallBlock::Unlisted)
    );
    table.replace(&[leaving.clone(), other.clone()], None, now + 3 * SECOND);
    assert_eq!(table.call_block(&leaving.id, now), Some(CallBlock::Leaving));
    assert_eq!(table.call_block(&other.id, now), None);
    table.replace(&[], None, now + 4 * SECOND);
    table.replace(&[], None, now + 70 * SECOND);
    assert!(table.departures.is_empty());
}

/// Guards against a pause that ends too soon, or never.
#[test]
fn a_pause_lasts_until_its_latest_end_and_no_upstream_is_chosen_in_it() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let upstream = record("a", "near", UpstreamStage::Plain);
    table.replace(std::slice::from_ref(&upstream), None, now);
    assert!(table.backoffs.note(&upstream.id, 3 * SECOND, now));
    // An answer that was under way asks for less.
    assert!(!table.backoffs.note(&upstream.id, SECOND, now + SECOND));
    let block = table.call_block(&upstream.id, now + SECOND);
    assert_eq!(block, Some(CallBlock::BackingOff(2 * SECOND)));
    assert!(table.is_active(&upstream.id));
    table.replace(std::slice::from_ref(&upstream), None, now + 2 * SECOND);
    assert_eq!(chosen(&table, UpstreamStage::Plain, now + 2 * SECOND), None);
    let after = now + 3 * SECOND;
    assert_eq!(table.call_block(&upstream.id, after), None);
    assert_eq!(
        chosen(&table, UpstreamStage::Plain, after).as_deref(),
        Some("a")
    );
    assert!(!table.backoffs.note(&upstream.id, Duration::ZERO, after));
    assert_eq!(table.call_block(&upstream.id, after), None);
}

#[test]
fn a_pause_is_a_decimal_number_of_seconds_of_a_minute_at_most() {
    for text in [
        "",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e9",
        "1 s",
        "soon",
        "1.2.3",
        "Fri, 04 Dec 2026 10:00:00 GMT",
    ] {
        assert_eq!(
            BackoffStatement::parse(text),
            BackoffStatement::Invalid,
            "{text}"
        );
    }
    let requested = BackoffStatement::Requested;
    let cases = [
        ("0", Duration::ZERO),
        (" 0.7 ", Duration::from_millis(700)),
        ("3", 3 * SECOND),
        ("999999999999", 60 * SECOND),
    ];
    for (text, pause) in cases {
        assert_eq!(BackoffStatement::parse(text), requested(pause), "{text}");
    }
}
