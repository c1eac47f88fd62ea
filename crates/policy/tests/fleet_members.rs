//! Which instance carries a role for its availability zone.

use {
    kernel::{InstanceId, ZoneId},
    policy::{FleetMember, FleetMembers},
    std::collections::{BTreeMap, BTreeSet},
};

const CELLS: usize = 1_000;
const STRONG: u64 = 100_000;
const WEAK: u64 = 2_400;

fn members() -> Vec<FleetMember> {
    zone_of(3, STRONG)
}

/// A zone with some instances that are stronger than the others.
fn zone_of(count: usize, capacity: u64) -> Vec<FleetMember> {
    let weak = (0..57).map(|index| (format!("weak-{index}"), WEAK));
    let strong = (0..count).map(move |index| (format!("strong-{index}"), capacity));
    let member = |(name, capacity): (String, u64)| FleetMember {
        capacity,
        instance: InstanceId::from(name.as_str()),
        zone: ZoneId::from("gijon"),
    };
    weak.chain(strong).map(member).collect()
}

fn carrier(members: Vec<FleetMember>, key: &str, excluded: &[&str]) -> Option<InstanceId> {
    let fleet = FleetMembers::new(members);
    let is_excluded = |name: &InstanceId| excluded.contains(&&**name);
    fleet
        .carrier(&ZoneId::from("gijon"), key, is_excluded)
        .cloned()
}

// Guards against a role of the whole zone that falls to an instance by chance, whatever it bears.
#[test]
fn roles_fall_to_the_strong_instances_and_spread_over_them() {
    let keys = (0..30).map(|cell| format!("redactor/{cell}"));
    let carriers: BTreeSet<InstanceId> = keys
        .filter_map(|key| carrier(members(), &key, &[]))
        .collect();
    let strong = (0..3).map(|index| InstanceId::from(format!("strong-{index}").as_str()));
    assert_eq!(carriers, strong.collect());
}

// Guards against instances that choose differently, since they list their fleet in another order.
#[test]
fn the_order_of_the_members_does_not_matter() {
    let mut turned = members();
    turned.reverse();
    for cell in 0..30 {
        let key = format!("redactor/{cell}");
        assert_eq!(
            carrier(members(), &key, &[]),
            carrier(turned.clone(), &key, &[])
        );
    }
}

// Guards against a zone without a scheduler once its strong instances are silent.
#[test]
fn weaker_instances_take_over_when_the_strong_ones_are_silent() {
    let silent = ["strong-0", "strong-1", "strong-2"];
    let chosen = carrier(members(), "redactor/0", &silent).unwrap();
    assert!(chosen.starts_with("weak-"), "{chosen}");
    assert_eq!(carrier(Vec::new(), "redactor/0", &[]), None);
}

/// How many of 1,000 cells each instance carries.
fn cells(members: &[FleetMember], excluded: &[&str]) -> BTreeMap<InstanceId, usize> {
    let mut counts = BTreeMap::new();
    for cell in 0..CELLS {
        let key = format!("service-{}/{}", cell % 40, cell / 40);
        let chosen = carrier(members.to_vec(), &key, excluded).unwrap();
        *counts.entry(chosen).or_default() += 1;
    }
    counts
}

// Guards against a role that one instance carries for all cells of all services of its zone.
#[test]
fn no_instance_carries_much_more_than_its_share_of_many_cells() {
    for (count, capacity) in [(1, 2 * WEAK), (1, STRONG), (3, STRONG), (0, STRONG)] {
        let members = zone_of(count, capacity);
        let counts = cells(&members, &[]);
        let carriers = members
            .iter()
            .filter(|member| count < 3 || member.capacity > WEAK);
        let total: u64 = carriers.map(|member| member.capacity).sum();
        for member in &members {
            let carried = counts.get(&member.instance).copied().unwrap_or_default();
            let share = CELLS as f64 * member.capacity as f64 / total as f64;
            // Four standard deviations.
            let limit = share + 4.0 * share.sqrt() + 1.0;
            assert!(
                (carried as f64) < limit,
                "{}: {carried} of {CELLS}, share {share}, {count} of {capacity}",
                member.instance
            );
        }
    }
}

// Guards against cells of strong instances that move to weak ones while another strong one is silent.
#[test]
fn the_cells_of_a_silent_instance_alone_move() {
    let members = members();
    for cell in 0..CELLS {
        let key = format!("redactor/{cell}");
        let before = carrier(members.clone(), &key, &[]).unwrap();
        let after = carrier(members.clone(), &key, &["strong-1"]).unwrap();
        assert!(after.starts_with("strong-"), "{after}");
        assert!(&*before == "strong-1" || before == after);
    }
}
