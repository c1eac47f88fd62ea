//! A list that is passed on by its changes is the reader's list, whatever was missed in between.

use {
    kernel::InstanceId,
    policy::{UpstreamRecord, UpstreamStage},
    proptest::{prelude::*, test_runner::RngSeed},
    spread::{ListChange, ListJournal, ListMirror},
};

const UPSTREAMS: usize = 6;

fn record(number: usize, leaving: bool) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 1000 + u16::try_from(number).unwrap()).into(),
        id: format!("i-{number}").into(),
        leaving,
        name: format!("i-{number}").into(),
        service: "s".into(),
        slots: 6,
        stage: UpstreamStage::Plain,
        zone: "z".into(),
    }
}

fn sorted(records: Vec<UpstreamRecord>) -> Vec<UpstreamRecord> {
    let mut records = records;
    records.sort_by(|left, right| left.id.cmp(&right.id));
    records
}

#[derive(Clone, Debug)]
enum Step {
    /// A follower asks and gets the answer.
    Ask(usize),
    /// The list is read: each upstream is absent, there or leaving.
    Read(Vec<u8>),
    /// The reader is another one, or has another life.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_usize).prop_map(Step::Ask),
        4 => prop::collection::vec(0..3_u8, UPSTREAMS).prop_map(Step::Read),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(15),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_follower_has_the_list_that_the_reader_has(steps in prop::collection::vec(step(), 1..60)) {
        let reader = InstanceId::from("reader-1");
        let mut life = 1;
        let mut journal = ListJournal::new(life);
        let mut list = Vec::new();
        let mut followers = [ListMirror::default(), ListMirror::default()];
        for step in steps {
            match step {
                Step::Ask(index) => {
                    let mirror = &mut followers[index];
                    let change = journal.change_since(mirror.mark(&reader));
                    mirror.apply(reader.clone(), change, journal.mark());
                    prop_assert_eq!(sorted(mirror.records()), sorted(list.clone()));
                }
                Step::Read(states) => {
                    let there = states.iter().enumerate().filter(|(_, state)| **state > 0);
                    list = there.map(|(number, state)| record(number, *state == 2)).collect();
                    journal.take(&list);
                }
                Step::Restart => {
                    life += 1;
                    journal = ListJournal::new(life);
                    journal.take(&list);
                }
            }
        }
    }
}

#[test]
fn an_unchanged_list_costs_nothing() {
    let mut journal = ListJournal::new(1);
    journal.take(&[record(1, false), record(2, false)]);
    let mark = journal.mark();
    journal.take(&[record(2, false), record(1, false)]);
    assert_eq!(journal.mark(), mark);
    let change = journal.change_since(Some(mark));
    assert_eq!(
        change,
        ListChange::Changes {
            changed: Vec::new(),
            gone: Vec::new()
        }
    );
}

#[test]
fn removals_are_not_remembered_for_ever_and_who_missed_them_gets_the_whole() {
    const ROUNDS: usize = 1_500;
    let mut journal = ListJournal::new(1);
    let kept = record(60_000, false);
    journal.take(std::slice::from_ref(&kept));
    let early = journal.mark();
    for number in 0..ROUNDS {
        journal.take(&[kept.clone(), record(number, false)]);
    }
    let late = journal.mark();
    journal.take(std::slice::from_ref(&kept));
    assert_eq!(
        journal.change_since(Some(early)),
        ListChange::Whole(vec![kept])
    );
    match journal.change_since(Some(late)) {
        ListChange::Changes { changed, gone } => assert_eq!((changed.len(), gone.len()), (0, 1)),
        whole => panic!("{whole:?}"),
    }
}

#[test]
fn readers_that_started_at_the_same_moment_are_told_apart() {
    const LIFE: u64 = 7;
    let mut first = ListJournal::new(LIFE);
    let mut second = ListJournal::new(LIFE);
    first.take(&[record(1, false)]);
    second.take(&[record(1, true)]);
    assert_eq!(first.mark(), second.mark());
    let mut mirror = ListMirror::default();
    for (name, journal) in [("reader-1", &first), ("reader-2", &second)] {
        let reader = InstanceId::from(name);
        let change = journal.change_since(mirror.mark(&reader));
        mirror.apply(reader, change, journal.mark());
    }
    assert_eq!(mirror.records(), [record(1, true)]);
}
