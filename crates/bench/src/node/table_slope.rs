//! The table against its rows.

use {
    crate::node::{
        node_report::{SlopePoint, SlopeSeries},
        process_usage::ProcessUsage,
    },
    std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration},
    table::{StampedRow, StampedTable, WorkRow},
};

const EDITS: u64 = 100;

/// All series of the table.
pub fn run() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    // Kept to the end, so that no table is made in the memory of an earlier one.
    let mut kept = Vec::new();
    for rows in [100, 1_000, 4_000, 12_000] {
        points.push(measure(rows, &mut kept));
    }
    vec![SlopeSeries::new("table", "rows", points)]
}

fn measure(rows: u64, kept: &mut Vec<Arc<StampedTable>>) -> SlopePoint {
    let before = ProcessUsage::now();
    let mut table = Arc::new(make_table(rows));
    let held = ProcessUsage::now().resident.saturating_sub(before.resident);
    kept.push(table.clone());
    let whole = encoded(&table.patch_since(0));
    let patch_of = |version: u64, table: &StampedTable| {
        let mut edited = table.clone();
        let work = work_name(version % rows);
        let rows = BTreeMap::from([(work, make_row(version % rows, version))]);
        edited.join(&table::TablePatch {
            digest: 0,
            rows,
            since: version - 1,
            version,
        });
        edited.patch_since(version - 1)
    };
    let mut patches = Vec::new();
    let mut next = StampedTable::clone(&table);
    for edit in 0..EDITS {
        let patch = patch_of(rows + edit + 1, &next);
        next.join(&patch);
        patches.push(patch);
    }
    let start = ProcessUsage::now();
    for patch in &patches {
        // As the keeper does: those who read the table in force keep it whole.
        let mut taken = StampedTable::clone(&table);
        taken.join(patch);
        table = Arc::new(taken);
    }
    let joined = ProcessUsage::now();
    for edit in 0..EDITS {
        black_box(table.patch_since(rows + edit));
    }
    let served = ProcessUsage::now();
    for _ in 0..EDITS {
        black_box(table.to_table());
    }
    let read = ProcessUsage::now();
    let each = |time: Duration| time.as_secs_f64() * 1e6 / EDITS as f64;
    SlopePoint::new(
        rows as f64,
        [
            ("patch_bytes", encoded(&patches[0]) as f64),
            ("patch_us", each(served.processor_since(&joined))),
            ("resident_kb", held as f64 / 1e3),
            ("take_us", each(joined.processor_since(&start))),
            ("to_table_us", each(read.processor_since(&served))),
            ("whole_bytes", whole as f64),
        ],
    )
}

fn encoded(patch: &table::TablePatch) -> usize {
    peer::wire::encode(patch).map_or(0, |body| body.len())
}

fn make_table(rows: u64) -> StampedTable {
    let mut stamped = BTreeMap::new();
    for row in 0..rows {
        stamped.insert(work_name(row), make_row(row, row + 1));
    }
    StampedTable::from_rows(rows, stamped)
}

fn work_name(row: u64) -> Arc<str> {
    format!("customer-{:04}-work-{}", row / 5, row % 5).into()
}

fn make_row(row: u64, stamp: u64) -> StampedRow {
    let row = WorkRow {
        between_tokens: Some(Duration::from_millis(25)),
        first_token: Some(Duration::from_millis(480)),
        limit: Some(40 + (stamp % 7) as u32),
        model: Some(format!("model-{}", row % 5).into()),
        patience: Duration::from_secs(120),
        rank: 3,
        repeat: false,
        retries: 2,
        service: "assistant".into(),
        waste: 0.05,
        weight: 1.5,
        work: work_name(row),
        zones: vec!["zone-01".into(), "zone-02".into()],
    };
    StampedRow {
        row: Some(row),
        stamp,
        written: stamp,
    }
}
