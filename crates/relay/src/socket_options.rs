//! Options of sockets.

use {
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// Has the connection reset once the stream is dropped.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "could not set a socket option; what was written may still arrive");
    }
}

/// Sets socket options that detect a lost peer within `peer_timeout` and send small writes without delay.
pub fn tune_socket(stream: &TcpStream, peer_timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(peer_timeout / 2)
        .with_interval(peer_timeout / 4)
        .with_retries(2);
    let outcome = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(peer_timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = outcome {
        tracing::debug!(%error, "could not set a socket option; a lost peer is noticed later");
    }
}
