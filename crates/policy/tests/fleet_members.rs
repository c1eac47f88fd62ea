//! Which instance carries a role for its availability zone.

use {
    kernel::{InstanceId, ZoneId},
    policy::{FleetMember, FleetMembers},
    std::collections::BTreeSet,
};

const STRONG: u64 = 100_000;
const WEAK: u64 = 2_400;

fn members() -> Vec<FleetMember> {
    let weak = (0..57).map(|index| (format!("weak-{index}"), WEAK));
    let strong = (0..3).map(|index| (format!("strong-{index}"), STRONG));
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
