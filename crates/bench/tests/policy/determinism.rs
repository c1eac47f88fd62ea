use {
    crate::support::{NAMES, short},
    bench::{policy_command::compare, policy_run::PolicyName},
};

#[test]
fn one_seed_gives_one_report() {
    for name in NAMES {
        let file = short(name, 8);
        let first = compare(&file, &PolicyName::ALL, 5, 2);
        let again = compare(&file, &PolicyName::ALL, 5, 2);
        let first = serde_json::to_string(&first).unwrap();
        let again = serde_json::to_string(&again).unwrap();
        assert_eq!(first, again, "{name}");
    }
}

#[test]
fn another_seed_gives_another_report() {
    let file = short("krasns", 8);
    let first = compare(&file, &[PolicyName::Ours], 5, 1);
    let other = compare(&file, &[PolicyName::Ours], 6, 1);
    assert_ne!(first[0].runs, other[0].runs);
}
