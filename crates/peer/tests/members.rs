//! The membership state machine in virtual time: one behaviour per test.

#[path = "support/fleet.rs"]
mod fleet;

use {
    fleet::{Fleet, revision},
    kernel::{InstanceId, ZoneId},
    peer::{
        MemberAction, MemberEvent, MemberMessage, MemberSettings, MemberState, MemberTable,
        MemberUpdate, PeerIdentity, RefusedCause,
        neighbour_ring::{NeighbourRing, RingLimits},
        version_floors::FLOOR_STEPS,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const SETTLE: Duration = Duration::from_secs(60);

fn second(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn settled_fleet(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(count, zones, MemberSettings::default(), 7);
    fleet.edit(0);
    fleet.run(SETTLE);
    fleet.check_agreement();
    fleet.updates.clear();
    fleet
}

fn dead_members(fleet: &Fleet) -> BTreeSet<InstanceId> {
    let mut dead = BTreeSet::new();
    for (_, _, update) in &fleet.updates {
        let MemberUpdate::MemberDead { instance, .. } = update else {
            continue;
        };
        dead.insert(instance.clone());
    }
    dead
}

#[test]
fn a_crashed_member_is_gone_everywhere_within_the_bound() {
    let mut fleet = settled_fleet(9, 3);
    fleet.crash(4);
    fleet.run(second(5));
    let observers: BTreeSet<usize> = fleet
        .updates
        .iter()
        .map(|(observer, ..)| *observer)
        .collect();
    assert_eq!(dead_members(&fleet), BTreeSet::from([fleet.name(4)]));
    assert_eq!(observers.len(), 8);
    fleet.check_agreement();
}

#[test]
fn a_member_that_was_paused_takes_a_new_life() {
    let mut fleet = settled_fleet(9, 3);
    let incarnation = fleet.nodes[4].table.as_ref().unwrap().incarnation();
    fleet.nodes[4].frozen = true;
    fleet.run(second(20));
    fleet.thaw(4);
    fleet.run(second(20));
    assert!(fleet.nodes[4].table.as_ref().unwrap().incarnation() > incarnation);
    fleet.check_agreement();
}

#[test]
fn a_restart_with_a_clock_that_went_back_takes_a_later_life() {
    let mut fleet = settled_fleet(9, 3);
    let incarnation = fleet.nodes[4].table.as_ref().unwrap().incarnation();
    fleet.crash(4);
    fleet.start(4, 400_000_000);
    assert!(fleet.nodes[4].table.as_ref().unwrap().incarnation() < incarnation);
    fleet.run(second(40));
    assert!(fleet.nodes[4].table.as_ref().unwrap().incarnation() > incarnation);
    fleet.check_agreement();
}

#[test]
fn a_lossy_network_makes_nobody_gone() {
    let mut fleet = settled_fleet(30, 3);
    fleet.loss = 0.2;
    fleet.jitter = Duration::from_millis(80);
    fleet.run(second(120));
    assert_eq!(dead_members(&fleet), BTreeSet::new());
}

#[test]
fn a_rack_that_is_cut_off_declares_nobody_gone() {
    let mut fleet = settled_fleet(24, 2);
    // Three members of one zone are isolated together: three of twelve are less than half of the zone.
    fleet.partition(0b1_0101);
    fleet.run(second(30));
    let rack = [fleet.name(0), fleet.name(2), fleet.name(4)];
    let mut declared_dead = BTreeMap::<InstanceId, BTreeSet<InstanceId>>::new();
    for (observer, _, update) in &fleet.updates {
        if let MemberUpdate::MemberDead { instance, .. } = update {
            let observer = fleet.name(*observer);
            declared_dead
                .entry(observer)
                .or_default()
                .insert(instance.clone());
        }
    }
    for (observer, members) in declared_dead {
        assert!(
            !rack.contains(&observer),
            "{observer} declared {members:?} dead"
        );
        assert_eq!(members, rack.iter().cloned().collect());
    }
    fleet.heal();
    fleet.run(SETTLE);
    fleet.check_agreement();
}

#[test]
fn a_zone_that_is_cut_off_keeps_its_members_and_is_heard_again() {
    let mut fleet = settled_fleet(45, 3);
    let mut mask = 0;
    for index in (0..45).step_by(3) {
        mask |= 1 << index;
    }
    fleet.partition(mask);
    fleet.run(second(30));
    assert_eq!(dead_members(&fleet), BTreeSet::new());
    let is_cut = |update: &MemberUpdate| matches!(update, MemberUpdate::ZoneUnreachable { zone } if &**zone == "zone-00");
    let observers: BTreeSet<usize> = fleet
        .updates
        .iter()
        .filter(|(.., update)| is_cut(update))
        .map(|(observer, ..)| *observer)
        .collect();
    assert_eq!(observers.len(), 30);
    fleet.heal();
    fleet.run(second(20));
    let reachable = fleet
        .updates
        .iter()
        .filter(|(.., update)| matches!(update, MemberUpdate::ZoneReachable { .. }));
    assert!(reachable.count() >= 30);
    fleet.check_agreement();
}

#[test]
fn a_mark_and_a_version_spread_over_zones_within_two_seconds() {
    let mut fleet = settled_fleet(120, 4);
    fleet.loss = 0.05;
    fleet.mark(17, "engine-1");
    fleet.edit(33);
    fleet.run(second(2));
    let marked = fleet
        .updates
        .iter()
        .filter(|(.., update)| matches!(update, MemberUpdate::Marked(_)));
    assert_eq!(marked.count(), 120);
    fleet.check_agreement();
}

#[test]
fn a_zone_floor_follows_its_slowest_member() {
    let mut fleet = settled_fleet(40, 1);
    fleet.pulls_lost = Some(11);
    fleet.edit(0);
    fleet.run(second(10));
    let floors = |fleet: &Fleet| -> BTreeSet<u64> {
        let live = fleet.live();
        live.iter().map(|(_, table)| table.zone_floor()).collect()
    };
    assert_eq!(floors(&fleet), [fleet.head - 1].into());
    fleet.pulls_lost = None;
    fleet.run(second(10));
    assert_eq!(floors(&fleet), [fleet.head].into());
}

#[test]
fn an_instance_whose_zone_died_around_it_finds_the_other_zones() {
    let settings = MemberSettings::builder().neighbour_limit(2).build();
    let mut fleet = Fleet::new(12, 3, settings, 0);
    fleet.crash(2);
    fleet.run(Duration::from_millis(10));
    fleet.crash(5);
    fleet.crash(11);
    fleet.edit(0);
    fleet.run(SETTLE);
    fleet.check_agreement();
}

#[test]
fn an_older_table_is_refused_and_told() {
    let mut fleet = settled_fleet(3, 1);
    fleet.feed(0, MemberEvent::Table(revision(1)));
    let ours = fleet.head;
    let expected = MemberUpdate::VersionRegressed { ours, version: 1 };
    assert_eq!(fleet.updates.last().unwrap().2, expected);
    assert_eq!(
        fleet.nodes[0].table.as_ref().unwrap().table(),
        revision(ours)
    );
}

#[test]
fn one_version_with_two_contents_is_told() {
    let mut fleet = settled_fleet(3, 1);
    let mut other = revision(fleet.head);
    other.digest += 1;
    fleet.feed(0, MemberEvent::Table(other));
    fleet.run(second(2));
    let reports = fleet
        .updates
        .iter()
        .filter(|(.., update)| matches!(update, MemberUpdate::DigestDiffers { .. }));
    assert!(reports.count() > 0);
}

/// A membership table and the first heartbeat of a peer.
fn heartbeat() -> (MemberTable, PeerIdentity, MemberMessage, Instant) {
    let now = Instant::now();
    let address = ([127, 0, 0, 1], 1).into();
    let make = |name: &str| {
        let identity = MemberTable::identity(name.into(), 5, "a".into(), address);
        let contacts = ["x".into(), "y".into()].into();
        MemberTable::new(now, identity, contacts, MemberSettings::default())
    };
    let mut sender = make("x");
    sender.on_event(
        now,
        MemberEvent::State(MemberState::Serving),
        &mut Vec::new(),
    );
    let mut actions = Vec::new();
    sender.on_event(now, MemberEvent::Tick, &mut actions);
    let message = actions.into_iter().find_map(|action| match action {
        MemberAction::Send { message, .. } => Some(message),
        _ => None,
    });
    let from = PeerIdentity {
        incarnation: 5,
        instance: "x".into(),
    };
    (make("y"), from, message.unwrap(), now)
}

#[test]
fn a_replayed_heartbeat_is_refused() {
    let (mut table, from, message, now) = heartbeat();
    let mut actions = Vec::new();
    for _ in 0..2 {
        let event = MemberEvent::Message {
            from: from.clone(),
            message: message.clone(),
        };
        table.on_event(now, event, &mut actions);
    }
    let refused = MemberAction::Refuse(RefusedCause::Replayed);
    assert_eq!(
        actions.iter().filter(|action| **action == refused).count(),
        1
    );
}

#[test]
fn a_heartbeat_for_another_member_is_refused() {
    let (mut table, from, message, now) = heartbeat();
    for from in [
        PeerIdentity {
            instance: "z".into(),
            ..from.clone()
        },
        PeerIdentity {
            incarnation: 6,
            ..from
        },
    ] {
        let mut actions = Vec::new();
        let event = MemberEvent::Message {
            from,
            message: message.clone(),
        };
        table.on_event(now, event, &mut actions);
        assert_eq!(actions, [MemberAction::Refuse(RefusedCause::Garbled)]);
    }
}

fn ring(count: usize) -> (NeighbourRing, Vec<InstanceId>) {
    let mut ring = NeighbourRing::default();
    let names: Vec<InstanceId> = (0..count).map(|index| format!("n{index}").into()).collect();
    for name in &names {
        ring.add("a".into(), name.clone(), true);
    }
    (ring, names)
}

const LIMITS: RingLimits = RingLimits {
    neighbours: 8,
    zone_links: 2,
};

#[test]
fn links_in_a_zone_are_bounded_mutual_and_short() {
    let zone: ZoneId = "a".into();
    for count in [2, 9, 10, 11, 25, 60, 107, 214, 400] {
        let (ring, names) = ring(count);
        let links: BTreeMap<&InstanceId, BTreeSet<InstanceId>> = names
            .iter()
            .map(|name| (name, ring.neighbours(&zone, name, LIMITS)))
            .collect();
        let mut reached = BTreeSet::from([&names[0]]);
        let mut steps = 0;
        while reached.len() < count {
            reached = reached
                .iter()
                .flat_map(|name| &links[*name])
                .chain(reached.clone())
                .collect();
            steps += 1;
            assert!(
                steps <= FLOOR_STEPS,
                "{count} members take more than {steps} steps"
            );
        }
        for (name, neighbours) in &links {
            assert!(neighbours.len() <= 8);
            assert!(neighbours.iter().all(|other| links[other].contains(*name)));
        }
    }
}

#[test]
fn links_between_zones_are_few() {
    let mut ring = NeighbourRing::default();
    let mut members = Vec::new();
    for index in 0..1_500 {
        let zone: ZoneId = format!("zone-{:02}", index % 14).into();
        let name: InstanceId = format!("node-{index:04}").into();
        ring.add(zone.clone(), name.clone(), true);
        members.push((zone, name));
    }
    let mut links = 0;
    let mut most = 0;
    for (zone, name) in members.iter().take(140) {
        let neighbours = ring.neighbours(zone, name, LIMITS);
        let foreign = neighbours.len().saturating_sub(8);
        links += foreign;
        most = most.max(foreign);
    }
    assert!(most <= 8, "{most}");
    assert!(links < 140, "{links}");
}
