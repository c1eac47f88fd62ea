//! Removal of expired claims.

use {
    crate::{
        claim_key::{CLAIM_PREFIX, EPOCH_KEY},
        claim_record::ClaimRecord,
        claim_watch::{ClaimWatch, ClockReading},
    },
    kernel::{InstanceId, seeded_rng},
    plat::{StoredRow, Transaction},
    std::collections::BTreeSet,
};

/// Rows removed by one sweep; writes to the platform are rate limited.
const SWEEP_BATCH: usize = 32;

/// Whether this instance is the sweeper among the live ones. Two concurrent sweepers are harmless.
pub fn is_sweeper(own: &InstanceId, live: &[InstanceId]) -> bool {
    seeded_rng::rendezvous(CLAIM_PREFIX, live) == Some(own)
}

/// The removals that are due, in one transaction; `None` if nothing is due. `epoch` is the version of the
/// [`EPOCH_KEY`] row, read before `rows`, which must be all claim rows.
pub fn due_removals(
    clock: ClockReading,
    watch: &mut ClaimWatch,
    epoch: u64,
    rows: &[StoredRow],
) -> Option<Transaction> {
    let keys: BTreeSet<&str> = rows.iter().map(|row| &*row.key).collect();
    watch.retain(|key| keys.contains(key));
    let mut removals = Transaction::default();
    for row in rows {
        let Some(record) = ClaimRecord::from_value(&row.value) else {
            continue;
        };
        if !watch.has_ended(clock, row, &record) {
            continue;
        }
        removals.remove(row);
        if removals.writes.len() == SWEEP_BATCH {
            break;
        }
    }
    if removals.writes.is_empty() {
        return None;
    }
    next_epoch(&mut removals, epoch);
    Some(removals)
}

fn next_epoch(transaction: &mut Transaction, epoch: u64) {
    transaction.write(EPOCH_KEY.into(), epoch, "".into());
}
