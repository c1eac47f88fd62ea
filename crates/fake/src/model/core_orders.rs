//! Orders and their fencing numbers.

use {
    super::{engine_core::EngineCore, engine_counters::OrderEntry, engine_event::EngineAction},
    engine::wire::{EngineOrder, OrderKind, OrderRefusal},
    kernel::ModelId,
    std::time::Instant,
};

impl EngineCore {
    /// Checks an order's fencing number, if this engine checks, and takes the order down.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal`] when a greater number was seen.
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

    /// Takes up a model whose weights are there.
    pub(super) fn add_model(&mut self, model: ModelId) {
        self.loading.remove(&model);
        if self.models.contains(&model) {
            return;
        }
        self.models.push(model);
    }

    /// Carries an order out.
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

    /// Takes the new role on, if the change ends by `now`.
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
