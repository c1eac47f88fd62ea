//! Who reads the store: one instance a zone while all answer, and never nobody.

use {
    kernel::{InstanceId, ZoneId},
    proptest::{prelude::*, test_runner::RngSeed},
    spread::{ReadFrom, ReaderPlan, SpreadTimes},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

fn names(count: usize) -> Vec<InstanceId> {
    let numbers = 1..=count;
    numbers
        .map(|number| InstanceId::from(format!("front-{number}")))
        .collect()
}

fn plan(own: &InstanceId, members: &[InstanceId], now: Instant) -> ReaderPlan {
    let times = SpreadTimes::builder().read_limit(SECOND).build();
    let mut plan = ReaderPlan::new(own.clone(), ZoneId::from("gijon"), times);
    plan.set_members(members.iter().map(|name| (name.clone(), 1)), now);
    plan
}

#[test]
fn one_instance_of_a_zone_reads_and_the_others_ask_it() {
    let now = Instant::now();
    let members = names(30);
    let mut readers = Vec::new();
    let mut asked = Vec::new();
    for own in &members {
        match plan(own, &members, now).choose(now) {
            ReadFrom::Peer(reader) => asked.push(reader),
            ReadFrom::Store => readers.push(own.clone()),
        }
    }
    assert_eq!(readers.len(), 1);
    assert!(asked.iter().all(|reader| *reader == readers[0]));
}

#[test]
fn large_instances_read_for_small_ones() {
    const ZONES: usize = 200;
    let now = Instant::now();
    let members = names(30);
    // Each tenth is fifty times as large as the others: together they carry 0.85 of the zone.
    let capacity = |index: usize| if index.is_multiple_of(10) { 50 } else { 1 };
    let mut large = 0;
    for zone in 0..ZONES {
        let times = SpreadTimes::builder().read_limit(SECOND).build();
        let zone = ZoneId::from(format!("zone-{zone}"));
        let mut plan = ReaderPlan::new(members[1].clone(), zone, times);
        let ranked = members.iter().enumerate();
        plan.set_members(
            ranked.map(|(index, name)| (name.clone(), capacity(index))),
            now,
        );
        if let ReadFrom::Peer(reader) = plan.choose(now)
            && members.iter().step_by(10).any(|name| *name == reader)
        {
            large += 1;
        }
    }
    assert!((150..=190).contains(&large), "{large}");
}

#[test]
fn an_instance_that_knows_no_other_reads_for_itself() {
    let own = InstanceId::from("front-1");
    let times = SpreadTimes::builder().read_limit(SECOND).build();
    let mut plan = ReaderPlan::new(own, ZoneId::from("gijon"), times);
    assert_eq!(plan.choose(Instant::now()), ReadFrom::Store);
}

#[test]
fn an_instance_whose_row_is_gone_reads_the_store_and_so_writes_it_again() {
    let now = Instant::now();
    let members = names(3);
    for own in &members {
        let mut plan = plan(own, &members, now);
        let others = members.iter().filter(|name| *name != own);
        plan.set_members(others.map(|name| (name.clone(), 1)), now);
        assert_eq!(plan.choose(now), ReadFrom::Store);
    }
}

#[test]
fn a_reader_that_gives_no_answer_is_passed_over_for_a_while() {
    let now = Instant::now();
    let members = names(3);
    let followers = members.iter().filter_map(|own| {
        let mut plan = plan(own, &members, now);
        match plan.choose(now) {
            ReadFrom::Peer(reader) => Some((plan, reader)),
            ReadFrom::Store => None,
        }
    });
    for (mut plan, reader) in followers {
        plan.failed(&reader, now);
        assert_ne!(plan.choose(now), ReadFrom::Peer(reader.clone()));
        assert_eq!(plan.choose(now + 6 * SECOND), ReadFrom::Peer(reader));
    }
}

#[test]
fn an_instance_that_is_asked_reads_the_store_whoever_else_does() {
    let now = Instant::now();
    let members = names(3);
    for own in &members {
        let mut plan = plan(own, &members, now);
        let before = plan.choose(now);
        plan.asked(&members[0], now);
        assert_eq!(plan.choose(now), ReadFrom::Store);
        assert_eq!(plan.choose(now + 4 * SECOND), before);
    }
}

#[test]
fn only_the_reader_of_a_minute_removes_members_that_nobody_heard_of_for_as_long() {
    let now = Instant::now();
    let members = names(3);
    for own in &members {
        let mut plan = plan(own, &members, now);
        let is_reader = plan.choose(now) == ReadFrom::Store;
        assert!(plan.silent(now + 50 * SECOND).is_empty());
        let others: Vec<InstanceId> = members
            .iter()
            .filter(|name| *name != own)
            .cloned()
            .collect();
        plan.asked(&others[0], now + 30 * SECOND);
        plan.choose(now + 61 * SECOND);
        let silent = plan.silent(now + 61 * SECOND);
        match is_reader {
            true => assert_eq!(silent, [others[1].clone()]),
            false => assert!(silent.is_empty()),
        }
    }
}

/// The plan of the second member to read, where the first is dead from the start, and the name of the first.
fn second_of(members: &[InstanceId], now: Instant) -> (ReaderPlan, InstanceId) {
    let mut plans = members.iter().map(|own| plan(own, members, now));
    let first = plans.position(|mut plan| plan.choose(now) == ReadFrom::Store);
    let first = members[first.expect("one of them reads")].clone();
    for own in members.iter().filter(|own| **own != first) {
        let mut plan = plan(own, members, now);
        plan.failed(&first, now);
        if plan.choose(now) == ReadFrom::Store {
            return (plan, first);
        }
    }
    panic!("nobody reads in place of the first");
}

#[test]
fn the_row_of_a_dead_reader_is_removed_by_the_one_after_it() {
    let start = Instant::now();
    for is_asked in [false, true] {
        let members = names(3);
        let (mut plan, first) = second_of(&members, start);
        let own = members.iter().find(|own| {
            let mut one = self::plan(own, &members, start);
            one.failed(&first, start);
            **own != first && one.choose(start) == ReadFrom::Store
        });
        let third = members
            .iter()
            .find(|name| **name != first && Some(*name) != own);
        let third = third.expect("one that asks");
        let mut removed = Vec::new();
        for second in 0..100 {
            let now = start + second * SECOND;
            if is_asked {
                plan.asked(third, now);
            }
            if let ReadFrom::Peer(reader) = plan.choose(now) {
                plan.failed(&reader, now);
            }
            removed = plan.silent(now);
        }
        assert!(removed.contains(&first), "asked by others: {is_asked}");
        assert_eq!(removed.contains(third), !is_asked);
    }
}

#[test]
fn a_reader_that_answered_keeps_its_row_however_long_another_serves() {
    let start = Instant::now();
    let members = names(3);
    let (mut plan, first) = second_of(&members, start);
    for second in 0..100 {
        let now = start + second * SECOND;
        for other in members.iter().filter(|other| **other != first) {
            plan.asked(other, now);
        }
        if let ReadFrom::Peer(reader) = plan.choose(now) {
            plan.answered(&reader);
        }
        assert!(plan.silent(now).is_empty());
    }
}

#[test]
fn the_last_of_a_zone_asks_the_dead_ever_less() {
    const SECONDS: u32 = 300;
    let start = Instant::now();
    let members = names(20);
    for own in &members {
        let mut plan = plan(own, &members, start);
        let mut in_vain = 0;
        for second in 0..SECONDS {
            let now = start + second * SECOND;
            let ReadFrom::Peer(reader) = plan.choose(now) else {
                continue;
            };
            plan.failed(&reader, now);
            in_vain += u32::from(second >= SECONDS / 2);
        }
        // At most the others once in the longest rest, which is a minute.
        assert!(in_vain <= 19 * 3, "{in_vain} of {} calls", SECONDS / 2);
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// The instance reads: the one that it asks may be dead, or cut off from it.
    Look(usize),
    Toggle(usize),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Whoever is dead, an instance that looks has a reading after at most one call in vain: it reads the store then. And once
    /// nothing changes for a while, all that live use one reader.
    #[test]
    fn nobody_waits_for_the_dead_twice_and_all_agree_in_the_end(
        count in 2..8_usize,
        steps in prop::collection::vec((any::<bool>(), 0..8_usize, 0..900_u64), 1..80),
    ) {
        let mut now = Instant::now();
        let members = names(count);
        let mut plans: Vec<ReaderPlan> = members.iter().map(|own| plan(own, &members, now)).collect();
        let mut alive = vec![true; count];
        for (looks, index, pause) in steps {
            now += Duration::from_millis(pause);
            let index = index % count;
            let step = match looks {
                true => Step::Look(index),
                false => Step::Toggle(index),
            };
            match step {
                Step::Toggle(index) => alive[index] = !alive[index],
                Step::Look(index) if alive[index] => {
                    look(&mut plans, &members, &alive, index, now);
                }
                Step::Look(_) => {}
            }
        }
        // The longest rest of 60 s, the service of 3 s, and one reading more, with readings each second.
        let mut reads = 0;
        for _ in 0..64 {
            now += SECOND;
            reads = 0;
            for index in 0..count {
                if alive[index] {
                    reads += usize::from(look(&mut plans, &members, &alive, index, now));
                }
            }
        }
        let living = || (0..count).filter(|index| alive[*index]);
        prop_assert!(living().count() == 0 || reads >= 1, "nobody reads");
        // One that was the first and died is tried again now and then, by each on its own.
        let first_lives = living().any(|index| {
            let mut fresh = plan(&members[index], &members, now);
            fresh.choose(now) == ReadFrom::Store
        });
        prop_assert!(!first_lives || reads == 1, "{reads} read");
    }
}

/// One reading of an instance, as its driver makes it: whether it read the store.
fn look(
    plans: &mut [ReaderPlan],
    members: &[InstanceId],
    alive: &[bool],
    index: usize,
    now: Instant,
) -> bool {
    let ReadFrom::Peer(reader) = plans[index].choose(now) else {
        return true;
    };
    let at = members.iter().position(|name| *name == reader).unwrap();
    match alive[at] {
        true => {
            plans[at].asked(&members[index], now);
            plans[index].answered(&reader);
            false
        }
        false => {
            plans[index].failed(&reader, now);
            assert_ne!(plans[index].choose(now), ReadFrom::Peer(reader));
            true
        }
    }
}
