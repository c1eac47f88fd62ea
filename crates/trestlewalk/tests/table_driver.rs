//! `TableDriver` over an in-memory store: an instance that is one edit behind reads the edit and does not scan the
//! table.

use {
    flow::CurrentTable,
    kernel::{LockRank, RankedLock, WorkerPool},
    plat::{
        EditOrigin, EditRequest, PlatError, PollPlan, PollSettings, RowStore, StoredRow,
        TableRepository, Transaction, TransactionReply,
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    table::{FileBase, read_csv},
    trestlewalk::{
        admin::ReadinessState,
        entry::{PlatformHealth, TableDriver},
    },
};

const HEADER: &str = "work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An in-memory row store that counts scans.
#[derive(Clone)]
struct CountedRows {
    rows: Arc<RankedLock<BTreeMap<Arc<str>, StoredRow>>>,
    scans: Arc<AtomicU64>,
}

impl CountedRows {
    fn new() -> Self {
        Self {
            rows: Arc::new(RankedLock::new(LockRank::Samples, BTreeMap::new())),
            scans: Arc::default(),
        }
    }

    /// A store that shares the rows and has its own count.
    fn with_own_count(&self) -> Self {
        Self {
            rows: self.rows.clone(),
            scans: Arc::default(),
        }
    }

    fn scans(&self) -> u64 {
        self.scans.load(Ordering::SeqCst)
    }
}

impl RowStore for CountedRows {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let mut rows = self.rows.lock();
        let version = |key: &Arc<str>| rows.get(key).map_or(0, |row| row.version);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| version(&condition.key) == condition.version) {
            return Ok(TransactionReply::Conflict { rows: Vec::new() });
        }
        for write in &transaction.writes {
            let version = rows.get(&write.key).map_or(0, |row| row.version);
            let Some(value) = &write.value else {
                rows.remove(&write.key);
                continue;
            };
            let row = StoredRow {
                key: write.key.clone(),
                value: value.clone(),
                version: version + 1,
            };
            rows.insert(write.key.clone(), row);
        }
        Ok(TransactionReply::Committed)
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        Ok(self.rows.lock().get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.scans.fetch_add(1, Ordering::SeqCst);
        let rows = self.rows.lock();
        let found = rows.values().filter(|row| row.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }
}

#[tokio::test]
async fn an_instance_that_is_one_edit_behind_does_not_scan_the_table() {
    let rows = CountedRows::new();
    let editor = TableRepository::new(rows.with_own_count());
    let first = edit(&editor, 1).await;
    let current_table = Arc::new(CurrentTable::new());
    let pool = WorkerPool::new();
    let driver = TableDriver::builder()
        .current_table(current_table.clone())
        .health(Arc::new(PlatformHealth::new(Arc::default()).unwrap()))
        .instance("gijon-1".into())
        .plan(plan())
        .pool(pool.clone())
        .readiness(Arc::new(ReadinessState::new()))
        .repository(TableRepository::new(rows.clone()))
        .build();
    pool.spawn(Arc::new(driver).run_ticks());
    wait_version(&current_table, first).await;
    let scans = rows.scans();
    let mut version = first;
    for weight in 2..6 {
        version = edit(&editor, weight).await;
        wait_version(&current_table, version).await;
    }
    assert!(version > first);
    assert_eq!(rows.scans(), scans, "scans for edits");
}

/// Sets the weight of the one row.
async fn edit(editor: &TableRepository<CountedRows>, weight: u32) -> u64 {
    let csv = format!("{HEADER}\ntile,carta,,0,{weight},,,1s,,5s,yes,2,0\n");
    let file = read_csv("table.csv", csv.as_bytes()).unwrap();
    let base = editor.snapshot().await.unwrap().version();
    let edit = EditRequest {
        base: FileBase {
            digest: None,
            version: base,
        },
        origin: EditOrigin {
            at: Duration::from_secs(u64::from(weight)),
            author: "test".into(),
            floor: 0,
            id: format!("edit-{weight}").into(),
        },
        rows: file.rows,
    };
    editor.commit_edit(&edit).await.unwrap();
    editor.snapshot().await.unwrap().version()
}

fn plan() -> PollPlan {
    let settings = PollSettings::builder()
        .interval(POLL_INTERVAL)
        .seed(1)
        .build();
    PollPlan::new(Instant::now(), "gijon".into(), "gijon-1".into(), settings)
}

async fn wait_version(current_table: &CurrentTable, version: u64) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while current_table
        .entry()
        .is_none_or(|entry| entry.table.version < version)
    {
        assert!(
            Instant::now() < end,
            "timed out waiting for version {version}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
