//! What the bench asks of a policy.

use {
    crate::world::WorldTruth,
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, CellAllocator},
    std::time::Instant,
};

/// A policy under test. Any [`AdmitPolicy`] is one with an empty impl.
pub trait BenchPolicy: AdmitPolicy {
    /// Whether it hears and is heard without delay and sees the truth; only the clairvoyant policy does.
    const EXACT: bool = false;

    /// Takes one event; a policy that isn't exact never looks at `truth`.
    fn decide(
        &mut self,
        now: Instant,
        event: AdmitEvent,
        truth: &WorldTruth,
        actions: &mut Vec<AdmitAction>,
    ) {
        let _ = truth;
        self.on_event(now, event, actions);
    }
}

impl BenchPolicy for CellAllocator {}
