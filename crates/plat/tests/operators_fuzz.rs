//! Fuzzes concurrent operators, stale files, lost replies, outages, restarted instances and a platform restored
//! from old copies against an oracle that tracks which accepted edit of each row the platform and the instances
//! hold.

mod common;

use {
    common::{Fault, MemoryStore, Rows as StoredRows, origin, row},
    kernel::ResultCode,
    plat::{EditOutcome, EditRequest, content_digest},
    proptest::{prelude::*, test_runner::RngSeed},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
    table::{
        FileBase, KeeperAction, KeeperEvent, TableFile, TableKeeper, TableSource, read_csv,
        write_csv,
    },
    tokio::runtime::Runtime,
};

const INSTANCES: usize = 3;
const KEYS: [&str; 4] = ["confirm", "draft", "notes", "tiles"];
const OPERATORS: usize = 2;

/// The fault during one apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ApplyFault {
    /// The platform is down before the first call.
    Down,
    /// The write takes effect, its reply is lost, and the platform is down from then on.
    DownAfterWrite,
    None,
    /// The write takes effect and its reply is lost.
    Reply,
    /// The first write is lost, and so is the reply of the next one.
    RequestThenReply,
}

#[derive(Clone, Debug)]
enum Step {
    /// Applies the operator's file; the other operator's file may be applied between its read and its write.
    Apply {
        operator: usize,
        raced: bool,
        /// The operator's clock is behind, and entry instances report the greatest version.
        slow_clock: bool,
        fault: ApplyFault,
    },
    /// Backs up the platform's rows.
    Backup,
    /// Changes a row of the operator's file; weight 0 removes it.
    Change {
        key: usize,
        operator: usize,
        weight: u8,
    },
    /// Exports a current file, changes a row and applies it.
    Edit {
        key: usize,
        operator: usize,
        slow_clock: bool,
        weight: u8,
    },
    /// Two instances receive two rounds of each other's heartbeats and pull. One round is not enough after a
    /// fork: the instance with the greater version pulls nothing until the other has merged and has a different
    /// digest.
    Meet { left: usize, right: usize },
    /// An instance polls the platform; its write-back may lose a reply.
    Poll { instance: usize, lose_reply: bool },
    /// Replaces an instance.
    Restart { instance: usize },
    /// Restores the last backup of the platform.
    RestoreBackup,
    /// The operator exports a current file.
    Take { operator: usize },
}

/// The weight of each row; 0 for a row that does not exist.
type Weights = [u8; KEYS.len()];

/// The state of each row at one holder: the sequence number of its accepted edit, and its weight.
type Held = [(u64, u8); KEYS.len()];

#[derive(Clone, Debug, Default)]
struct Platform {
    /// The contents that its edit log can be reverted to.
    past: Vec<Weights>,
    rows: Held,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Expected {
    #[default]
    Nothing,
    BaseUnknown,
    Committed,
    Conflict,
    Down,
    Unchanged,
    Unknown,
}

#[derive(Clone, Debug, Default)]
struct Oracle {
    backup: Platform,
    /// The number of accepted edits.
    edits: u64,
    expected: Expected,
    /// The file of each operator: as exported, and as changed.
    files: [(Weights, Weights); OPERATORS],
    instances: [Held; INSTANCES],
    platform: Platform,
}

impl Oracle {
    /// The expected outcome of applying an operator's file now.
    fn predict(&self, operator: usize) -> Expected {
        let (base, mine) = self.files[operator];
        if !self.platform.past.contains(&base) && base != Weights::default() {
            return Expected::BaseUnknown;
        }
        let now = self.platform.rows.map(|(_, weight)| weight);
        let edits =
            (0..KEYS.len()).filter(|key| mine[*key] != base[*key] && mine[*key] != now[*key]);
        let mut outcome = Expected::Unchanged;
        for key in edits {
            if now[key] != base[key] {
                return Expected::Conflict;
            }
            outcome = Expected::Committed;
        }
        outcome
    }

    /// Applies an operator's file.
    fn apply(&mut self, operator: usize) -> Expected {
        let outcome = self.predict(operator);
        if outcome == Expected::Committed {
            self.edits += 1;
            let (base, mine) = self.files[operator];
            for key in 0..KEYS.len() {
                if mine[key] != base[key] && mine[key] != self.platform.rows[key].1 {
                    self.platform.rows[key] = (self.edits, mine[key]);
                }
            }
            self.log();
        }
        outcome
    }

    fn log(&mut self) {
        let now = self.platform.rows.map(|(_, weight)| weight);
        self.platform.past.push(now);
    }

    /// Exports a current file for an operator.
    fn take(&mut self, operator: usize) {
        let now = self.platform.rows.map(|(_, weight)| weight);
        self.files[operator] = (now, now);
    }

    /// An instance and the platform exchange all accepted edits.
    fn poll(&mut self, instance: usize) {
        let before = self.platform.rows;
        let both = join(self.platform.rows, self.instances[instance]);
        self.instances[instance] = both;
        self.platform.rows = both;
        if before != both {
            self.log();
        }
    }
}

fn join(left: Held, right: Held) -> Held {
    std::array::from_fn(|key| left[key].max(right[key]))
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let operator = 0..OPERATORS;
        let instance = 0..INSTANCES;
        let fault = prop_oneof![
            4 => Just(ApplyFault::None),
            1 => Just(ApplyFault::Down),
            1 => Just(ApplyFault::DownAfterWrite),
            1 => Just(ApplyFault::Reply),
            1 => Just(ApplyFault::RequestThenReply),
        ];
        prop_oneof![
            6 => (operator.clone(), any::<bool>(), any::<bool>(), fault).prop_map(
                |(operator, raced, slow_clock, fault)| Step::Apply { operator, raced, slow_clock, fault }
            ),
            2 => Just(Step::Backup),
            8 => (0..KEYS.len(), operator.clone(), 0_u8..4).prop_map(
                |(key, operator, weight)| Step::Change { key, operator, weight }
            ),
            6 => (0..KEYS.len(), operator.clone(), any::<bool>(), 0_u8..4).prop_map(
                |(key, operator, slow_clock, weight)| Step::Edit { key, operator, slow_clock, weight }
            ),
            4 => (instance.clone(), instance.clone()).prop_map(|(left, right)| Step::Meet { left, right }),
            4 => (instance.clone(), any::<bool>()).prop_map(
                |(instance, lose_reply)| Step::Poll { instance, lose_reply }
            ),
            1 => instance.prop_map(|instance| Step::Restart { instance }),
            3 => Just(Step::RestoreBackup),
            3 => operator.prop_map(|operator| Step::Take { operator }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.expected = Expected::Nothing;
        match *step {
            Step::Apply {
                operator,
                raced,
                fault,
                ..
            } => {
                if fault == ApplyFault::Down {
                    state.expected = Expected::Down;
                    return state;
                }
                let writes = state.predict(operator) == Expected::Committed;
                if writes && raced {
                    state.apply(1 - operator);
                }
                state.expected = state.apply(operator);
                if fault == ApplyFault::DownAfterWrite && state.expected == Expected::Committed {
                    state.expected = Expected::Unknown;
                }
            }
            Step::Backup => state.backup = state.platform.clone(),
            Step::Change {
                key,
                operator,
                weight,
            } => state.files[operator].1[key] = weight,
            Step::Edit {
                key,
                operator,
                weight,
                ..
            } => {
                state.take(operator);
                state.files[operator].1[key] = weight;
                state.expected = state.apply(operator);
            }
            Step::Meet { left, right } => {
                let both = join(state.instances[left], state.instances[right]);
                state.instances[left] = both;
                state.instances[right] = both;
            }
            Step::Poll { instance, .. } => state.poll(instance),
            Step::Restart { instance } => state.instances[instance] = Held::default(),
            Step::RestoreBackup => state.platform = state.backup.clone(),
            Step::Take { operator } => state.take(operator),
        }
        state
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            // A write that is lost for good does not race, and a fault of a raced apply would hit the other apply.
            Step::Apply { raced, fault, .. } => !raced || *fault == ApplyFault::None,
            // An empty backup means that the whole table was lost, which another test covers.
            Step::RestoreBackup => !state.backup.past.is_empty(),
            _ => true,
        }
    }
}

struct TableSystem {
    backup: StoredRows,
    clock: u64,
    files: [TableFile; OPERATORS],
    keepers: Vec<TableKeeper>,
    now: Instant,
    runtime: Runtime,
    store: MemoryStore,
    /// Whether write-backs reach the platform.
    writes_back: bool,
}

impl TableSystem {
    /// The request for an operator's file, in the CSV dialect that a spreadsheet writes.
    fn request(&mut self, operator: usize, slow_clock: bool) -> EditRequest {
        self.clock += 10;
        let file = &self.files[operator];
        let text = write_csv(file.base, file.rows.values());
        let text = text.replace(',', ";").replace('\n', ";;\r\n");
        let file = read_csv("work.csv", text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
        let clock = if slow_clock {
            self.clock / 2
        } else {
            self.clock
        };
        let mut origin = origin(&format!("edit-{}", self.clock), clock);
        if slow_clock {
            let versions = self.keepers.iter().map(|keeper| keeper.head().version);
            origin.floor = versions.max().unwrap_or_default() + 1;
        }
        EditRequest {
            base: file.base.expect("the version line crosses a spreadsheet"),
            origin,
            rows: file.rows,
        }
    }

    fn apply(
        &mut self,
        operator: usize,
        raced: bool,
        slow_clock: bool,
        fault: ApplyFault,
    ) -> Expected {
        let edit = self.request(operator, slow_clock);
        let other = self.request(1 - operator, slow_clock);
        let repository = self.store.repository();
        let concurrent_edit = self.store.repository();
        {
            let mut state = self.store.state();
            state.is_down = fault == ApplyFault::Down;
            state.is_down_after_commit = fault == ApplyFault::DownAfterWrite;
            state.commits = match fault {
                ApplyFault::DownAfterWrite | ApplyFault::Reply => vec![Fault::LoseReply],
                ApplyFault::RequestThenReply => vec![Fault::LoseRequest, Fault::LoseReply],
                ApplyFault::Down | ApplyFault::None => Vec::new(),
            }
            .into();
            if raced {
                state.concurrent_edit = Some(Box::pin(async move {
                    let _ = concurrent_edit.commit_edit(&other).await;
                }));
            }
        }
        let outcome = self.runtime.block_on(repository.commit_edit(&edit));
        self.store.state().concurrent_edit = None;
        self.store.inject(&[]);
        self.store.restore_service();
        match outcome {
            Ok(EditOutcome::Committed { .. }) => Expected::Committed,
            Ok(EditOutcome::Conflict { .. }) => Expected::Conflict,
            Ok(EditOutcome::Unchanged { .. }) => Expected::Unchanged,
            Err(error) => match error.result_code() {
                ResultCode::DigestDiffers | ResultCode::VersionFell => Expected::BaseUnknown,
                ResultCode::EditUnknown => Expected::Unknown,
                ResultCode::PlatformUnreachable => Expected::Down,
                code => panic!("{code:?}: {error}"),
            },
        }
    }

    fn change(&mut self, operator: usize, key: usize, weight: u8) {
        let rows = &mut self.files[operator].rows;
        match weight {
            0 => rows.remove(KEYS[key]),
            _ => rows.insert(KEYS[key].into(), row(KEYS[key], weight)),
        };
    }

    /// Sends a head to a keeper and serves its requests until it makes none.
    fn send_head(&mut self, to: usize, source: TableSource, head: table::TableHead) {
        self.now += std::time::Duration::from_secs(10);
        let asked = self.now;
        let mut events = vec![KeeperEvent::Head {
            asked,
            head,
            source,
        }];
        for _ in 0..8 {
            let Some(event) = events.pop() else {
                return;
            };
            let before = self.keepers[to].table().clone();
            let mut actions = Vec::new();
            self.keepers[to].on_event(self.now, event, &mut actions);
            assert_monotonic(&before, self.keepers[to].table());
            for action in actions {
                events.extend(self.serve(action));
            }
        }
        panic!("keeper {to} asks without end");
    }

    fn serve(&mut self, action: KeeperAction) -> Option<KeeperEvent> {
        match action {
            KeeperAction::Pull { since, source } => {
                let patch = match &source {
                    TableSource::Peer(name) => {
                        let index: usize = name.parse().expect("a keeper's index");
                        self.keepers[index].patch_since(since)
                    }
                    TableSource::Platform => {
                        let repository = self.store.repository();
                        let snapshot = self.runtime.block_on(repository.snapshot());
                        snapshot
                            .expect("a consistent table")
                            .table
                            .patch_since(since)
                    }
                };
                Some(KeeperEvent::Pulled { patch, source })
            }
            KeeperAction::Restore(held) if self.writes_back => {
                self.clock += 10;
                let origin = origin(&format!("heal-{}", self.clock), self.clock / 2);
                let repository = self.store.repository();
                let version = self.runtime.block_on(repository.restore(&held, &origin));
                let version = version.expect("the platform answers");
                Some(KeeperEvent::Restored { version })
            }
            _ => None,
        }
    }

    /// Polls the platform twice, since the first poll may write edits back.
    fn poll(&mut self, instance: usize, lose_reply: bool) {
        if lose_reply {
            self.store.inject(&[Fault::LoseReply]);
        }
        for _ in 0..2 {
            let head = self.runtime.block_on(self.store.repository().head());
            let head = head.expect("the platform answers");
            let head = head.map(|head| head.head()).unwrap_or_default();
            self.send_head(instance, TableSource::Platform, head);
        }
        self.store.inject(&[]);
    }

    fn take(&mut self, operator: usize) {
        let snapshot = self.runtime.block_on(self.store.repository().snapshot());
        let snapshot = snapshot.expect("a consistent table");
        let rows = snapshot.table.live_rows();
        let base = FileBase {
            digest: Some(content_digest(&rows)),
            version: snapshot.version(),
        };
        self.files[operator] = TableFile {
            base: Some(base),
            rows,
        };
    }

    /// Checks that every edit is in the log at most once.
    fn assert_once(&self) {
        let mut ids = BTreeSet::new();
        for (key, row) in &self.store.state().rows {
            if !key.starts_with("table/edit/") {
                continue;
            }
            let record: plat::EditRecord = serde_json::from_str(&row.value).expect("a log entry");
            assert!(ids.insert(record.id.clone()), "{} is done twice", record.id);
        }
    }
}

fn assert_monotonic(before: &table::StampedTable, after: &table::StampedTable) {
    assert!(after.version() >= before.version(), "a version went down");
    for (work, held) in before.rows() {
        assert!(
            after.rows()[work].stamp >= held.stamp,
            "row {work} reverted"
        );
    }
}

fn weights(table: &table::StampedTable) -> Weights {
    let rows = table.live_rows();
    KEYS.map(|key| rows.get(key).map_or(0, |row| row.weight as u8))
}

struct OperatorsTest;

impl StateMachineTest for OperatorsTest {
    type Reference = Oracle;
    type SystemUnderTest = TableSystem;

    fn init_test(_: &Oracle) -> TableSystem {
        let now = Instant::now();
        let empty = TableFile {
            base: Some(FileBase {
                digest: Some(content_digest(&BTreeMap::new())),
                version: 0,
            }),
            rows: BTreeMap::new(),
        };
        TableSystem {
            backup: StoredRows::new(),
            clock: 1000,
            files: [empty.clone(), empty],
            keepers: vec![TableKeeper::new(now); INSTANCES],
            now,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .build()
                .expect("a runtime"),
            store: MemoryStore::default(),
            writes_back: true,
        }
    }

    fn apply(mut system: TableSystem, oracle: &Oracle, step: Step) -> TableSystem {
        match step {
            Step::Apply {
                operator,
                raced,
                slow_clock,
                fault,
            } => {
                let outcome = system.apply(operator, raced, slow_clock, fault);
                assert_eq!(outcome, oracle.expected, "{step:?}");
            }
            Step::Backup => system.backup = system.store.state().rows.clone(),
            Step::Change {
                key,
                operator,
                weight,
            } => system.change(operator, key, weight),
            Step::Edit {
                key,
                operator,
                slow_clock,
                weight,
            } => {
                system.take(operator);
                system.change(operator, key, weight);
                let outcome = system.apply(operator, false, slow_clock, ApplyFault::None);
                assert_eq!(outcome, oracle.expected, "{step:?}");
            }
            Step::Meet { left, right } => {
                // Merged edits reach the platform with a later poll.
                system.writes_back = false;
                for (from, to) in [(left, right), (right, left), (left, right), (right, left)] {
                    let head = system.keepers[from].head();
                    let source = TableSource::Peer(from.to_string().into());
                    system.send_head(to, source, head);
                }
                system.writes_back = true;
            }
            Step::Poll {
                instance,
                lose_reply,
            } => system.poll(instance, lose_reply),
            Step::Restart { instance } => system.keepers[instance] = TableKeeper::new(system.now),
            Step::RestoreBackup => system.store.state().rows = system.backup.clone(),
            Step::Take { operator } => system.take(operator),
        }
        system.assert_once();
        system
    }

    fn check_invariants(system: &TableSystem, oracle: &Oracle) {
        let snapshot = system
            .runtime
            .block_on(system.store.repository().snapshot());
        let snapshot = snapshot.expect("a consistent table");
        let expected = oracle.platform.rows.map(|(_, weight)| weight);
        assert_eq!(weights(&snapshot.table), expected, "the platform");
        for (keeper, held) in system.keepers.iter().zip(&oracle.instances) {
            let expected = held.map(|(_, weight)| weight);
            assert_eq!(weights(keeper.table()), expected, "an instance");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        max_shrink_iters: 4000,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_edits_stand_whatever_happens(sequential 1..60 => OperatorsTest);
}
