//! The table repository: conditional edits, lost replies, stale files, snapshots, history, write-backs.

mod common;

use {
    common::{Fault, MemoryStore, origin, row},
    kernel::ResultCode,
    plat::{EditOutcome, EditRequest, PlatError, RowStore, TableRepository, content_digest},
    std::collections::BTreeMap,
    table::{FileBase, StampedTable, WorkRow},
};

type Rows = BTreeMap<std::sync::Arc<str>, WorkRow>;

fn rows(content: &[(&str, u8)]) -> Rows {
    let rows = content.iter();
    rows.map(|(work, weight)| ((*work).into(), row(work, *weight)))
        .collect()
}

fn request(id: &str, at: u64, base: u64, content: &[(&str, u8)]) -> EditRequest {
    EditRequest {
        base: FileBase {
            digest: None,
            version: base,
        },
        origin: origin(id, at),
        rows: rows(content),
    }
}

async fn edited(repository: &TableRepository<MemoryStore>) -> u64 {
    let edit = request("first", 1000, 0, &[("draft", 1), ("notes", 1)]);
    match repository.commit_edit(&edit).await.unwrap() {
        EditOutcome::Committed { version, .. } => version,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn an_edit_is_one_transaction_and_comes_back_whole() {
    let store = MemoryStore::default();
    let repository = store.repository();
    assert_eq!(edited(&repository).await, 1000);
    let snapshot = repository.snapshot().await.unwrap();
    assert_eq!(
        snapshot.table.live_rows(),
        rows(&[("draft", 1), ("notes", 1)])
    );
    assert_eq!(snapshot.head.unwrap().head(), snapshot.table.head());
    let keys: Vec<String> = store.state().rows.keys().map(ToString::to_string).collect();
    assert_eq!(
        keys,
        [
            "table/edit/00000000000000001000",
            "table/head",
            "work/draft",
            "work/notes"
        ]
    );
}

#[tokio::test]
async fn a_stale_file_sends_only_the_rows_that_it_changed() {
    let repository = MemoryStore::default().repository();
    let base = edited(&repository).await;
    let other = request("other", 2000, base, &[("draft", 7), ("notes", 1)]);
    repository.commit_edit(&other).await.unwrap();
    let stale = request("stale", 3000, base, &[("draft", 1), ("notes", 9)]);
    let outcome = repository.commit_edit(&stale).await.unwrap();
    let EditOutcome::Committed { merge, version } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((merge.changes.len(), version), (1, 3000));
    let table = repository.snapshot().await.unwrap().table;
    assert_eq!(table.live_rows(), rows(&[("draft", 7), ("notes", 9)]));
}

#[tokio::test]
async fn a_row_changed_by_two_is_a_conflict_that_shows_both() {
    let repository = MemoryStore::default().repository();
    let base = edited(&repository).await;
    let other = request("other", 2000, base, &[("draft", 7), ("notes", 1)]);
    repository.commit_edit(&other).await.unwrap();
    let stale = request("stale", 3000, base, &[("draft", 8), ("notes", 9)]);
    let outcome = repository.commit_edit(&stale).await.unwrap();
    let EditOutcome::Conflict { conflicts, version } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((conflicts.len(), version), (1, 2000));
    assert_eq!(conflicts[0].mine, Some(row("draft", 8)));
    assert_eq!(conflicts[0].theirs, Some(row("draft", 7)));
    let table = repository.snapshot().await.unwrap().table;
    assert_eq!(table.live_rows(), rows(&[("draft", 7), ("notes", 1)]));
}

#[tokio::test]
async fn a_write_whose_reply_was_lost_is_recognised() {
    for faults in [
        &[Fault::LoseReply][..],
        &[Fault::LoseRequest],
        &[Fault::LoseRequest, Fault::LoseReply],
        &[Fault::LoseRequest, Fault::LoseRequest, Fault::LoseRequest],
    ] {
        let store = MemoryStore::default();
        let repository = store.repository();
        store.inject(faults);
        assert_eq!(edited(&repository).await, 1000, "{faults:?}");
        let history = repository.history(10).await.unwrap();
        assert_eq!(history.len(), 1, "{faults:?}");
    }
}

#[tokio::test]
async fn an_edit_after_the_one_with_the_lost_reply_does_not_hide_it() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    store.inject(&[Fault::LoseRequest, Fault::LoseReply]);
    let other = {
        let repository = repository.clone();
        async move {
            let edit = request("other", 2000, base, &[("draft", 7), ("notes", 1)]);
            repository.commit_edit(&edit).await.unwrap();
        }
    };
    store.state().concurrent_edit = Some(Box::pin(other));
    let mine = request("mine", 3000, base, &[("draft", 1), ("notes", 9)]);
    let outcome = repository.commit_edit(&mine).await.unwrap();
    assert!(matches!(
        outcome,
        EditOutcome::Committed { version: 3000, .. }
    ));
    let history = repository.history(10).await.unwrap();
    let ids: Vec<&str> = history.iter().map(|record| &*record.id).collect();
    assert_eq!(ids, ["mine", "other", "first"]);
}

#[tokio::test]
async fn an_outcome_that_nobody_knows_is_said_and_applying_again_is_safe() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    store.inject(&[Fault::LoseReply]);
    store.state().is_down_after_commit = true;
    let edit = request("mine", 2000, base, &[("notes", 9)]);
    let error = repository.commit_edit(&edit).await.unwrap_err();
    assert_eq!(error.result_code(), ResultCode::EditUnknown);
    store.restore_service();
    let again = request("again", 3000, base, &[("notes", 9)]);
    let outcome = repository.commit_edit(&again).await.unwrap();
    assert_eq!(outcome, EditOutcome::Unchanged { version: 2000 });
}

#[tokio::test]
async fn an_outage_before_the_write_leaves_nothing_open() {
    let store = MemoryStore::default();
    let repository = store.repository();
    store.state().is_down = true;
    let edit = request("mine", 2000, 0, &[("notes", 9)]);
    let error = repository.commit_edit(&edit).await.unwrap_err();
    assert!(matches!(error, PlatError::Unreachable { .. }), "{error}");
    let calls = store.state().calls;
    assert!(calls <= 8, "{calls} calls");
}

#[tokio::test]
async fn a_refused_write_is_not_tried_again() {
    let store = MemoryStore::default();
    let repository = store.repository();
    store.inject(&[Fault::Refuse]);
    let edit = request("mine", 2000, 0, &[("notes", 9)]);
    let error = repository.commit_edit(&edit).await.unwrap_err();
    assert!(matches!(error, PlatError::Refused { status: 400 }));
    assert!(store.state().rows.is_empty());
}

#[tokio::test]
async fn a_file_from_an_unknown_version_is_refused() {
    let repository = MemoryStore::default().repository();
    edited(&repository).await;
    let edit = request("mine", 2000, 999, &[("notes", 9)]);
    let error = repository.commit_edit(&edit).await.unwrap_err();
    assert!(matches!(error, PlatError::BaseUnknown { version: 999 }));
    let mut edit = request("mine", 2000, 1000, &[("notes", 9)]);
    edit.base.digest = Some(1);
    let error = repository.commit_edit(&edit).await.unwrap_err();
    assert!(matches!(error, PlatError::BaseDiffers { version: 1000 }));
}

#[tokio::test]
async fn rows_that_dont_add_up_to_the_head_are_no_snapshot() {
    let store = MemoryStore::default();
    let repository = store.repository();
    edited(&repository).await;
    store.state().rows.remove("work/notes");
    let error = repository.snapshot().await.unwrap_err();
    assert!(matches!(error, PlatError::Inconsistent { version: 1000 }));
    assert_eq!(error.result_code(), ResultCode::DigestDiffers);
}

#[tokio::test]
async fn a_restored_platform_gets_its_edits_back_and_a_file_of_the_lost_version_still_counts() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    let copy = store.state().rows.clone();
    let edit = request("lost", 2000, base, &[("draft", 1), ("notes", 9)]);
    repository.commit_edit(&edit).await.unwrap();
    let held = repository.snapshot().await.unwrap().table;
    store.state().rows = copy;
    // An edit on the restored platform, before any instance noticed.
    let edit = request("fork", 3000, base, &[("draft", 5), ("notes", 1)]);
    repository.commit_edit(&edit).await.unwrap();
    store.inject(&[Fault::LoseReply]);
    let version = repository
        .restore(&held, &origin("heal", 2500))
        .await
        .unwrap();
    assert_eq!(version, 3001);
    let table = repository.snapshot().await.unwrap().table;
    assert_eq!(table.live_rows(), rows(&[("draft", 5), ("notes", 9)]));
    assert_eq!(table.rows()["notes"].stamp, 2000);
    let missing = table.patch_since(3000).rows;
    assert_eq!(
        missing.keys().map(|work| &**work).collect::<Vec<_>>(),
        ["notes"]
    );
    // The log entry of a write-back has no stamps, so a patch across it contains the whole table.
    let patch = repository.patch_since(3000).await.unwrap();
    assert_eq!((patch.since, patch.rows["notes"].stamp), (0, 2000));
    let again = repository
        .restore(&held, &origin("heal-2", 2600))
        .await
        .unwrap();
    assert_eq!(again, 3001);
}

#[tokio::test]
async fn a_platform_that_lost_everything_gets_the_whole_table_back() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    let held = repository.snapshot().await.unwrap().table;
    store.state().rows.clear();
    let origin = origin("heal", 500);
    assert_eq!(repository.restore(&held, &origin).await.unwrap(), base + 1);
    let table = repository.snapshot().await.unwrap().table;
    assert_eq!(table.digest(), held.digest());
    assert_eq!(repository.history(10).await.unwrap().len(), 1);
}

#[tokio::test]
async fn a_file_of_a_version_that_came_back_under_another_number_counts_by_its_content() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    let copy = store.state().rows.clone();
    let edit = request("lost", 2000, base, &[("draft", 1), ("notes", 9)]);
    repository.commit_edit(&edit).await.unwrap();
    let held = repository.snapshot().await.unwrap().table;
    store.state().rows = copy;
    repository
        .restore(&held, &origin("heal", 2500))
        .await
        .unwrap();
    let mut edit = request("mine", 4000, 2000, &[("draft", 4), ("notes", 9)]);
    edit.base.digest = Some(content_digest(&held.live_rows()));
    let outcome = repository.commit_edit(&edit).await.unwrap();
    assert!(
        matches!(outcome, EditOutcome::Committed { .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn a_patch_of_a_few_edits_comes_from_the_log_and_any_other_is_whole() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let mut base = edited(&repository).await;
    for step in 1..=40 {
        let edit = request(
            "edit",
            1000 + step,
            base,
            &[("draft", 1), ("notes", 1 + step as u8)],
        );
        repository.commit_edit(&edit).await.unwrap();
        base = 1000 + step;
    }
    store.state().calls = 0;
    let patch = repository.patch_since(1038).await.unwrap();
    assert_eq!(store.state().calls, 3);
    assert_eq!((patch.since, patch.version), (1038, 1040));
    assert_eq!(patch.rows["notes"].row, Some(row("notes", 41)));
    let mut table = repository.snapshot().await.unwrap().table;
    assert_eq!(patch.digest, table.digest());
    assert!(patch.is_sound());
    assert!(!table.join(&patch));
    // Too far behind, on another branch, and without any table at all.
    for since in [1001, 1038 + 500, 999, 0] {
        let patch = repository.patch_since(since).await.unwrap();
        assert_eq!((patch.since, patch.rows.len()), (0, 2), "{since}");
    }
}

#[tokio::test]
async fn thirty_operators_at_once_all_get_their_rows_in() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let base = edited(&repository).await;
    let mut racers = tokio::task::JoinSet::new();
    for index in 0..30 {
        let repository = repository.clone();
        racers.spawn(async move {
            let work = format!("work-{index}");
            let content = [("draft", 1), ("notes", 1), (work.as_str(), 9)];
            let edit = request(&work, 2000, base, &content);
            repository.commit_edit(&edit).await
        });
    }
    while let Some(outcome) = racers.join_next().await {
        let outcome = outcome.unwrap().unwrap();
        assert!(
            matches!(outcome, EditOutcome::Committed { .. }),
            "{outcome:?}"
        );
    }
    let snapshot = repository.snapshot().await.unwrap();
    assert_eq!(snapshot.table.live_rows().len(), 32);
    assert_eq!(repository.history(100).await.unwrap().len(), 31);
}

#[tokio::test]
async fn an_empty_platform_is_an_empty_table() {
    let store = MemoryStore::default();
    let repository = store.repository();
    let snapshot = repository.snapshot().await.unwrap();
    assert_eq!(snapshot.table, StampedTable::default());
    assert!(repository.history(5).await.unwrap().is_empty());
    assert!(store.scan("table/").await.unwrap().is_empty());
}

#[tokio::test]
async fn versions_rise_whatever_the_editors_clock_says() {
    let repository = MemoryStore::default().repository();
    let base = edited(&repository).await;
    let mut edit = request("slow-clock", 5, base, &[("notes", 9)]);
    edit.origin.floor = 1500;
    let outcome = repository.commit_edit(&edit).await.unwrap();
    assert!(matches!(
        outcome,
        EditOutcome::Committed { version: 1500, .. }
    ));
    let edit = request("slower-clock", 4, 1500, &[("notes", 8)]);
    let outcome = repository.commit_edit(&edit).await.unwrap();
    assert!(matches!(
        outcome,
        EditOutcome::Committed { version: 1501, .. }
    ));
}
