//! Passes TCP connections on, until it is told not to.

use {
    super::relay_mode::{RelayMode, RelaySwitch},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
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

const PIECE_BYTES: usize = 16 << 10;

/// A way to one process. It ends when it is dropped.
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

    /// How many connections or pieces a silent relay holds back now.
    pub fn held(&self) -> usize {
        self.switch.held()
    }

    /// Passes new connections on to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Switches the way.
    pub fn set(&self, mode: RelayMode) {
        self.switch.set(mode);
    }

    /// Starts to pass connections on to `target`.
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
    while let Ok((stream, _)) = listener.accept().await {
        let target = *target.lock().unwrap();
        tokio::spawn(pass_connection(stream, target, switch.clone()));
    }
}

async fn pass_connection(stream: TcpStream, target: SocketAddr, switch: RelaySwitch) {
    if !switch.pass().await {
        return;
    }
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = onward.into_split();
    let there = copy(near_read, far_write, &switch);
    let back = copy(far_read, near_write, &switch);
    tokio::select! {
        () = switch.reset() => {}
        () = async { tokio::join!(there, back); } => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, switch: &RelaySwitch) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length) = from.read(&mut piece).await {
        if length == 0 || !switch.pass().await {
            return;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
