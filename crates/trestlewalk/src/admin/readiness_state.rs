//! Whether the instance accepts requests, and if not, why.

use {
    kernel::{LockRank, RankedLock},
    std::{collections::BTreeMap, sync::Arc},
};

/// Names one condition, such as `table`.
pub type ReadyCondition = &'static str;

/// The condition that a closing instance does not meet.
pub const CLOSING_CONDITION: ReadyCondition = "closing";

/// The conditions that are not met yet. The instance is ready when there are none; each part sets its own by name.
#[derive(Debug)]
pub struct ReadinessState {
    reasons: RankedLock<BTreeMap<ReadyCondition, Arc<str>>>,
}

impl ReadinessState {
    /// Marks a condition as not met; the reason replaces an earlier one.
    pub fn block(&self, condition: ReadyCondition, reason: impl Into<Arc<str>>) {
        let reason = reason.into();
        let before = self.reasons.lock().insert(condition, reason.clone());
        if before.as_ref() == Some(&reason) {
            return;
        }
        tracing::info!(condition, %reason, "not ready");
    }

    /// Marks a condition as met.
    pub fn clear(&self, condition: ReadyCondition) {
        let mut reasons = self.reasons.lock();
        let before = reasons.remove(condition);
        let ready = reasons.is_empty();
        drop(reasons);
        if before.is_none() {
            return;
        }
        tracing::info!(condition, ready, "condition met");
    }

    /// Whether the instance is closing.
    pub fn is_closing(&self) -> bool {
        self.reasons.lock().contains_key(CLOSING_CONDITION)
    }

    /// Whether all conditions are met.
    pub fn is_ready(&self) -> bool {
        self.reasons.lock().is_empty()
    }

    /// A state without conditions, so that the instance counts as ready.
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
