//! Reader election: one instance per zone reads the store while all answer, and there is always a
//! reader.

use {
    kernel::{InstanceId, ZoneId},
    proptest::{prelude::*, test_runner::RngSeed},
    relay::RECOVERY_NOTICE,
    spread::{MemberRow, ReadStep, ReaderElection, RequesterState, SpreadTimes},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

fn names(count: usize) -> Vec<InstanceId> {
    let numbers = 1..=count;
    numbers
        .map(|number| InstanceId::from(format!("front-{number}")))
        .collect()
}

fn row(name: &InstanceId, capacity: u64) -> MemberRow {
    MemberRow {
        address: ([127, 0, 0, 1], 7_000).into(),
        capacity,
        instance: name.clone(),
        zone: ZoneId::from("gijon"),
    }
}

fn rows(names: &[InstanceId]) -> Vec<MemberRow> {
    names.iter().map(|name| row(name, 1)).collect()
}

fn times() -> SpreadTimes {
    let period = Duration::from_millis(900);
    let times = SpreadTimes::builder().period(period);
    times.read_timeout(Duration::from_millis(700)).build()
}

fn election(own: &InstanceId, members: &[InstanceId], now: Instant) -> ReaderElection {
    let mut election = ReaderElection::new(own.clone(), ZoneId::from("gijon"), times());
    election.set_members(&rows(members), now);
    election
}

/// The election of the only instance of a zone, and the name of the only one of another zone.
fn election_with_other_zone(now: Instant) -> (ReaderElection, InstanceId) {
    let own = InstanceId::from("front-1");
    let elsewhere = InstanceId::from("front-2");
    let mut election = ReaderElection::new(own.clone(), ZoneId::from("gijon"), times());
    let other = MemberRow {
        zone: ZoneId::from("ferrol"),
        ..row(&elsewhere, 1)
    };
    election.set_members(&[row(&own, 1), other], now);
    (election, elsewhere)
}

/// The instance that requests are sent to; `None` when this one reads the store or has just read
/// it.
fn requested_from(election: &mut ReaderElection, now: Instant) -> Option<InstanceId> {
    match election.choose(now) {
        ReadStep::AskPeer { peer, .. } => Some(peer),
        ReadStep::Wait(_) | ReadStep::ReadStore => None,
    }
}

/// Like [`requested_from`], with reads of the store answered at once.
fn take_turn(election: &mut ReaderElection, now: Instant) -> Option<InstanceId> {
    let step = election.choose(now);
    if step == ReadStep::ReadStore {
        election.record_store_read(now);
    }
    match step {
        ReadStep::AskPeer { peer, .. } => Some(peer),
        ReadStep::Wait(_) | ReadStep::ReadStore => None,
    }
}

/// State of a requester that the instances before it did not answer.
const UNANSWERED: RequesterState = RequesterState {
    has_skipped_readers: true,
    reads_store: false,
};

#[test]
fn one_instance_of_a_zone_reads_and_the_others_ask_it() {
    let now = Instant::now();
    let members = names(30);
    let mut readers = Vec::new();
    let mut reader_of = Vec::new();
    let mut readers_at_start = 0;
    for own in &members {
        let mut election = election(own, &members, now);
        if take_turn(&mut election, now).is_none() {
            readers_at_start += 1;
        }
        match requested_from(&mut election, now) {
            Some(reader) => reader_of.push(reader),
            None => readers.push(own.clone()),
        }
    }
    assert_eq!(readers_at_start, 3, "early readers");
    assert_eq!(readers.len(), 1);
    assert!(reader_of.iter().all(|reader| *reader == readers[0]));
}

#[test]
fn large_instances_read_for_small_ones() {
    const ZONES: usize = 200;
    let now = Instant::now();
    let members = names(30);
    // Every tenth instance is fifty times as large as the others, like one with a link of 200
    // Mbit/s beside those of 10 Mbit/s. Only such an instance can send a list of thousands of
    // upstreams to all others in time.
    let capacity = |index: usize| if index.is_multiple_of(10) { 50 } else { 1 };
    let mut readers: Vec<InstanceId> = Vec::new();
    for zone in 0..ZONES {
        let zone = ZoneId::from(format!("zone-{zone}"));
        let mut election = ReaderElection::new(members[1].clone(), zone.clone(), times());
        let ranked = members.iter().enumerate();
        let rows = ranked.map(|(index, name)| MemberRow {
            zone: zone.clone(),
            ..row(name, capacity(index))
        });
        election.set_members(&rows.collect::<Vec<_>>(), now);
        readers.extend(requested_from(&mut election, now));
    }
    assert_eq!(readers.len(), ZONES, "a small one asks in each zone");
    for large in members.iter().step_by(10) {
        let share = readers.iter().filter(|reader| *reader == large).count();
        // A third of 200 each; the standard deviation is 6.7.
        assert!((40..=95).contains(&share), "{large} reads for {share}");
        readers.retain(|reader| reader != large);
    }
    assert!(readers.is_empty(), "small ones read for {readers:?}");
}

#[test]
fn an_instance_that_knows_no_other_reads_for_itself() {
    let own = InstanceId::from("front-1");
    let mut election = ReaderElection::new(own, ZoneId::from("gijon"), times());
    assert_eq!(election.choose(Instant::now()), ReadStep::ReadStore);
}

#[test]
fn an_instance_that_the_others_do_not_know_asks_as_if_they_did() {
    let now = Instant::now();
    let members = names(9);
    for own in &members {
        let mut unknown = election(own, &members, now);
        let before = unknown.choose(now);
        let others = members.iter().filter(|name| *name != own);
        unknown.set_members(&rows(&others.cloned().collect::<Vec<_>>()), now);
        match before {
            ReadStep::ReadStore => assert!(requested_from(&mut unknown, now).is_some()),
            before => assert_eq!(unknown.choose(now), before),
        }
    }
}

#[test]
fn a_reader_that_gives_no_answer_is_passed_over_for_a_while() {
    let now = Instant::now();
    let members = names(3);
    let followers = members.iter().filter_map(|own| {
        let mut election = election(own, &members, now);
        requested_from(&mut election, now).map(|reader| (election, reader))
    });
    for (mut election, reader) in followers {
        election.record_no_answer(&reader, now);
        assert_ne!(requested_from(&mut election, now), Some(reader.clone()));
        election.record_store_read(now);
        assert_eq!(
            requested_from(&mut election, now + 6 * SECOND),
            Some(reader)
        );
    }
}

/// Guards against waiting longer for a silent reader when requests replace each other: all requests
/// to it share one timeout.
#[test]
fn a_question_in_place_of_another_has_what_is_left_of_its_time() {
    let now = Instant::now();
    let members = names(3);
    let (mut election, first, _) = second_of(&members, now);
    election.record_update(&first, now);
    let limit = |election: &mut ReaderElection, now: Instant| match election.choose(now) {
        ReadStep::AskPeer { peer, limit, .. } if peer == first => limit,
        step => panic!("{step:?}"),
    };
    let full_timeout = limit(&mut election, now);
    let pause = Duration::from_millis(500);
    assert_eq!(limit(&mut election, now + pause), full_timeout - pause);
    assert_eq!(
        limit(&mut election, now + 2 * pause),
        full_timeout - 2 * pause
    );
    assert_eq!(limit(&mut election, now + full_timeout), Duration::ZERO);
    election.record_update(&first, now + full_timeout);
    assert_eq!(limit(&mut election, now + full_timeout), full_timeout);
}

#[test]
fn an_instance_that_is_counted_on_reads_the_store_when_it_has_no_news() {
    let now = Instant::now();
    let members = names(3);
    for own in &members {
        let mut election = election(own, &members, now);
        let Some(reader) = requested_from(&mut election, now) else {
            continue;
        };
        let other = members.iter().find(|name| *name != own && **name != reader);
        let other = row(other.unwrap(), 1);
        let is_before = {
            let mut other_election = election_without(&other.instance, &reader, &members, now);
            requested_from(&mut other_election, now).as_ref() != Some(own)
        };
        if is_before {
            continue;
        }
        assert!(!election.record_request(&other, RequesterState::default(), now));
        assert_eq!(requested_from(&mut election, now), Some(reader.clone()));
        assert!(election.record_request(&other, UNANSWERED, now));
        assert_eq!(election.choose(now), ReadStep::ReadStore);
        election.record_update(&reader, now);
        assert_eq!(requested_from(&mut election, now), Some(reader.clone()));
        assert_eq!(election.choose(now + 2 * SECOND), ReadStep::ReadStore);
        assert_eq!(
            requested_from(&mut election, now + 4 * SECOND),
            Some(reader)
        );
    }
}

#[test]
fn only_who_has_read_for_as_long_removes_members_that_nobody_heard_of_for_as_long() {
    let now = Instant::now();
    let members = names(3);
    for own in &members {
        let mut election = election(own, &members, now);
        take_turn(&mut election, now);
        let is_reader = requested_from(&mut election, now).is_none();
        assert!(election.silent_members(now + 12 * SECOND).is_empty());
        let others: Vec<InstanceId> = members
            .iter()
            .filter(|name| *name != own)
            .cloned()
            .collect();
        election.record_request(
            &row(&others[0], 1),
            RequesterState::default(),
            now + 30 * SECOND,
        );
        election.choose(now + 16 * SECOND);
        let silent = election.silent_members(now + 16 * SECOND);
        match is_reader {
            true => assert_eq!(silent, [others[1].clone()]),
            false => assert!(silent.is_empty()),
        }
    }
}

/// An election whose first reader has answered once and then stops answering.
fn election_without(
    own: &InstanceId,
    first: &InstanceId,
    members: &[InstanceId],
    now: Instant,
) -> ReaderElection {
    let mut election = election(own, members, now);
    election.record_update(first, now);
    election.record_no_answer(first, now);
    election
}

/// The election of the second member in reader order after the first has died, and the names of
/// both.
fn second_of(members: &[InstanceId], now: Instant) -> (ReaderElection, InstanceId, InstanceId) {
    let mut elections = members.iter().map(|own| election(own, members, now));
    let first = elections.position(|mut election| requested_from(&mut election, now).is_none());
    let first = members[first.expect("one of them reads")].clone();
    for own in members.iter().filter(|own| **own != first) {
        let election = election_without(own, &first, members, now);
        let mut others = members
            .iter()
            .filter(|other| *other != own && **other != first);
        let is_second = others.all(|other| {
            let mut other_election = election_without(other, &first, members, now);
            requested_from(&mut other_election, now).as_ref() == Some(own)
        });
        if is_second {
            return (election, first, own.clone());
        }
    }
    panic!("no instance replaces the first");
}

#[test]
fn the_row_of_a_dead_reader_is_removed_by_the_one_after_it() {
    let start = Instant::now();
    for is_asked in [false, true] {
        let members = names(3);
        let (mut election, first, own) = second_of(&members, start);
        let third = members.iter().find(|name| **name != first && **name != own);
        let third = third.expect("one that asks");
        let mut removed = Vec::new();
        for second in 0..100 {
            let now = start + second * SECOND;
            if is_asked {
                election.record_request(&row(third, 1), UNANSWERED, now);
            }
            if let Some(reader) = take_turn(&mut election, now) {
                election.record_no_answer(&reader, now);
            }
            removed = election.silent_members(now);
        }
        assert!(removed.contains(&first), "asked by others: {is_asked}");
        assert_eq!(removed.contains(third), !is_asked);
    }
}

#[test]
fn a_reader_that_answered_keeps_its_row_however_long_another_serves() {
    let start = Instant::now();
    let members = names(3);
    let (mut election, first, _) = second_of(&members, start);
    for second in 0..100 {
        let now = start + second * SECOND;
        for other in members.iter().filter(|other| **other != first) {
            election.record_request(&row(other, 1), UNANSWERED, now);
        }
        if let Some(reader) = take_turn(&mut election, now) {
            election.record_update(&reader, now);
        }
        assert!(election.silent_members(now).is_empty());
    }
}

#[test]
fn the_last_of_a_zone_asks_the_dead_ever_less() {
    const SECONDS: u32 = 300;
    let start = Instant::now();
    let members = names(20);
    for own in &members {
        let mut election = election(own, &members, start);
        let mut unanswered = 0;
        for second in 0..SECONDS {
            let now = start + second * SECOND;
            match election.choose(now) {
                ReadStep::AskPeer { peer, .. } => {
                    election.record_no_answer(&peer, now);
                    unanswered += u32::from(second >= SECONDS / 2);
                }
                ReadStep::Wait(_) => {}
                ReadStep::ReadStore => election.record_store_read(now),
            }
        }
        // At most one request to each other instance per maximum cooldown, which is a minute.
        assert!(
            unanswered <= 19 * 3,
            "{unanswered} of {} calls",
            SECONDS / 2
        );
    }
}

#[test]
fn a_reader_whose_store_fails_probes_it_ever_less_and_asks_other_zones_meanwhile() {
    let start = Instant::now();
    let (mut election, elsewhere) = election_with_other_zone(start);
    let mut probes = 0;
    let mut updates = 0;
    let mut now = start;
    while now < start + 10 * SECOND {
        match election.choose(now) {
            ReadStep::AskPeer { peer, .. } => {
                assert_eq!(peer, elsewhere);
                election.record_update(&peer, now);
                updates += 1;
                now += times().period;
            }
            ReadStep::Wait(until) => now = until,
            ReadStep::ReadStore => {
                election.record_store_failure(now, now);
                probes += 1;
            }
        }
    }
    assert!((8..=14).contains(&probes), "{probes} calls in 10 s");
    assert!(updates >= 8, "{updates} updates in 10 s");
}

#[test]
fn those_behind_a_reader_that_cannot_read_try_one_after_the_other() {
    let start = Instant::now();
    let members = names(40);
    let mut tries: Vec<Duration> = Vec::new();
    for own in &members {
        let mut election = election(own, &members, start);
        election.record_store_read(start - SECOND);
        let Some(reader) = requested_from(&mut election, start) else {
            continue;
        };
        election.record_update(&reader, start);
        for step in 0..100 {
            let now = start + Duration::from_millis(100) * step;
            match election.choose(now) {
                ReadStep::AskPeer { peer, .. } => {
                    assert!(!election.record_no_update(&peer, now - start, now))
                }
                ReadStep::Wait(_) => {}
                ReadStep::ReadStore => {
                    election.record_store_failure(now, now);
                    tries.push(now - start);
                }
            }
        }
    }
    let first = tries.iter().min().copied().unwrap();
    assert!(first <= Duration::from_millis(600), "{first:?}");
    for second in 0..10 {
        let within = |at: &&Duration| at.as_secs() == second;
        let count = tries.iter().filter(within).count();
        assert!(count <= 4, "{count} calls in second {second}");
    }
}

#[test]
fn one_that_the_store_answers_reads_for_a_reader_that_it_does_not() {
    let now = Instant::now();
    let members = names(3);
    let (mut standby, reader, own) = second_of(&members, now);
    let mut election = election(&reader, &members, now);
    assert_eq!(election.choose(now), ReadStep::ReadStore);
    election.record_store_failure(now, now);
    assert!(matches!(election.choose(now), ReadStep::Wait(_)));
    standby.record_update(&reader, now);
    standby.record_store_read(now);
    let state = standby.requester_state(now);
    assert!(state.reads_store);
    assert!(election.record_request(&row(&own, 1), state, now));
    assert_eq!(requested_from(&mut election, now), Some(own));
    assert!(standby.record_request(&row(&reader, 1), RequesterState::default(), now));
    // An acting reader sends no requests while it receives them.
    assert!(matches!(standby.choose(now), ReadStep::Wait(_)));
    assert_eq!(standby.choose(now + SECOND), ReadStep::ReadStore);
    // It has received no request for a while, and its data is current.
    standby.record_store_read(now + 4 * SECOND);
    assert_eq!(requested_from(&mut standby, now + 4 * SECOND), Some(reader));
}

/// Usage of customers is also shared with an instance of another zone that has no update from the
/// store.
#[test]
fn one_without_news_still_takes_part_in_sharing_use() {
    let now = Instant::now();
    let (mut election, elsewhere) = election_with_other_zone(now);
    assert!(election.record_no_update(&elsewhere, SECOND, now));
    let peers = election.usage_peers(now, |_| false);
    assert_eq!(peers.zones, [(ZoneId::from("ferrol"), Some(elsewhere))]);
}

#[derive(Clone, Debug)]
enum Step {
    /// The instance takes its turn. The one it asks may be dead or cut off.
    Turn(usize),
    Toggle(usize),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Whichever instances are dead, an instance gets an update within a few unanswered requests,
    /// after which it reads the store. Once nothing changes for a while, all running instances use
    /// one reader.
    #[test]
    fn nobody_waits_for_the_dead_for_long_and_all_agree_in_the_end(
        count in 2..8_usize,
        steps in prop::collection::vec((any::<bool>(), 0..8_usize, 0..900_u64), 1..80),
    ) {
        let mut now = Instant::now();
        let members = names(count);
        let mut elections: Vec<ReaderElection> = members.iter().map(|own| election(own, &members, now)).collect();
        let mut alive = vec![true; count];
        for (takes_turn, index, pause) in steps {
            now += Duration::from_millis(pause);
            let index = index % count;
            let step = match takes_turn {
                true => Step::Turn(index),
                false => Step::Toggle(index),
            };
            match step {
                Step::Toggle(index) => alive[index] = !alive[index],
                Step::Turn(index) if alive[index] => {
                    run_turn(&mut elections, &members, &alive, index, now);
                }
                Step::Turn(_) => {}
            }
        }
        // The maximum cooldown of 60 s, the service window of 3 s, and one more read, with one read
        // per second.
        let mut reads = 0;
        for _ in 0..64 {
            now += SECOND;
            reads = 0;
            for index in 0..count {
                if alive[index] {
                    reads += usize::from(run_turn(&mut elections, &members, &alive, index, now));
                }
            }
        }
        let living = || (0..count).filter(|index| alive[*index]);
        prop_assert!(living().count() == 0 || reads >= 1, "no instance reads the store");
        // A dead first instance is tried again from time to time by each instance on its own.
        let first_lives = living().any(|index| {
            let mut fresh = election(&members[index], &members, now);
            requested_from(&mut fresh, now).is_none()
        });
        prop_assert!(!first_lives || reads == 1, "{reads} read");
    }
}

/// Runs one turn of an instance as its driver does. Returns whether it read the store.
fn run_turn(
    elections: &mut [ReaderElection],
    members: &[InstanceId],
    alive: &[bool],
    index: usize,
    now: Instant,
) -> bool {
    const MAX_UNANSWERED: usize = 4;
    let mut unanswered = 0;
    loop {
        let peer = match elections[index].choose(now) {
            ReadStep::AskPeer { peer, .. } => peer,
            // It has just read the store.
            ReadStep::Wait(_) => return true,
            ReadStep::ReadStore => {
                elections[index].record_store_read(now);
                return true;
            }
        };
        let at = members.iter().position(|name| *name == peer).unwrap();
        if alive[at] {
            let state = elections[index].requester_state(now);
            elections[at].record_request(&row(&members[index], 1), state, now);
            elections[index].record_update(&peer, now);
            return false;
        }
        elections[index].record_no_answer(&peer, now);
        unanswered += 1;
        assert!(
            unanswered <= MAX_UNANSWERED,
            "{unanswered} unanswered requests"
        );
    }
}

/// Guards against a return of the store that is noticed so late that upstreams that have left are kept for too long.
#[test]
fn a_silent_store_is_tried_again_within_its_notice_however_long_each_call_takes() {
    let start = Instant::now();
    let (mut election, elsewhere) = election_with_other_zone(start);
    let mut began = Vec::new();
    let mut now = start;
    while now < start + 10 * SECOND {
        match election.choose(now) {
            ReadStep::AskPeer { peer, turn, .. } => {
                assert_eq!(peer, elsewhere);
                now = turn.map_or(now + times().max_hold, |turn| turn.max(now));
                let _ = election.record_no_update(&peer, now - start, now);
            }
            ReadStep::Wait(until) => now = until,
            ReadStep::ReadStore => {
                began.push(now);
                let call = now;
                now += times().read_timeout;
                election.record_store_failure(call, now);
            }
        }
    }
    let longest = began.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(RECOVERY_NOTICE), "{longest:?}");
}
