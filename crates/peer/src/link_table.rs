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

/// One slot per peer, shared by clones. A slot's lock is held while connecting, so that there is only one attempt.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    slots: Arc<Mutex<BTreeMap<InstanceId, Arc<tokio::sync::Mutex<LinkSlot>>>>>,
}

impl LinkTable {
    /// Drops all connections; each closes when its last user releases it.
    pub fn clear(&self) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.clear();
    }

    /// Drops one peer's connection. An attempt to connect goes on, and serves the next caller.
    pub fn remove(&self, instance: &str) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let is_connecting = slots
            .get(instance)
            .is_some_and(|slot| slot.try_lock().is_err());
        if !is_connecting {
            slots.remove(instance);
        }
    }

    /// The number of peers with a slot.
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

    /// Drops the connections that were unused for longer than the limit; sessions over them continue.
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

    /// Drops idle connections periodically: a probe or a call leaves one behind, whose keep-alives cost traffic.
    pub(crate) async fn run_sweep(self, idle: Duration) {
        let mut ticks = tokio::time::interval(idle);
        loop {
            ticks.tick().await;
            self.sweep(Instant::now(), idle);
        }
    }

    /// The slot of a peer, created when missing.
    pub fn slot(&self, instance: &InstanceId) -> Arc<tokio::sync::Mutex<LinkSlot>> {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.entry(instance.clone()).or_default().clone()
    }
}
