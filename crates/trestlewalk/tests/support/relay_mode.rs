//! The mode of a relay and the switch that sets it.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Start of a call to a model engine.
const CALL: &[u8] = b"POST /v1/completions ";

/// How a relay treats the traffic between two processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards everything.
    Open,
    /// TCP: closes open connections, and new ones as they are accepted. UDP: drops datagrams, as `Silent` does.
    Reset,
    /// Forwards nothing and closes nothing. TCP: bytes are held until the mode is `Open` or `Slow`. UDP: datagrams are
    /// dropped.
    Silent,
    /// Forwards everything, each chunk or datagram after this delay.
    Slow(Duration),
}

/// Sets the mode of a running relay. Clones share one mode.
#[derive(Clone, Debug)]
pub struct RelaySwitch {
    held: Arc<AtomicUsize>,
    sender: watch::Sender<RelayMode>,
    silence: Arc<Notify>,
    silenced_calls: Arc<AtomicUsize>,
}

impl RelaySwitch {
    /// Number of new connections and chunks that a silent relay currently holds.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// The current mode.
    pub fn mode(&self) -> RelayMode {
        *self.sender.borrow()
    }

    /// A switch in mode `Open`.
    pub fn new() -> Self {
        Self {
            held: Arc::default(),
            sender: watch::Sender::new(RelayMode::Open),
            silence: Arc::default(),
            silenced_calls: Arc::default(),
        }
    }

    /// Counts a chunk that starts a call to a model engine while the mode is `Silent`.
    pub fn note(&self, chunk: &[u8]) {
        if self.mode() == RelayMode::Silent && chunk.starts_with(CALL) {
            self.silenced_calls.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Waits until a connection or chunk may be forwarded; `false` when the connection has to be closed.
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

    /// Waits until the mode is `Reset`.
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

    /// Ends what waits in [`Self::wait_silence`] now.
    pub fn silence_open(&self) {
        self.silence.notify_waiters();
    }

    /// Waits until the open connections are silenced.
    pub async fn wait_silence(&self) {
        self.silence.notified().await;
    }

    /// Sets the mode.
    pub fn set(&self, mode: RelayMode) {
        self.sender.send_replace(mode);
    }

    /// Number of calls to a model engine that have reached the relay while it was silent.
    pub fn silenced_calls(&self) -> usize {
        self.silenced_calls.load(Ordering::SeqCst)
    }
}
