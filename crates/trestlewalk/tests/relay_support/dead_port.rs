//! An address on which connection attempts are never answered, as behind a partition.

use {
    socket2::{Domain, Socket, Type},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{net::TcpStream, time},
};

/// How long an attempt may take before it counts as unanswered.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_ATTEMPTS: usize = 64;

/// A listener that accepts nothing and whose queue is full: the system drops further opening packets.
#[derive(Debug)]
pub struct DeadPort {
    pub address: SocketAddr,
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

impl DeadPort {
    pub async fn open() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        listener.bind(&any.into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            match time::timeout(ATTEMPT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(stream) => queued.push(stream.unwrap()),
                Err(_) => break,
            }
        }
        assert!(queued.len() < MAX_ATTEMPTS, "the queue never fills");
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}
