//! Whether a request that can't be placed at once waits, or is refused with the time of its turn.

use {
    crate::{WaitDecision, WaitingRequest},
    std::time::{Duration, Instant},
};

/// The shortest time that a caller is told.
pub const MIN_RETRY: Duration = Duration::from_millis(50);
/// Callers follow a time up to this part of what they have left.
const HONOURED_PART: u32 = 3;
/// The greatest share by which a time is moved, so that callers refused together don't come back together.
const JITTER_SHARE: f64 = 1.0 / 16.0;
/// The longest delay by jitter.
pub(crate) const MAX_JITTER: Duration = Duration::from_millis(50);
/// Longer expected waits are not told apart.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
/// Seeds the jitter apart from other hashes of the same key.
const JITTER_SEED: u64 = 0x7265_7472_795f_6166;

/// Decides on a request. `expected` is the expected wait for its place, given what is ahead of it.
///
/// A first attempt waits only for a place on time. One that came back at the time it was told waits for any place that is
/// of use, since its caller won't come a third time. A request that no place can help is refused at once.
pub fn decide(waiting: &WaitingRequest, expected: Duration, now: Instant) -> WaitDecision {
    let limit = match waiting.has_turn {
        true => waiting.useful_until,
        false => waiting.on_time_until.min(waiting.useful_until),
    };
    let left = limit.checked_duration_since(now);
    if left.is_some_and(|left| expected <= left) {
        return WaitDecision::Wait;
    }
    refuse(waiting, expected, now)
}

/// The refusal of a request whose place is expected after `expected`.
pub fn refuse(waiting: &WaitingRequest, expected: Duration, now: Instant) -> WaitDecision {
    let retry_after = retry_after(waiting, expected, now);
    WaitDecision::Refuse { retry_after }
}

/// The time of its turn, or the longest one that its caller follows.
fn retry_after(waiting: &WaitingRequest, expected: Duration, now: Instant) -> Duration {
    let expected = expected.min(LONGEST_WAIT);
    let jitter = jitter(waiting);
    let delay = expected.mul_f64(jitter).min(MAX_JITTER);
    let honoured = waiting.leaves_at.saturating_duration_since(now) / HONOURED_PART;
    let longest = honoured.mul_f64(1.0 - jitter);
    expected.saturating_add(delay).min(longest).max(MIN_RETRY)
}

/// A share from 0 to [`JITTER_SHARE`] that depends on the attempt only.
fn jitter(waiting: &WaitingRequest) -> f64 {
    let hash = kernel::seeded_rng::mix(JITTER_SEED, waiting.request.key.as_bytes());
    JITTER_SHARE * (hash as f64 / u64::MAX as f64)
}
