//! Drives one lease against the platform, and sends orders to upstreams.

use {
    crate::{
        lease_core::{LeaseAction, LeaseCore, LeaseEvent},
        lease_error::{
            FenceRefusedSnafu, LeaseError, LeaseLostSnafu, OutcomeUnknownSnafu, TooEarlySnafu,
        },
        lease_hold::LeaseHold,
        lease_settings::LeaseSettings,
        order_gate::{GateVerdict, OrderGate},
        order_sender::{OrderReply, OrderSender},
    },
    engine::wire::{EngineOrder, OrderKind},
    kernel::{FencingToken, LockRank, RankedLock, UpstreamId, steady_clock},
    plat::RowStore,
    std::sync::Arc,
};

/// The maximum calls to the platform per tick: a read and a write, and both again after a conflict.
const MAX_CALLS_PER_TICK: usize = 4;

#[derive(Debug)]
struct KeeperState {
    core: LeaseCore,
    gate: OrderGate,
}

/// Holds one lease, and sends orders under it. [`Self::tick`] must be called from one task only.
#[derive(Debug)]
pub struct LeaseKeeper<S> {
    state: RankedLock<KeeperState>,
    store: Arc<S>,
}

impl<S: RowStore> LeaseKeeper<S> {
    /// Acquires or renews the lease if that is due. It must be called a few times per lease duration.
    pub async fn tick(&self) {
        self.drive(LeaseEvent::Tick).await;
    }

    /// Releases the lease if no order can be in progress; otherwise the lease expires.
    pub async fn close(self) {
        if self.state.lock().gate.is_idle(steady_clock::now()) {
            self.drive(LeaseEvent::Release).await;
        }
    }

    /// What the lease allows now; `None` if it is not held.
    pub fn hold(&self) -> Option<LeaseHold> {
        self.state.lock().core.hold(steady_clock::now())
    }

    /// A keeper that does not hold the lease yet.
    pub fn new(store: Arc<S>, settings: LeaseSettings) -> Self {
        let gate = OrderGate::new(settings.longest_order);
        let core = LeaseCore::new(settings);
        Self {
            state: RankedLock::new(LockRank::Upstreams, KeeperState { core, gate }),
            store,
        }
    }

    /// Sends an order under the lease. `checks_fence` tells whether the upstream refuses old fencing tokens.
    ///
    /// # Errors
    ///
    /// [`LeaseError`]: the lease is not held, an earlier order may be in progress, the upstream refused the
    /// token, or gave no answer. An order that the upstream refused for another reason is `Ok(false)`.
    pub async fn order<O: OrderSender>(
        &self,
        sender: &O,
        upstream: &UpstreamId,
        checks_fence: bool,
        kind: OrderKind,
    ) -> Result<bool, LeaseError> {
        let fence = self.pass_gate(upstream, checks_fence)?;
        let order = EngineOrder { fence, kind };
        let reply = sender.send_order(upstream, &order).await;
        let mut state = self.state.lock();
        if reply != OrderReply::Unknown {
            state.gate.on_answer(upstream);
        }
        match reply {
            OrderReply::Done => Ok(true),
            OrderReply::Fenced(seen) => {
                let _wait = state
                    .core
                    .on_event(steady_clock::now(), LeaseEvent::FenceRefused(seen));
                FenceRefusedSnafu {
                    fence,
                    seen,
                    upstream: upstream.clone(),
                }
                .fail()
            }
            OrderReply::Refused => Ok(false),
            OrderReply::Unknown => OutcomeUnknownSnafu {
                upstream: upstream.clone(),
            }
            .fail(),
        }
    }

    async fn drive(&self, first: LeaseEvent) {
        let mut event = first;
        for _ in 0..MAX_CALLS_PER_TICK {
            let action = self.step(event);
            event = match action {
                LeaseAction::Commit(transaction) => {
                    let reply = self.store.commit(&transaction).await;
                    reply.map_or(LeaseEvent::NoAnswer, LeaseEvent::Reply)
                }
                LeaseAction::Get(key) => {
                    let row = self.store.get(&key).await;
                    row.map_or(LeaseEvent::NoAnswer, LeaseEvent::Read)
                }
                LeaseAction::Wait => return,
            };
        }
        // The last reply must be handled; the action that follows from it waits for the next tick.
        if let LeaseAction::Commit(_) = self.step(event) {
            let _wait = self.step(LeaseEvent::NoAnswer);
        }
    }

    fn pass_gate(
        &self,
        upstream: &UpstreamId,
        checks_fence: bool,
    ) -> Result<FencingToken, LeaseError> {
        let mut state = self.state.lock();
        let now = steady_clock::now();
        let hold = state.core.hold(now);
        match state.gate.decide(now, hold, upstream, checks_fence) {
            GateVerdict::Lost => LeaseLostSnafu {
                upstream: upstream.clone(),
            }
            .fail(),
            GateVerdict::Send(fence) => Ok(fence),
            GateVerdict::Wait(until) => TooEarlySnafu {
                upstream: upstream.clone(),
                wait: until.saturating_duration_since(now),
            }
            .fail(),
        }
    }

    fn step(&self, event: LeaseEvent) -> LeaseAction {
        let now = steady_clock::now();
        let epoch = self.store.epoch();
        let mut state = self.state.lock();
        if let Some(epoch) = epoch {
            state.core.note_epoch(epoch, now);
        }
        state.core.on_event(now, event)
    }
}
