//! The directory through which instances discover each other, and the key that signs their
//! certificates.

use {
    plat::{PlatError, RowStore, StoredRow, Transaction, TransactionReply},
    policy::SoftwareMemory,
    spread::{DirectoryView, MemberDirectory, MemberRow, SoftwareDirectory},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

type Row = (Arc<str>, u64);

/// A store that keeps rows in memory.
#[derive(Debug, Default)]
struct MemoryRows {
    rows: Mutex<(BTreeMap<Arc<str>, Row>, u64)>,
}

impl MemoryRows {
    fn keys(&self) -> Vec<String> {
        let rows = self.rows.lock().unwrap();
        rows.0.keys().map(ToString::to_string).collect()
    }
}

impl RowStore for MemoryRows {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let mut rows = self.rows.lock().unwrap();
        let stored = |key: &Arc<str>| {
            rows.0.get(key).map(|(value, version)| StoredRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
        };
        let mut conditions = transaction.conditions.iter();
        let version = |key: &Arc<str>| stored(key).map_or(0, |row| row.version);
        if conditions.any(|condition| version(&condition.key) != condition.version) {
            let named = transaction.conditions.iter();
            let rows = named.filter_map(|condition| stored(&condition.key));
            return Ok(TransactionReply::Conflict {
                rows: rows.collect(),
            });
        }
        rows.1 += 1;
        let version = rows.1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => rows.0.insert(write.key.clone(), (value.clone(), version)),
                None => rows.0.remove(&write.key),
            };
        }
        Ok(TransactionReply::Committed)
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        let rows = self.scan(key).await?;
        Ok(rows.into_iter().find(|row| &*row.key == key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        let rows = self.rows.lock().unwrap();
        let found = rows.0.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(found
            .map(|(key, (value, version))| StoredRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect())
    }
}

fn row(instance: &str, zone: &str) -> MemberRow {
    MemberRow {
        address: ([127, 0, 0, 1], 7_000).into(),
        capacity: 1,
        instance: instance.into(),
        zone: zone.into(),
    }
}

fn directory(store: &Arc<MemoryRows>, own: &MemberRow) -> MemberDirectory<MemoryRows> {
    MemberDirectory::new(store.clone(), own.clone())
}

fn names(view: &DirectoryView) -> Vec<String> {
    view.members()
        .map(|member| member.instance.to_string())
        .collect()
}

#[tokio::test]
async fn instances_of_all_zones_find_each_other_by_one_reading() {
    let store = Arc::new(MemoryRows::default());
    let key: Arc<str> = "the key".into();
    for own in [row("a", "gijon"), row("b", "gijon-2")] {
        let directory = directory(&store, &own);
        let view = directory.read().await.unwrap();
        directory.write(view, vec![own], &key).await.unwrap();
    }
    let view = directory(&store, &row("c", "gijon")).read().await.unwrap();
    assert_eq!(names(&view), ["a", "b"]);
    assert_eq!(view.authority.as_deref(), Some("the key"));
    assert_eq!(
        store.keys(),
        ["peers/authority", "peers/zone/gijon", "peers/zone/gijon-2"]
    );
}

#[tokio::test]
async fn of_two_that_found_the_directory_the_first_wins_and_the_other_learns_it_at_once() {
    let store = Arc::new(MemoryRows::default());
    let (first, second) = (row("a", "gijon"), row("b", "gijon"));
    let empty = directory(&store, &first).read().await.unwrap();
    let written = directory(&store, &first)
        .write(empty.clone(), vec![first.clone()], &"first".into())
        .await
        .unwrap();
    let conflicting = directory(&store, &second)
        .write(empty, vec![second.clone()], &"second".into())
        .await
        .unwrap();
    for view in [written, conflicting] {
        assert_eq!(view.authority.as_deref(), Some("first"));
        assert_eq!(names(&view), ["a"]);
    }
}

#[tokio::test]
async fn two_of_a_zone_that_is_new_to_the_directory_learn_of_each_other() {
    let store = Arc::new(MemoryRows::default());
    let key: Arc<str> = "the key".into();
    let elsewhere = row("x", "ferrol");
    let view = DirectoryView::default();
    directory(&store, &elsewhere)
        .write(view, vec![elsewhere.clone()], &key)
        .await
        .unwrap();
    let (first, second) = (row("a", "gijon"), row("b", "gijon"));
    let view = directory(&store, &first).read().await.unwrap();
    let write = directory(&store, &first);
    write.write(view.clone(), vec![first], &key).await.unwrap();
    let write = directory(&store, &second);
    let seen = write.write(view, vec![second], &key).await.unwrap();
    assert_eq!(names(&seen), ["x", "a"]);
}

#[tokio::test]
async fn a_write_replaces_the_members_of_the_own_zone_alone() {
    let store = Arc::new(MemoryRows::default());
    let key: Arc<str> = "the key".into();
    let own = row("a", "gijon");
    for zone in ["gijon", "ferrol"] {
        let members = vec![row("silent", zone)];
        let directory = directory(&store, &row("w", zone));
        let view = directory.read().await.unwrap();
        directory.write(view, members, &key).await.unwrap();
    }
    let directory = directory(&store, &own);
    let view = directory.read().await.unwrap();
    directory.write(view, vec![own], &key).await.unwrap();
    let view = directory.read().await.unwrap();
    assert_eq!(names(&view), ["silent", "a"]);
}

#[tokio::test]
async fn a_row_that_cannot_be_read_hides_no_other_and_is_replaced() {
    let store = Arc::new(MemoryRows::default());
    let own = row("a", "gijon");
    let directory = directory(&store, &own);
    for (key, value) in [
        ("peers/zone/ferrol", "{"),
        ("peers/zone/gijon", "[1]"),
        ("peers/other", "what"),
    ] {
        let value = (value.into(), 1);
        store.rows.lock().unwrap().0.insert(key.into(), value);
    }
    store.rows.lock().unwrap().1 = 1;
    let view = directory.read().await.unwrap();
    assert_eq!(names(&view), Vec::<String>::new());
    directory
        .write(view, vec![own], &"key".into())
        .await
        .unwrap();
    let view = directory.read().await.unwrap();
    assert_eq!(names(&view), ["a"]);
}

fn software(versions: &[&str]) -> SoftwareMemory {
    let rows = versions.iter().map(|software| ((*software).into(), None));
    SoftwareMemory {
        era: 0,
        left_ms: [("s".into(), rows.collect())].into(),
    }
}

/// Guards against versions that an instance which starts later does not read along with the members, and against one writer
/// who replaces what another has written meanwhile.
#[tokio::test]
async fn of_two_that_write_the_software_versions_the_second_learns_those_of_the_first() {
    let store = Arc::new(MemoryRows::default());
    let directory = SoftwareDirectory::new(store);
    let empty = directory.read().await.unwrap();
    for versions in [["v1", "v2"], ["v2", "v3"]] {
        let written = directory.write(empty.clone(), software(&versions));
        let seen = written.await.unwrap();
        assert_eq!(seen.software, Some(software(&["v1", "v2"])));
    }
    let view = directory.read().await.unwrap();
    assert_eq!(view.software, Some(software(&["v1", "v2"])));
}

/// Guards against calls of their own for the versions while there is one of each service.
#[tokio::test]
async fn software_versions_are_written_along_with_the_members() {
    let store = Arc::new(MemoryRows::default());
    let own = row("a", "gijon");
    let directory = directory(&store, &own);
    let mut view = directory.read().await.unwrap();
    view.draft = Some(software(&["v1"]));
    let key = "the key".into();
    let view = directory.write(view, vec![own], &key).await.unwrap();
    assert_eq!(view.software, Some(software(&["v1"])));
    let view = directory.read().await.unwrap();
    assert_eq!(view.software, Some(software(&["v1"])));
}

/// Guards against a row that can't be read and is taken for one that names no versions.
#[tokio::test]
async fn unreadable_software_versions_are_of_no_era() {
    let store = Arc::new(MemoryRows::default());
    let mut changes = Transaction::default();
    changes.write("peers/software".into(), 0, "garbled".into());
    store.commit(&changes).await.unwrap();
    let view = directory(&store, &row("a", "gijon")).read().await.unwrap();
    assert_eq!(view.software.unwrap().era, u64::MAX);
}
