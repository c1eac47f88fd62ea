//! What a reader transfers of a list that the store returns in pages, and how its list stays complete.

use {
    policy::{CrashReport, StoreVersion, UpstreamRecord, UpstreamStage},
    relay::{
        CallReason, OperatorSource, ReportBatch, ReportCursor, RouteSnapshot, RouteUpdate,
        SourceError, UpstreamChange, UpstreamChanges, UpstreamSnapshot,
    },
    spread::ListReader,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const PAGE_ROWS: usize = 200;

fn record(number: usize, leaving: bool) -> UpstreamRecord {
    let name: Arc<str> = format!("i-{number:05}").into();
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for: Duration::ZERO,
        id: name.clone(),
        leaving,
        name,
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage: UpstreamStage::Decode,
        zone: "z".into(),
    }
}

#[derive(Debug, Default)]
struct StoreState {
    /// Written while the next full read is between its first and second page.
    between_pages: Vec<UpstreamChange>,
    changes: Vec<(StoreVersion, UpstreamChange)>,
    forgotten: StoreVersion,
    is_down: bool,
    rows: BTreeMap<Arc<str>, UpstreamRecord>,
    rows_sent: usize,
    version: StoreVersion,
}

/// A store that counts the rows that it sends.
#[derive(Debug, Default)]
struct CountingStore(Mutex<StoreState>);

impl StoreState {
    fn write(&mut self, change: UpstreamChange) {
        self.version.number += 1;
        match &change.record {
            Some(record) => self.rows.insert(change.name.clone(), record.clone()),
            None => self.rows.remove(&change.name),
        };
        self.changes.push((self.version, change));
    }
}

impl CountingStore {
    fn put(&self, record: UpstreamRecord) {
        self.0.lock().unwrap().write(UpstreamChange {
            name: record.name.clone(),
            record: Some(record),
        });
    }

    fn remove(&self, number: usize) {
        self.0.lock().unwrap().write(UpstreamChange {
            name: record(number, false).name,
            record: None,
        });
    }

    /// Drops the history up to now.
    fn forget(&self) {
        let mut state = self.0.lock().unwrap();
        state.forgotten = state.version;
    }

    fn take_rows_sent(&self) -> usize {
        std::mem::take(&mut self.0.lock().unwrap().rows_sent)
    }
}

impl OperatorSource for CountingStore {
    async fn drop_reports(&self, _reports: &[CrashReport]) -> Result<(), SourceError> {
        unimplemented!()
    }

    async fn read_changes(
        &self,
        after: StoreVersion,
        _reason: CallReason,
    ) -> Result<Option<UpstreamChanges>, SourceError> {
        let mut state = self.0.lock().unwrap();
        if state.is_down {
            return Err(SourceError::Refused { status: 503 });
        }
        if after < state.forgotten {
            return Ok(None);
        }
        let newer = state.changes.iter().filter(|(version, _)| *version > after);
        let rows: Vec<_> = newer.map(|(_, change)| change.clone()).collect();
        state.rows_sent += rows.len();
        Ok(Some(UpstreamChanges {
            faults: Vec::new(),
            rows,
            version: state.version,
        }))
    }

    async fn read_routes(&self, _reason: CallReason) -> Result<RouteSnapshot, SourceError> {
        unimplemented!()
    }

    async fn read_upstreams(&self, _reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        let mut state = self.0.lock().unwrap();
        if state.is_down {
            return Err(SourceError::Refused { status: 503 });
        }
        let mut snapshot = UpstreamSnapshot::default();
        let rows = state.rows.values();
        snapshot.records.extend(rows.take(PAGE_ROWS).cloned());
        if state.rows.len() > PAGE_ROWS {
            snapshot.first_page = Some(state.version);
        }
        for change in std::mem::take(&mut state.between_pages) {
            state.write(change);
        }
        let last = snapshot.records.last().map(|record| record.name.clone());
        let rest = state.rows.values();
        let rest = rest.filter(|record| last.as_ref().is_none_or(|last| record.name > *last));
        if snapshot.first_page.is_some() {
            snapshot.records.extend(rest.cloned());
        }
        snapshot.version = state.version;
        state.rows_sent += snapshot.records.len();
        Ok(snapshot)
    }

    async fn watch_reports(
        &self,
        _after: Option<ReportCursor>,
        _wait: Duration,
    ) -> Result<ReportBatch, SourceError> {
        unimplemented!()
    }

    async fn watch_routes(
        &self,
        _after: StoreVersion,
        _wait: Duration,
    ) -> Result<RouteUpdate, SourceError> {
        unimplemented!()
    }

    async fn write_reports(&self, _reports: &[CrashReport]) -> Result<(), SourceError> {
        unimplemented!()
    }
}

fn start(count: usize) -> (Arc<CountingStore>, ListReader<CountingStore>) {
    let store = Arc::new(CountingStore::default());
    for number in 0..count {
        store.put(record(number, false));
    }
    (store.clone(), ListReader::new(store))
}

async fn read(reader: &ListReader<CountingStore>) -> Vec<UpstreamRecord> {
    let snapshot = reader.read(CallReason::Period).await.unwrap();
    snapshot.records
}

fn rows(store: &CountingStore) -> Vec<UpstreamRecord> {
    store.0.lock().unwrap().rows.values().cloned().collect()
}

/// The rows transferred by ten reads, with `changes` rows written before each.
async fn rows_for_ten_reads(count: usize, changes: usize) -> usize {
    let (store, reader) = start(count);
    read(&reader).await;
    store.take_rows_sent();
    for round in 0..10 {
        for number in 0..changes {
            store.put(record(round * changes + number, round % 2 == 0));
        }
        assert_eq!(read(&reader).await, rows(&store));
    }
    store.take_rows_sent()
}

/// The cost of a read grows with what changes and not with the length of the list.
#[tokio::test]
async fn ten_times_as_many_upstreams_cost_no_more_rows_for_the_same_changes() {
    assert_eq!(rows_for_ten_reads(1_000, 30).await, 300);
    assert_eq!(rows_for_ten_reads(10_000, 30).await, 300);
}

/// A short list costs one call either way, and a full read does not depend on the store's history.
#[tokio::test]
async fn a_list_of_one_page_is_read_in_full() {
    let (store, reader) = start(PAGE_ROWS);
    for _ in 0..3 {
        assert_eq!(read(&reader).await.len(), PAGE_ROWS);
        assert_eq!(store.take_rows_sent(), PAGE_ROWS);
    }
}

#[tokio::test]
async fn what_changes_while_the_pages_are_read_is_not_missed() {
    let (store, reader) = start(1_000);
    store.0.lock().unwrap().between_pages = vec![
        UpstreamChange {
            name: record(3, true).name,
            record: Some(record(3, true)),
        },
        UpstreamChange {
            name: record(5, false).name,
            record: None,
        },
    ];
    read(&reader).await;
    assert_eq!(read(&reader).await, rows(&store));
}

#[tokio::test]
async fn rows_that_are_removed_and_written_again_follow_the_order_of_the_changes() {
    let (store, reader) = start(1_000);
    read(&reader).await;
    store.remove(7);
    store.put(record(7, true));
    store.put(record(8, true));
    store.remove(8);
    assert_eq!(read(&reader).await, rows(&store));
}

#[tokio::test]
async fn after_a_lost_history_or_an_outage_the_list_is_read_in_full() {
    let (store, reader) = start(1_000);
    read(&reader).await;
    store.remove(7);
    store.forget();
    store.remove(8);
    assert_eq!(read(&reader).await, rows(&store));
    store.0.lock().unwrap().is_down = true;
    assert!(reader.read(CallReason::Period).await.is_err());
    store.0.lock().unwrap().is_down = false;
    store.take_rows_sent();
    assert_eq!(read(&reader).await, rows(&store));
    assert_eq!(store.take_rows_sent(), 998);
}
