//! The rows by which instances of a zone know each other.

use {
    kernel::ZoneId,
    plat::{PlatError, RowStore, StoredRow, Transaction, TransactionReply},
    spread::{MemberDirectory, MemberRow},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

type Row = (Arc<str>, u64);

/// Rows in memory.
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
        for condition in &transaction.conditions {
            let version = rows.0.get(&condition.key).map_or(0, |row| row.1);
            if version != condition.version {
                return Ok(TransactionReply::Conflict { rows: Vec::new() });
            }
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

fn row(instance: &str, certificate: &str) -> MemberRow {
    MemberRow {
        address: ([127, 0, 0, 1], 7_000).into(),
        capacity: 1,
        certificate: certificate.into(),
        instance: instance.into(),
    }
}

fn directory(store: &Arc<MemoryRows>, zone: &str, own: MemberRow) -> MemberDirectory<MemoryRows> {
    MemberDirectory::new(store.clone(), &ZoneId::from(zone), own)
}

#[tokio::test]
async fn instances_of_a_zone_find_each_other_and_no_others() {
    let store = Arc::new(MemoryRows::default());
    let first = directory(&store, "gijon", row("a", "ca"));
    let second = directory(&store, "gijon", row("b", "cb"));
    let other = directory(&store, "gijon-2", row("c", "cc"));
    assert_eq!(first.refresh(&[]).await.unwrap(), [row("a", "ca")]);
    other.refresh(&[]).await.unwrap();
    second.refresh(&[]).await.unwrap();
    let mut members = first.refresh(&[]).await.unwrap();
    members.sort();
    assert_eq!(members, [row("a", "ca"), row("b", "cb")]);
}

#[tokio::test]
async fn a_later_life_takes_the_place_of_an_earlier_one() {
    let store = Arc::new(MemoryRows::default());
    directory(&store, "gijon", row("a", "old"))
        .refresh(&[])
        .await
        .unwrap();
    let members = directory(&store, "gijon", row("a", "new"))
        .refresh(&[])
        .await;
    assert_eq!(members.unwrap(), [row("a", "new")]);
    let second = directory(&store, "gijon", row("b", "cb"));
    assert!(
        second
            .refresh(&[])
            .await
            .unwrap()
            .contains(&row("a", "new"))
    );
}

#[tokio::test]
async fn a_silent_member_loses_its_row_and_writes_it_again_when_it_is_back() {
    let store = Arc::new(MemoryRows::default());
    let first = directory(&store, "gijon", row("a", "ca"));
    let second = directory(&store, "gijon", row("b", "cb"));
    first.refresh(&[]).await.unwrap();
    second.refresh(&[]).await.unwrap();
    assert_eq!(
        first.refresh(&["b".into()]).await.unwrap(),
        [row("a", "ca")]
    );
    assert_eq!(store.keys(), ["members/gijon/a"]);
    second.refresh(&[]).await.unwrap();
    assert_eq!(store.keys(), ["members/gijon/a", "members/gijon/b"]);
}

#[tokio::test]
async fn a_row_that_cannot_be_read_hides_no_other() {
    let store = Arc::new(MemoryRows::default());
    let key: Arc<str> = "members/gijon/x".into();
    store.rows.lock().unwrap().0.insert(key, ("{".into(), 1));
    let first = directory(&store, "gijon", row("a", "ca"));
    assert_eq!(first.refresh(&[]).await.unwrap(), [row("a", "ca")]);
}
