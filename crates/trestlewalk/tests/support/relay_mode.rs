//! What a relay does with what passes through it.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// The state of the way between two processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// All passes.
    Open,
    /// TCP: open connections are closed, and new ones at once. UDP: as `Silent`.
    Reset,
    /// Nothing passes, and nobody is told. TCP: what was held back passes when the way opens. UDP: it is lost.
    Silent,
    /// All passes, each piece so much later.
    Slow(Duration),
}

/// Switches a relay while it runs. Clones share one switch.
#[derive(Clone, Debug)]
pub struct RelaySwitch {
    held: Arc<AtomicUsize>,
    sender: watch::Sender<RelayMode>,
}

impl RelaySwitch {
    /// How many connections or pieces a silent relay holds back now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// The mode now.
    pub fn mode(&self) -> RelayMode {
        *self.sender.borrow()
    }

    /// A switch that lets all pass.
    pub fn new() -> Self {
        Self {
            held: Arc::default(),
            sender: watch::Sender::new(RelayMode::Open),
        }
    }

    /// Waits until what came may pass; `false` when the connection is to be closed.
    pub async fn pass(&self) -> bool {
        let mut receiver = self.sender.subscribe();
        self.held.fetch_add(1, Ordering::SeqCst);
        let mode = receiver.wait_for(|mode| *mode != RelayMode::Silent).await;
        let mode = mode.map_or(RelayMode::Reset, |mode| *mode);
        self.held.fetch_sub(1, Ordering::SeqCst);
        if let RelayMode::Slow(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        mode != RelayMode::Reset
    }

    /// Waits until connections are to be closed.
    pub async fn wait_reset(&self) {
        let mut receiver = self.sender.subscribe();
        if receiver
            .wait_for(|mode| *mode == RelayMode::Reset)
            .await
            .is_err()
        {
            std::future::pending().await
        }
    }

    /// Switches.
    pub fn set(&self, mode: RelayMode) {
        self.sender.send_replace(mode);
    }
}
