//! Measures the cost of propagating table versions: `cargo run --release -p table --example spread_cost`.

use {
    std::{
        collections::BTreeMap,
        hint::black_box,
        time::{Duration, Instant},
    },
    table::{
        KeeperEvent, RowChange, StampedRow, StampedTable, TableKeeper, TableSource, WorkRow,
        read_csv, write_csv,
    },
};

/// The number of rounds per measurement.
const ROUNDS: u32 = 50;
/// The numbers of rows.
const SIZES: [usize; 4] = [10, 100, 1_000, 12_000];

fn main() {
    println!(
        "rows whole_bytes patch_bytes csv_bytes edit_us pull_us to_table_us read_csv_us digest_us"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let table = build_table(size);
    let mut edited = table.clone();
    edited.edit(1_001, &[change(size / 2, 7.0)]);
    let patch = edited.patch_since(1_000);
    let text = write_csv(None, table.live_rows().values());
    let now = Instant::now();
    let mut keepers = vec![TableKeeper::new(now); ROUNDS as usize];
    for keeper in &mut keepers {
        pull(keeper, now, &table, 0);
    }
    let edit = time(|round| {
        let mut copy = table.clone();
        let start = Instant::now();
        copy.edit(1_001, &[change(round as usize % size, 7.0)]);
        black_box(copy);
        start.elapsed()
    });
    let pulled = time(|round| {
        let keeper = &mut keepers[round as usize];
        let start = Instant::now();
        pull(keeper, now, &edited, 1_000);
        start.elapsed()
    });
    let shown = time(|_| timed(|| table.to_table()));
    let read = time(|_| timed(|| read_csv("work.csv", text.as_bytes())));
    let fresh = time(|_| timed(|| StampedTable::from_rows(1_000, table.rows().clone())));
    println!(
        "{size} {} {} {} {edit:.1} {pulled:.1} {shown:.1} {read:.1} {fresh:.1}",
        bytes(&table.patch_since(0)),
        bytes(&patch),
        text.len()
    );
}

fn bytes(patch: &table::TablePatch) -> usize {
    postcard::to_stdvec(patch).map_or(0, |content| content.len())
}

fn change(index: usize, weight: f64) -> RowChange {
    let row = build_row(index, weight);
    RowChange {
        work: row.work.clone(),
        after: Some(row),
        before: None,
    }
}

fn build_row(index: usize, weight: f64) -> WorkRow {
    WorkRow {
        between_tokens: Some(Duration::from_millis(25)),
        first_token: Some(Duration::from_millis(480)),
        limit: Some(120),
        model: Some("glaze-7b".into()),
        patience: Duration::from_secs(20),
        rank: 3,
        repeat: true,
        retries: 2,
        service: "glaze-llm".into(),
        waste: 0.4,
        weight,
        work: format!("caller-{index:05}-assist").into(),
        zones: Vec::new(),
    }
}

fn build_table(size: usize) -> StampedTable {
    let mut rows = BTreeMap::new();
    for index in 0..size {
        let row = build_row(index, 1.0);
        let stamped = StampedRow {
            row: Some(row.clone()),
            stamp: 1_000,
            written: 1_000,
        };
        rows.insert(row.work, stamped);
    }
    StampedTable::from_rows(1_000, rows)
}

fn pull(keeper: &mut TableKeeper, now: Instant, table: &StampedTable, since: u64) {
    let event = KeeperEvent::Pulled {
        patch: table.patch_since(since),
        source: TableSource::Platform,
    };
    keeper.on_event(now, event, &mut Vec::new());
}

/// The mean time of a round, in microseconds.
fn time(mut round: impl FnMut(u32) -> Duration) -> f64 {
    let total: Duration = (0..ROUNDS).map(&mut round).sum();
    total.as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn timed<T>(work: impl FnOnce() -> T) -> Duration {
    let start = Instant::now();
    black_box(work());
    start.elapsed()
}
