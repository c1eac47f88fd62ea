//! Socket options as the kernel has them.

use {
    relay::socket_options::tune_socket,
    socket2::SockRef,
    std::time::Duration,
    tokio::net::{TcpListener, TcpStream},
};

/// Guards against keep-alive times that the kernel refuses, so that a silent connection is kept for hours.
#[tokio::test]
async fn keep_alive_is_in_force_with_timeouts_below_and_above_a_second() {
    for (peer_ms, time_s, interval_s) in [(700, 1, 1), (2_000, 1, 1), (5_000, 2, 1), (12_000, 6, 3)]
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stream = TcpStream::connect(address).await.unwrap();
        tune_socket(&stream, Duration::from_millis(peer_ms));
        let socket = SockRef::from(&stream);
        assert!(socket.keepalive().unwrap(), "{peer_ms}");
        let time = socket.tcp_keepalive_time().unwrap();
        let interval = socket.tcp_keepalive_interval().unwrap();
        assert_eq!(time, Duration::from_secs(time_s), "{peer_ms}");
        assert_eq!(interval, Duration::from_secs(interval_s), "{peer_ms}");
        assert_eq!(socket.tcp_keepalive_retries().unwrap(), 2, "{peer_ms}");
    }
}
