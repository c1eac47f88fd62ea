//! The connections to all peers.

use {
    crate::link_slot::LinkSlot,
    kernel::InstanceId,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// One slot a peer. Clones share it. A slot's lock is held while a connection is made, so that there is one attempt.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    slots: Arc<Mutex<BTreeMap<InstanceId, Arc<tokio::sync::Mutex<LinkSlot>>>>>,
}

impl LinkTable {
    /// Forgets all connections: each closes when nothing uses it any more.
    pub fn clear(&self) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.clear();
    }

    /// Forgets one peer's connection.
    pub fn remove(&self, instance: &str) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.remove(instance);
    }

    /// How many peers have a slot.
    pub fn len(&self) -> usize {
        let slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.len()
    }

    /// Whether no peer has a slot.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the connections that were not used for longer than the limit; sessions over them go on.
    pub fn sweep(&self, now: Instant, limit: Duration) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.retain(|_, slot| {
            let Ok(slot) = slot.try_lock() else {
                return true;
            };
            !slot.is_idle(now, limit)
        });
    }

    /// Gives up connections that nothing uses: a probe or a call leaves one behind, and its keep-alives cost.
    pub(crate) async fn run_sweep(self, idle: Duration) {
        let mut ticks = tokio::time::interval(idle);
        loop {
            ticks.tick().await;
            self.sweep(Instant::now(), idle);
        }
    }

    /// The slot of a peer.
    pub fn slot(&self, instance: &InstanceId) -> Arc<tokio::sync::Mutex<LinkSlot>> {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.entry(instance.clone()).or_default().clone()
    }
}
