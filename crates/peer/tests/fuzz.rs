//! Stateful fuzzing: several membership state machines under partitions, loss, duplication, reordering, crashes, pauses
//! and clock skew, against a simple oracle. No incarnation and no version ever decreases; after the faults end and a
//! quiet period, all live instances have exactly each other as members and agree on table and marks.

#[path = "support/fleet.rs"]
mod fleet;

use {
    fleet::{Fleet, mark_names, revision},
    peer::{MemberEvent, MemberSettings},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{collections::BTreeSet, time::Duration},
};

const NODES: usize = 12;
const ZONES: usize = 3;
const QUIET: Duration = Duration::from_secs(60);
const HOUR_MICROS: u64 = 3_600_000_000;

/// One operation or fault applied to the fleet.
#[derive(Clone, Debug)]
enum FleetStep {
    Advance(u64),
    Close(usize),
    Crash(usize),
    Edit(usize),
    Freeze(usize),
    Heal,
    Lose {
        jitter: u64,
        loss: f64,
        repeats: f64,
    },
    Mark(usize, u8),
    OldTable(usize),
    Partition(u64),
    Restart {
        back: bool,
        node: usize,
    },
    Thaw(usize),
}

/// The oracle's state: which processes run, and which upstreams each marked since its start.
#[derive(Clone, Debug)]
struct FleetModel {
    frozen: [bool; NODES],
    is_sparse: bool,
    marks: BTreeSet<(u8, usize)>,
    seed: u64,
    up: [bool; NODES],
}

impl FleetModel {
    /// Whether this process runs and another one of its zone does, so that it may stop.
    fn can_stop(&self, node: usize) -> bool {
        let zone_members =
            (0..NODES).filter(|other| other % ZONES == node % ZONES && *other != node);
        self.up[node] && zone_members.into_iter().any(|other| self.up[other])
    }
}

impl ReferenceStateMachine for FleetModel {
    type State = Self;
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<Self> {
        (any::<bool>(), any::<u64>())
            .prop_map(|(is_sparse, seed)| Self {
                frozen: [false; NODES],
                is_sparse,
                marks: BTreeSet::new(),
                seed,
                up: [true; NODES],
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<FleetStep> {
        let node = 0..NODES;
        prop_oneof![
            6 => (10_u64..6_000).prop_map(FleetStep::Advance),
            1 => node.clone().prop_map(FleetStep::Close),
            2 => node.clone().prop_map(FleetStep::Crash),
            2 => node.clone().prop_map(FleetStep::Edit),
            2 => node.clone().prop_map(FleetStep::Freeze),
            1 => Just(FleetStep::Heal),
            1 => (0_u64..400, 0.0..0.4, 0.0..0.3).prop_map(|(jitter, loss, repeats)| {
                FleetStep::Lose { jitter, loss, repeats }
            }),
            2 => (node.clone(), 0_u8..4).prop_map(|(node, mark)| FleetStep::Mark(node, mark)),
            1 => node.clone().prop_map(FleetStep::OldTable),
            2 => any::<u64>().prop_map(FleetStep::Partition),
            3 => (any::<bool>(), node.clone())
                .prop_map(|(back, node)| FleetStep::Restart { back, node }),
            2 => node.prop_map(FleetStep::Thaw),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &FleetStep) -> Self {
        match step {
            FleetStep::Close(node) | FleetStep::Crash(node) => {
                model.up[*node] = false;
                model.frozen[*node] = false;
                model.marks.retain(|(_, by)| by != node);
            }
            FleetStep::Freeze(node) => model.frozen[*node] = true,
            FleetStep::Heal => model.frozen = [false; NODES],
            FleetStep::Mark(node, upstream) => {
                model.marks.insert((*upstream, *node));
            }
            FleetStep::Restart { node, .. } => model.up[*node] = true,
            FleetStep::Thaw(node) => model.frozen[*node] = false,
            _ => {}
        }
        model
    }

    fn preconditions(model: &Self, step: &FleetStep) -> bool {
        match step {
            FleetStep::Close(node) | FleetStep::Crash(node) => {
                model.can_stop(*node) && !model.frozen[*node]
            }
            FleetStep::Edit(node) | FleetStep::Mark(node, _) | FleetStep::OldTable(node) => {
                model.up[*node] && !model.frozen[*node]
            }
            FleetStep::Freeze(node) => model.up[*node],
            FleetStep::Restart { node, .. } => !model.up[*node],
            FleetStep::Thaw(node) => model.frozen[*node],
            _ => true,
        }
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Fleet;
    type Reference = FleetModel;

    fn init_test(model: &FleetModel) -> Fleet {
        let neighbours = if model.is_sparse { 2 } else { NODES };
        let settings = MemberSettings::builder()
            .mark_lifetime(Duration::from_secs(3_600))
            .neighbour_limit(neighbours)
            .probe_interval(Duration::from_secs(1))
            .build();
        Fleet::new(NODES, ZONES, settings, model.seed)
    }

    fn apply(mut fleet: Fleet, _: &FleetModel, step: FleetStep) -> Fleet {
        match step {
            FleetStep::Advance(millis) => fleet.run(Duration::from_millis(millis)),
            FleetStep::Close(node) => fleet.close(node),
            FleetStep::Crash(node) => fleet.crash(node),
            FleetStep::Edit(node) => fleet.edit(node),
            FleetStep::Freeze(node) => fleet.nodes[node].frozen = true,
            FleetStep::Heal => fleet.heal(),
            FleetStep::Lose {
                jitter,
                loss,
                repeats,
            } => {
                fleet.jitter = Duration::from_millis(jitter);
                fleet.loss = loss;
                fleet.repeats = repeats;
            }
            FleetStep::Mark(node, upstream) => fleet.mark(node, &format!("engine-{upstream}")),
            FleetStep::OldTable(node) => fleet.feed(node, MemberEvent::Table(revision(1))),
            FleetStep::Partition(mask) => fleet.partition(mask),
            FleetStep::Restart { back, node } => {
                fleet.start(node, if back { HOUR_MICROS } else { 0 });
            }
            FleetStep::Thaw(node) => fleet.thaw(node),
        }
        fleet.check_monotonic();
        fleet
    }

    fn teardown(mut fleet: Fleet, model: FleetModel) {
        fleet.heal();
        let first = fleet.live()[0].0;
        fleet.edit(first);
        fleet.run(QUIET);
        fleet.check_monotonic();
        fleet.check_agreement();
        let (_, table) = fleet.live()[0];
        let names = mark_names(table, std::time::Instant::now());
        for (upstream, by) in model.marks {
            let upstream = format!("engine-{upstream}").into();
            assert!(
                names.contains(&(upstream, fleet.name(by))),
                "a mark is missing"
            );
        }
    }
}

/// Uses a fixed seed and number of cases unless proptest's environment variables set others.
fn config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 64;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(20_260_701);
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn live_instances_agree_after_any_faults(sequential 1..40 => FleetTest);
}
