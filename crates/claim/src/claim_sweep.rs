//! Removing claims that have ended.

use {
    crate::{
        claim_key::CLAIM_PREFIX,
        claim_record::ClaimRecord,
        claim_watch::{ClaimWatch, ClockReading},
    },
    kernel::{InstanceId, seeded_rng},
    plat::{RowCondition, RowWrite, StoredRow, Transaction},
    std::collections::BTreeSet,
};

/// Lives for which a claim is seen unchanged before its row is removed. A row's version starts again after a
/// removal, so that a write has to be older than this to be mistaken for one to the next row of the key.
const SWEEP_LIVES: u32 = 2;
/// Rows removed by one sweep: the platform's writes are scarce.
const SWEEP_BATCH: usize = 32;

/// Whether this instance is the one that sweeps, among the live ones. Two at a time do no harm.
pub fn is_sweeper(own: &InstanceId, live: &[InstanceId]) -> bool {
    seeded_rng::rendezvous(CLAIM_PREFIX, live) == Some(own)
}

/// The removals that are due, given all rows of claims. Each is a transaction of its own.
pub fn due_removals(
    clock: ClockReading,
    watch: &mut ClaimWatch,
    rows: &[StoredRow],
) -> Vec<Transaction> {
    let keys: BTreeSet<&str> = rows.iter().map(|row| &*row.key).collect();
    watch.retain(|key| keys.contains(key));
    let mut removals = Vec::new();
    for row in rows {
        let Some(record) = ClaimRecord::from_value(&row.value) else {
            continue;
        };
        if !watch.has_ended(clock, row, &record, SWEEP_LIVES) {
            continue;
        }
        removals.push(removal(row));
        if removals.len() == SWEEP_BATCH {
            break;
        }
    }
    removals
}

fn removal(row: &StoredRow) -> Transaction {
    Transaction {
        conditions: vec![RowCondition {
            key: row.key.clone(),
            version: row.version,
        }],
        writes: vec![RowWrite {
            key: row.key.clone(),
            value: None,
        }],
    }
}
