//! Whether the instance may get requests, and if not, why.

use {
    kernel::{LockRank, RankedLock},
    std::{collections::BTreeMap, sync::Arc},
};

/// Names one condition, such as `table`.
pub type ReadyCondition = &'static str;

/// The condition of an instance that closes.
pub const CLOSING_CONDITION: ReadyCondition = "closing";

/// The conditions that keep the instance from being ready. Each part sets its own by name.
#[derive(Debug)]
pub struct ReadinessState {
    reasons: RankedLock<BTreeMap<ReadyCondition, Arc<str>>>,
}

impl ReadinessState {
    /// Says why a condition does not hold, in place of an earlier reason.
    pub fn block(&self, condition: ReadyCondition, reason: impl Into<Arc<str>>) {
        let reason = reason.into();
        let before = self.reasons.lock().insert(condition, reason.clone());
        if before.as_ref() == Some(&reason) {
            return;
        }
        tracing::info!(condition, %reason, "not ready");
    }

    /// Says that a condition holds.
    pub fn clear(&self, condition: ReadyCondition) {
        let mut reasons = self.reasons.lock();
        let before = reasons.remove(condition);
        let ready = reasons.is_empty();
        drop(reasons);
        if before.is_none() {
            return;
        }
        tracing::info!(condition, ready, "condition holds");
    }

    /// Whether the instance is on its way out.
    pub fn is_closing(&self) -> bool {
        self.reasons.lock().contains_key(CLOSING_CONDITION)
    }

    /// Whether all conditions hold.
    pub fn is_ready(&self) -> bool {
        self.reasons.lock().is_empty()
    }

    /// A board without conditions.
    pub fn new() -> Self {
        Self {
            reasons: RankedLock::new(LockRank::Samples, BTreeMap::new()),
        }
    }

    /// Why the instance is not ready, by condition; empty when it is.
    pub fn reasons(&self) -> BTreeMap<ReadyCondition, Arc<str>> {
        self.reasons.lock().clone()
    }
}

impl Default for ReadinessState {
    fn default() -> Self {
        Self::new()
    }
}
