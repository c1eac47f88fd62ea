//! Stateless seeded hashing, for decisions that need a reproducible pseudo-random number.

/// Hashes a seed and a value to a uniformly distributed number; the same input gives the same output.
pub fn mix(seed: u64, value: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(value, seed)
}

/// Picks the candidate for `key` by rendezvous hashing: the greatest score, ties broken by name; `None` without
/// candidates.
pub fn rendezvous<'a, T: AsRef<str>>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates
        .into_iter()
        .max_by(|left, right| rank(key, left.as_ref()).cmp(&rank(key, right.as_ref())))
}

fn rank<'a>(key: &str, candidate: &'a str) -> (u64, &'a str) {
    (rendezvous_score(key, candidate), candidate)
}

/// The rendezvous hashing score of one candidate for `key`.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    mix(mix(0, key.as_bytes()), candidate.as_bytes())
}
