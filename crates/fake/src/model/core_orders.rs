//! Orders and the check of their fencing tokens.

use {
    super::{engine_core::EngineCore, engine_counters::OrderEntry, engine_event::EngineAction},
    engine::wire::{EngineOrder, OrderKind, OrderRefusal},
    kernel::ModelId,
    std::time::Instant,
};

impl EngineCore {
    /// Records an order and, if the engine checks fencing tokens, verifies that its token is not stale.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal`] when a greater token was seen.
    pub fn check_order(&mut self, now: Instant, order: &EngineOrder) -> Result<(), OrderRefusal> {
        let is_old = order.fence < self.fence_seen;
        let accepted = !(is_old && self.settings.checks_fence);
        self.fence_seen = self.fence_seen.max(order.fence);
        self.counters.orders.push(OrderEntry {
            accepted,
            fence: order.fence,
            kind: order.kind.clone(),
            since_start: now.saturating_duration_since(self.started),
        });
        if accepted {
            return Ok(());
        }
        Err(OrderRefusal {
            seen: self.fence_seen,
        })
    }

    /// Adds a model whose weights are loaded.
    pub(super) fn add_model(&mut self, model: ModelId) {
        self.loading.remove(&model);
        if self.models.contains(&model) {
            return;
        }
        self.models.push(model);
    }

    /// Executes an order.
    pub(super) fn execute_order(
        &mut self,
        now: Instant,
        order: EngineOrder,
        actions: &mut Vec<EngineAction>,
    ) {
        match order.kind {
            OrderKind::ChangeRole { role } => {
                self.next_role = Some((now + self.settings.role_change, role));
                self.finish_role_change(now);
            }
            OrderKind::LoadModel { model } => self.load_model(model, actions),
        }
    }

    /// Switches to the new role if the change is complete by `now`.
    pub(super) fn finish_role_change(&mut self, now: Instant) {
        let Some((due, role)) = self.next_role else {
            return;
        };
        if due > now {
            return;
        }
        self.next_role = None;
        self.role = role;
    }

    fn load_model(&mut self, model: ModelId, actions: &mut Vec<EngineAction>) {
        if self.models.contains(&model) || !self.loading.insert(model.clone()) {
            return;
        }
        actions.push(EngineAction::LoadWeights {
            bytes: self.settings.model_bytes,
            model,
        });
    }
}
