//! The log of streams that outlasts all instances: what is written, how much, and what is found again.

use {
    kernel::seeded_rng,
    policy::{
        LOG_SHARDS, LOG_SLOTS, LogRow, LoggedNote, NoteIndex, NoteLog, SoftwareNote, StreamKey,
        log_shard,
    },
    proptest::{
        prelude::{ProptestConfig, Strategy, prop_assert, prop_assert_eq, prop_oneof, proptest},
        test_runner::RngSeed,
    },
    std::{collections::BTreeMap, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(14);

fn stream(number: usize) -> StreamKey {
    seeded_rng::mix(7, &number.to_le_bytes())
}

fn note(number: usize) -> SoftwareNote {
    SoftwareNote {
        life: PATIENCE,
        software: format!("v{}", number % 3).into(),
        stream: stream(number),
    }
}

/// The rows of the store by shard and slot, each with the number of its writes.
#[derive(Default)]
struct Rows {
    calls: usize,
    rows: BTreeMap<(u64, u64), (u64, Vec<LoggedNote>)>,
}

impl Rows {
    fn commit(&mut self, rows: &[LogRow]) -> bool {
        self.calls += 1;
        if rows.iter().any(|row| self.stored(row).0 != row.version) {
            return false;
        }
        for row in rows {
            let key = (row.shard, row.slot);
            self.rows.insert(key, (row.version + 1, row.notes.clone()));
        }
        true
    }

    fn stored(&self, row: &LogRow) -> (u64, Vec<LoggedNote>) {
        let stored = self.rows.get(&(row.shard, row.slot));
        stored.cloned().unwrap_or_default()
    }

    /// One round of a writer.
    fn write(&mut self, log: &mut NoteLog, clock: Duration) {
        let mut rows = log.rows(clock);
        if rows.is_empty() {
            return;
        }
        if !self.commit(&rows) {
            for row in &rows {
                let (version, notes) = self.stored(row);
                log.merge(row.shard, version, notes, clock);
            }
            rows = log.rows(clock);
            assert!(self.commit(&rows));
        }
        log.note_written(&rows);
    }

    fn index(&self, clock: Duration) -> NoteIndex {
        let mut index = NoteIndex::default();
        for shard in 0..LOG_SHARDS {
            let rows = self.rows.iter().filter(|((of, _), _)| *of == shard);
            let notes = rows.flat_map(|(_, (_, notes))| notes.clone());
            index.replace(shard, notes.collect(), Some(clock));
        }
        index
    }
}

/// Guards against a log that grows, and against calls or rows in proportion to the streams.
#[test]
fn rows_and_calls_are_bounded_however_many_streams_begin() {
    for per_period in [1, 20, 500, 4_000] {
        let mut log = NoteLog::new();
        let mut rows = Rows::default();
        let mut clock = SECOND * 1_000;
        let mut largest = 0;
        for period in 0..480 {
            for number in 0..per_period {
                log.add(note(period * per_period + number), clock);
            }
            let batch: usize = log.rows(clock).iter().map(|row| row.notes.len()).sum();
            largest = largest.max(batch);
            rows.write(&mut log, clock);
            clock += PERIOD;
        }
        // Four a second, and one more for each slot of four seconds.
        assert!(rows.calls <= 480 + 30, "{} calls", rows.calls);
        assert!(rows.rows.len() as u64 <= LOG_SHARDS * LOG_SLOTS);
        assert!(largest as u64 <= LOG_SHARDS * 2_500);
        let is_over = per_period == 4_000;
        assert_eq!(log.take_dropped() > 0, is_over, "{per_period}");
    }
}

/// Guards against notes that are lost since the writer before was killed within a slot.
#[test]
fn a_writer_that_starts_within_a_slot_keeps_what_the_one_before_wrote() {
    let mut rows = Rows::default();
    let clock = SECOND * 1_000;
    for (number, clock) in [(0, clock), (1, clock + SECOND)] {
        let mut log = NoteLog::new();
        for number in number * 40..(number + 1) * 40 {
            log.add(note(number), clock);
        }
        rows.write(&mut log, clock);
    }
    let index = rows.index(clock + SECOND);
    for number in 0..80 {
        let expected = note(number).software;
        assert_eq!(index.software(stream(number)), Some(&expected));
    }
}

/// Guards against streams that are lost since the store was silent.
#[test]
fn what_could_not_be_written_is_written_in_a_later_slot() {
    let mut log = NoteLog::new();
    let clock = SECOND * 1_000;
    log.add(note(1), clock);
    let rows = log.rows(clock);
    assert_eq!(rows.iter().map(|row| row.notes.len()).sum::<usize>(), 1);
    assert!(log.is_pending());
    let mut rows = Rows::default();
    rows.write(&mut log, clock + SECOND * 5);
    assert!(!log.is_pending());
    let index = rows.index(clock + SECOND * 5);
    assert!(index.software(stream(1)).is_some());
    let index = rows.index(clock + PATIENCE);
    assert!(
        index.software(stream(1)).is_none(),
        "its caller has given up"
    );
}

#[derive(Clone, Debug)]
enum Event {
    Add(usize),
    /// Notes go to the other one of two writers, until they change back.
    Change,
    /// Another instance writes from now on.
    Restart,
    /// Time passes and the writer writes, or the store is silent.
    Write(u32, bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1..20_usize).prop_map(Event::Add),
        2 => proptest::strategy::Just(Event::Change),
        1 => proptest::strategy::Just(Event::Restart),
        8 => (1..8_u32, proptest::bool::weighted(0.8)).prop_map(|(periods, answers)| Event::Write(periods, answers)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(53),
        ..ProptestConfig::default()
    })]

    /// Guards against notes that are lost though the store took them, and against ones that name another version.
    #[test]
    fn all_that_was_written_is_found_until_its_caller_gives_up(
        events in proptest::collection::vec(event(), 20..120),
    ) {
        let mut log = NoteLog::new();
        let mut other = (NoteLog::new(), Vec::new());
        let mut rows = Rows::default();
        let mut clock = SECOND * 1_000;
        let mut waiting: Vec<(usize, Duration)> = Vec::new();
        let mut written: Vec<(usize, Duration)> = Vec::new();
        let mut count = 0;
        for event in events {
            match event {
                Event::Add(notes) => {
                    for _ in 0..notes {
                        log.add(note(count), clock);
                        waiting.push((count, clock + PATIENCE));
                        count += 1;
                    }
                }
                Event::Change => {
                    std::mem::swap(&mut log, &mut other.0);
                    std::mem::swap(&mut waiting, &mut other.1);
                }
                Event::Restart => {
                    log = NoteLog::new();
                    waiting.clear();
                }
                Event::Write(periods, answers) => {
                    clock += PERIOD * periods;
                    if answers {
                        rows.write(&mut log, clock);
                        written.append(&mut waiting);
                    } else {
                        log.rows(clock);
                    }
                }
            }
            let index = rows.index(clock);
            for (number, until) in written.iter().rev().take(300) {
                let expected = note(*number).software;
                let found = index.software(stream(*number));
                if clock < *until {
                    prop_assert_eq!(found, Some(&expected), "{}", number);
                }
            }
            prop_assert!(rows.rows.keys().all(|(shard, slot)| *shard < LOG_SHARDS && *slot < LOG_SLOTS));
            prop_assert!(rows.rows.iter().all(|((shard, _), (_, notes))| notes.iter().all(|note| log_shard(note.stream) == *shard)));
        }
    }
}
