//! A TCP relay in front of one process.

use {
    super::relay_mode::{RelayMode, RelaySwitch},
    std::{
        future,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        task::JoinHandle,
    },
};

const BUFFER_BYTES: usize = 16 << 10;

/// Forwards TCP connections to one process. It stops accepting when it is dropped.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    switch: RelaySwitch,
    target: Arc<Mutex<SocketAddr>>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of new connections and chunks that a silent relay currently holds.
    pub fn held(&self) -> usize {
        self.switch.held()
    }

    /// Forwards new connections to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Sets the mode.
    pub fn set(&self, mode: RelayMode) {
        self.switch.set(mode);
    }

    /// Silences all open connections for good: they stay open, and nothing that is written to them arrives. New ones work.
    pub fn silence_open(&self) {
        self.switch.silence_open();
    }

    /// Number of calls to a model engine that have reached the relay while it was silent. Unlike [`Self::held`] it
    /// leaves out load reports and cancels.
    pub fn silenced_calls(&self) -> usize {
        self.switch.silenced_calls()
    }

    /// Starts forwarding connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let switch = RelaySwitch::new();
        let target = Arc::new(Mutex::new(target));
        let task = tokio::spawn(accept_all(listener, target.clone(), switch.clone()));
        Self {
            address,
            switch,
            target,
            task,
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, target: Arc<Mutex<SocketAddr>>, switch: RelaySwitch) {
    while let Ok((inbound, _)) = listener.accept().await {
        let target = *target.lock().unwrap();
        tokio::spawn(forward_connection(inbound, target, switch.clone()));
    }
}

async fn forward_connection(inbound: TcpStream, target: SocketAddr, switch: RelaySwitch) {
    if !pass_connection(&inbound, &switch).await {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let is_silent = AtomicBool::new(false);
    let forward = copy(inbound_read, outbound_write, &switch, &is_silent);
    let backward = copy(outbound_read, inbound_write, &switch, &is_silent);
    let silence = async {
        switch.wait_silence().await;
        is_silent.store(true, Ordering::SeqCst);
        future::pending().await
    };
    tokio::select! {
        biased;
        () = silence => {}
        () = switch.wait_reset() => {}
        () = async { tokio::join!(forward, backward); } => {}
    }
}

/// Waits until a new connection may be forwarded, and notes the call that arrives on it meanwhile.
async fn pass_connection(inbound: &TcpStream, switch: &RelaySwitch) -> bool {
    let mut buffer = vec![0; BUFFER_BYTES];
    let note = async {
        if let Ok(length) = inbound.peek(&mut buffer).await {
            switch.note(&buffer[..length]);
        }
        future::pending().await
    };
    tokio::select! {
        biased;
        passes = switch.pass() => passes,
        () = note => false,
    }
}

/// Forwards one direction; what comes on a silent connection is dropped.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    switch: &RelaySwitch,
    is_silent: &AtomicBool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        switch.note(&buffer[..length]);
        if length == 0 || !switch.pass().await {
            return;
        }
        if is_silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
