//! The table keeper: versions propagate and never decrease, and inconsistent holders raise an alarm.

use {
    kernel::ResultCode,
    std::time::{Duration, Instant},
    table::{
        KeeperAction, KeeperEvent, RowChange, StampedTable, TableHead, TableKeeper, TablePatch,
        TableSource, WorkRow, read_csv, table_keeper,
    },
};

fn row(work: &str, weight: f64) -> WorkRow {
    let text = format!(
        "work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste\n\
         {work},redactor,,1,{weight},,,,,1min,yes,1,0\n"
    );
    let file = read_csv("row.csv", text.as_bytes()).expect("a valid row");
    file.rows[work].clone()
}

fn edit(table: &StampedTable, version: u64, work: &str, weight: f64) -> StampedTable {
    let mut table = table.clone();
    let change = RowChange {
        after: Some(row(work, weight)),
        before: None,
        work: work.into(),
    };
    table.edit(version, &[change]);
    table
}

fn peer() -> TableSource {
    TableSource::Peer("entry-1".into())
}

struct Harness {
    keeper: TableKeeper,
    now: Instant,
}

impl Harness {
    fn head(&mut self, source: TableSource, head: TableHead) -> Vec<KeeperAction> {
        let asked = self.now;
        self.send(KeeperEvent::Head {
            asked,
            head,
            source,
        })
    }

    fn new() -> Self {
        let now = Instant::now();
        Self {
            keeper: TableKeeper::new(now),
            now,
        }
    }

    fn pulled(&mut self, source: TableSource, patch: TablePatch) -> Vec<KeeperAction> {
        self.send(KeeperEvent::Pulled { patch, source })
    }

    fn send(&mut self, event: KeeperEvent) -> Vec<KeeperAction> {
        self.now += Duration::from_millis(1);
        let mut actions = Vec::new();
        self.keeper.on_event(self.now, event, &mut actions);
        actions
    }

    fn with(table: &StampedTable) -> Self {
        let mut harness = Self::new();
        harness.pulled(peer(), table.patch_since(0));
        harness
    }
}

fn codes(actions: &[KeeperAction]) -> Vec<ResultCode> {
    let alarms = actions.iter().filter_map(|action| match action {
        KeeperAction::Alarm { code, .. } => Some(*code),
        _ => None,
    });
    alarms.collect()
}

#[test]
fn a_new_instance_is_not_ready_and_pulls_from_whoever_has_a_table() {
    let table = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mut harness = Harness::new();
    assert!(!harness.keeper.is_ready());
    let actions = harness.head(peer(), table.head());
    let pull = KeeperAction::Pull {
        since: 0,
        source: peer(),
    };
    assert_eq!(actions, [pull]);
    let actions = harness.pulled(peer(), table.patch_since(0));
    assert_eq!(actions, [KeeperAction::InForce(table.clone().into())]);
    assert!(harness.keeper.is_ready());
    assert_eq!(harness.keeper.head(), table.head());
}

#[test]
fn an_instance_that_is_behind_pulls_only_what_changed() {
    let old = edit(&StampedTable::default(), 17, "notes", 1.0);
    let new = edit(&old, 18, "draft", 2.0);
    let mut harness = Harness::with(&old);
    let actions = harness.head(peer(), new.head());
    let pull = KeeperAction::Pull {
        since: 17,
        source: peer(),
    };
    assert_eq!(actions, [pull]);
    let patch = new.patch_since(17);
    assert_eq!(patch.rows.len(), 1);
    harness.pulled(peer(), patch);
    assert_eq!(harness.keeper.head(), new.head());
}

#[test]
fn a_pull_that_fails_or_hangs_goes_to_another_source() {
    let table = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mut harness = Harness::new();
    harness.head(peer(), table.head());
    assert!(harness.head(TableSource::Platform, table.head()).is_empty());
    let pulls_from_platform = |actions: &[KeeperAction]| {
        actions.iter().any(|action| {
            matches!(
                action,
                KeeperAction::Pull {
                    source: TableSource::Platform,
                    ..
                }
            )
        })
    };
    let mut hanging = harness.keeper.clone();
    let later = harness.now + table_keeper::PULL_TIMEOUT;
    let mut actions = Vec::new();
    hanging.on_event(later, KeeperEvent::Tick, &mut actions);
    assert!(pulls_from_platform(&actions));
    let actions = harness.send(KeeperEvent::PullFailed { source: peer() });
    assert!(pulls_from_platform(&actions));
}

#[test]
fn an_older_platform_is_an_alarm_and_gets_its_edits_back() {
    let old = edit(&StampedTable::default(), 17, "notes", 1.0);
    let new = edit(&old, 20, "notes", 9.0);
    let mut harness = Harness::with(&new);
    let actions = harness.head(TableSource::Platform, old.head());
    assert_eq!(codes(&actions), [ResultCode::VersionFell]);
    assert!(actions.contains(&KeeperAction::Restore(new.clone().into())));
    assert_eq!(harness.keeper.head(), new.head());
    // The alarm is raised once, and cleared when the platform has caught up.
    assert!(harness.head(TableSource::Platform, old.head()).is_empty());
    let actions = harness.head(TableSource::Platform, new.head());
    let cleared = KeeperAction::AlarmCleared {
        code: ResultCode::VersionFell,
        source: TableSource::Platform,
    };
    assert_eq!(actions, [cleared]);
}

#[test]
fn a_poll_under_way_while_a_newer_table_comes_is_no_alarm() {
    let old = edit(&StampedTable::default(), 17, "notes", 1.0);
    let new = edit(&old, 20, "notes", 9.0);
    let mut harness = Harness::with(&old);
    let asked = harness.now;
    harness.pulled(peer(), new.patch_since(17));
    let actions = harness.send(KeeperEvent::Head {
        asked,
        head: old.head(),
        source: TableSource::Platform,
    });
    assert_eq!(actions, []);
}

#[test]
fn one_version_with_two_digests_is_an_alarm_and_joins() {
    let base = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mine = edit(&base, 20, "notes", 9.0);
    let theirs = edit(&base, 20, "draft", 2.0);
    let mut left = Harness::with(&mine);
    let mut right = Harness::with(&theirs);
    let actions = left.head(peer(), theirs.head());
    assert_eq!(codes(&actions), [ResultCode::DigestDiffers]);
    left.pulled(peer(), theirs.patch_since(0));
    right.pulled(peer(), mine.patch_since(0));
    assert_eq!(left.keeper.head(), right.keeper.head());
    let rows = left.keeper.table().live_rows();
    assert_eq!(rows["notes"].weight, 9.0);
    assert_eq!(rows["draft"].weight, 2.0);
}

#[test]
fn an_edit_on_a_restored_platform_reverts_nothing() {
    let base = edit(&StampedTable::default(), 17, "notes", 1.0);
    let lost = edit(&base, 20, "notes", 9.0);
    let forked = edit(&base, 30, "draft", 2.0);
    let mut harness = Harness::with(&lost);
    harness.head(TableSource::Platform, forked.head());
    let actions = harness.pulled(TableSource::Platform, forked.patch_since(20));
    // The patch does not result in the platform's digest, so the full table is requested.
    let pull = KeeperAction::Pull {
        since: 0,
        source: TableSource::Platform,
    };
    assert!(actions.contains(&pull));
    let actions = harness.pulled(TableSource::Platform, forked.patch_since(0));
    assert_eq!(codes(&actions), [ResultCode::DigestDiffers]);
    let restore = KeeperAction::Restore(harness.keeper.table().clone());
    assert!(actions.contains(&restore));
    let rows = harness.keeper.table().live_rows();
    assert_eq!((rows["notes"].weight, rows["draft"].weight), (9.0, 2.0));
}

#[test]
fn edits_that_were_written_back_reach_whoever_has_the_fork_by_a_small_patch() {
    let base = edit(&StampedTable::default(), 17, "notes", 1.0);
    let lost = edit(&base, 20, "notes", 9.0);
    let forked = edit(&base, 30, "draft", 2.0);
    let mut stored = forked.clone();
    stored.join(&lost.patch_since(0));
    stored.write_back(&forked, 31);
    let mut harness = Harness::with(&forked);
    assert_eq!(harness.keeper.pull_since(), 30);
    let patch = stored.patch_since(30);
    assert_eq!(patch.rows.len(), 1);
    harness.pulled(peer(), patch);
    assert_eq!(harness.keeper.head(), stored.head());
    assert_eq!(harness.keeper.table().rows()["notes"].stamp, 20);
}

#[test]
fn whoever_had_a_lost_edit_passes_its_write_back_on() {
    let base = edit(&StampedTable::default(), 17, "notes", 1.0);
    let lost = edit(&base, 20, "notes", 9.0);
    let forked = edit(&base, 30, "draft", 2.0);
    let mut stored = forked.clone();
    stored.join(&lost.patch_since(0));
    stored.write_back(&forked, 31);
    let mut harness = Harness::with(&lost);
    harness.pulled(peer(), stored.patch_since(20));
    assert_eq!(harness.keeper.head(), stored.head());
    let mut other = Harness::with(&forked);
    other.pulled(peer(), harness.keeper.patch_since(30));
    assert_eq!(other.keeper.head(), stored.head());
}

#[test]
fn after_a_patch_that_does_not_add_up_all_rows_are_asked_for() {
    let base = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mine = edit(&base, 20, "draft", 9.0);
    let theirs = edit(&edit(&base, 19, "tiles", 2.0), 30, "confirm", 2.0);
    let mut harness = Harness::with(&mine);
    harness.pulled(peer(), theirs.patch_since(20));
    assert_eq!(harness.keeper.pull_since(), 0);
    harness.pulled(peer(), theirs.patch_since(0));
    assert_eq!(harness.keeper.pull_since(), 30);
    assert_eq!(harness.keeper.table().live_rows().len(), 4);
}

#[test]
fn a_removed_row_does_not_come_back_from_an_older_copy() {
    let old = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mut new = old.clone();
    let removal = RowChange {
        after: None,
        before: Some(row("notes", 1.0)),
        work: "notes".into(),
    };
    new.edit(18, &[removal]);
    let mut harness = Harness::with(&new);
    harness.pulled(peer(), old.patch_since(0));
    assert!(harness.keeper.table().live_rows().is_empty());
}

#[test]
fn a_patch_with_stamps_beyond_its_version_is_refused() {
    let table = edit(&StampedTable::default(), 17, "notes", 1.0);
    let mut patch = table.patch_since(0);
    patch.version = 16;
    let mut harness = Harness::new();
    let actions = harness.pulled(peer(), patch);
    assert_eq!(codes(&actions), [ResultCode::PeerRefused]);
    assert!(!harness.keeper.is_ready());
}

#[test]
fn the_keeper_says_since_when_it_is_cut_off() {
    let mut harness = Harness::new();
    let contact = harness.now + Duration::from_secs(60);
    harness.send(KeeperEvent::PlatformContact { at: contact });
    let keeper = &harness.keeper;
    assert_eq!(
        keeper.cut_off_since(contact + table_keeper::CUT_OFF_AFTER),
        None
    );
    let later = contact + table_keeper::CUT_OFF_AFTER + Duration::from_millis(1);
    assert_eq!(keeper.cut_off_since(later), Some(contact));
}
