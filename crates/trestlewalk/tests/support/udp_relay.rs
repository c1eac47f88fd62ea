//! A UDP relay in front of one process.

use {
    super::relay_mode::{RelayMode, RelaySwitch},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{net::UdpSocket, task::JoinSet},
};

const DATAGRAM_BYTES: usize = 64 << 10;

/// Forwards datagrams from any sender to one process, and replies back to their senders. It stops when it is dropped.
#[derive(Debug)]
pub struct UdpRelay {
    address: SocketAddr,
    blocked: Arc<Mutex<BTreeSet<SocketAddr>>>,
    switch: RelaySwitch,
    target: Arc<Mutex<SocketAddr>>,
    _tasks: JoinSet<()>,
}

impl UdpRelay {
    /// The address to send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all datagrams between `sender` and the target.
    pub fn block(&self, sender: SocketAddr) {
        self.blocked.lock().unwrap().insert(sender);
    }

    /// Forwards datagrams to another address.
    pub fn retarget(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = target;
    }

    /// Sets the mode for all senders.
    pub fn set(&self, mode: RelayMode) {
        self.switch.set(mode);
    }

    /// Starts forwarding datagrams to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = socket.local_addr().unwrap();
        let path = RelayPath {
            blocked: Arc::default(),
            socket,
            switch: RelaySwitch::new(),
            target: Arc::new(Mutex::new(target)),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_datagrams(path.clone()));
        Self {
            address,
            blocked: path.blocked,
            switch: path.switch,
            target: path.target,
            _tasks: tasks,
        }
    }

    /// Ends the block of `sender`.
    pub fn unblock(&self, sender: SocketAddr) {
        self.blocked.lock().unwrap().remove(&sender);
    }
}

#[derive(Clone)]
struct RelayPath {
    blocked: Arc<Mutex<BTreeSet<SocketAddr>>>,
    socket: Arc<UdpSocket>,
    switch: RelaySwitch,
    target: Arc<Mutex<SocketAddr>>,
}

impl RelayPath {
    /// Sends, drops or delays one datagram, as the mode and the blocked senders require.
    async fn send(&self, socket: &Arc<UdpSocket>, sender: SocketAddr, to: SocketAddr, data: &[u8]) {
        if self.blocked.lock().unwrap().contains(&sender) {
            return;
        }
        match self.switch.mode() {
            RelayMode::Open => {
                let _ = socket.send_to(data, to).await;
            }
            RelayMode::Reset | RelayMode::Silent => {}
            RelayMode::Slow(delay) => {
                let (socket, data) = (socket.clone(), data.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = socket.send_to(&data, to).await;
                });
            }
        }
    }
}

async fn return_datagrams(path: RelayPath, outbound: Arc<UdpSocket>, sender: SocketAddr) {
    let mut data = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = outbound.recv_from(&mut data).await else {
            continue;
        };
        path.send(&path.socket, sender, sender, &data[..length])
            .await;
    }
}

async fn forward_datagrams(path: RelayPath) {
    let mut data = vec![0; DATAGRAM_BYTES];
    let mut sockets: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let Ok((length, sender)) = path.socket.recv_from(&mut data).await else {
            continue;
        };
        let outbound = match sockets.get(&sender) {
            Some(outbound) => outbound.clone(),
            None => {
                let outbound = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                sockets.insert(sender, outbound.clone());
                tasks.spawn(return_datagrams(path.clone(), outbound.clone(), sender));
                outbound
            }
        };
        let target = *path.target.lock().unwrap();
        path.send(&outbound, sender, target, &data[..length]).await;
    }
}
