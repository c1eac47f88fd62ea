//! The platform keys of claims.

use {kernel::seeded_rng, std::sync::Arc};

/// The key prefix of all claim rows.
pub const CLAIM_PREFIX: &str = "claims/";

/// The row that each removal of claims writes.
///
/// A row's version starts again after a removal, so a late write to one claim could overwrite the next claim of
/// the same key. Removals write this row, and both removals and replacements name its version: a write prepared
/// before a removal therefore fails after it. The row itself is never removed.
pub const EPOCH_KEY: &str = "claim_epoch";

/// The platform row of a caller's key: `claims/{work}/{hash}`.
///
/// The hash has 128 bits over the caller's scope and the key, so that the key of one caller reveals nothing
/// about another's. All instances must use the same secret.
pub fn claim_key(secret: u64, work: &str, scope: &str, key: &str) -> Arc<str> {
    let high = hash(seeded_rng::mix(secret, b"high"), scope, key);
    let low = hash(seeded_rng::mix(secret, b"low"), scope, key);
    Arc::from(format!("{CLAIM_PREFIX}{work}/{high:016x}{low:016x}"))
}

fn hash(seed: u64, scope: &str, key: &str) -> u64 {
    seeded_rng::mix(seeded_rng::mix(seed, scope.as_bytes()), key.as_bytes())
}
