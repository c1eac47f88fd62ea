//! Unit tests of `ZoneWatch`: in which availability zones an edit is in force, by the answers of entry instances.

use {
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    trestlewalk::{
        admin::TableStatus,
        subcommand::table::{admin_probe::ProbeAnswers, zone_watch::ZoneWatch},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn status(zone: &str, version: u64, digest: u64) -> Option<TableStatus> {
    Some(TableStatus {
        cut_off_since: None,
        digest,
        instance: zone.into(),
        since: 0,
        version,
        zone: zone.into(),
    })
}

fn answers(list: &[Option<TableStatus>]) -> ProbeAnswers {
    let numbered = list.iter().enumerate();
    numbered
        .map(|(index, answer)| {
            let address = SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16));
            (address, answer.clone())
        })
        .collect()
}

#[test]
fn a_zone_is_in_force_once_all_that_answer_have_the_edit() {
    let first = answers(&[status("a", 6, 1), status("a", 6, 1), status("b", 6, 1)]);
    let mut watch = ZoneWatch::new(7, BTreeSet::new(), &first);
    let second = answers(&[status("a", 7, 2), status("a", 6, 1), status("b", 7, 2)]);
    assert_eq!(watch.record_answers(&second, SECOND), ["b".into()]);
    assert!(!watch.is_done());
    let third = answers(&[status("a", 7, 2), status("a", 9, 3), status("b", 9, 3)]);
    assert_eq!(watch.record_answers(&third, 2 * SECOND), ["a".into()]);
    assert!(watch.is_done());
    assert!(!watch.digests_differ());
    assert_eq!(
        watch.zone_text("b"),
        "b: in force after 1.0 s at 1 of 1 instances"
    );
}

#[test]
fn an_instance_that_fell_silent_stays_in_its_zone() {
    let first = answers(&[status("a", 6, 1), status("b", 6, 1)]);
    let mut watch = ZoneWatch::new(7, BTreeSet::from(["c".into()]), &first);
    let second = answers(&[status("a", 7, 2), None]);
    watch.record_answers(&second, SECOND);
    assert_eq!(watch.pending_zones(), ["b".into(), "c".into()]);
    let text = watch.zone_text("b");
    assert_eq!(
        text,
        "b: cut off: no entry instance answers; no answer from 127.0.0.1:9001"
    );
}

#[test]
fn one_version_with_two_digests_is_seen() {
    let mut watch = ZoneWatch::new(7, BTreeSet::new(), &ProbeAnswers::new());
    watch.record_answers(&answers(&[status("a", 7, 2), status("b", 7, 3)]), SECOND);
    assert!(watch.digests_differ());
}
