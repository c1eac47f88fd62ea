//! Connections that go silent for good while new ones work.

mod support;

use {
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    relay::{ConnectionKey, ConnectionPool},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::ample_timeouts,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time,
    },
};

/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_millis(300);
const CONNECTIONS: usize = 6;
/// The path of calls that the server answers after [`SLOW_ANSWER`].
const SLOW_PATH: &str = "/slow";
const SLOW_ANSWER: Duration = Duration::from_millis(600);

/// A server whose connections can go silent.
#[derive(Clone, Debug, Default)]
struct SilentServer {
    accepted: Arc<AtomicUsize>,
    /// Connections that were accepted before this number answer nothing.
    silent_below: Arc<AtomicUsize>,
}

impl SilentServer {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = server.accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(server.clone().serve(stream, number));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream, number: usize) -> std::io::Result<()> {
        let mut piece = [0; 4_096];
        loop {
            let count = stream.read(&mut piece).await?;
            if count == 0 {
                return Ok(());
            }
            let is_slow = String::from_utf8_lossy(&piece[..count]).contains(SLOW_PATH);
            if is_slow {
                time::sleep(SLOW_ANSWER).await;
            }
            if !is_slow && number < self.silent_below.load(Ordering::SeqCst) {
                continue;
            }
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                .await?;
        }
    }

    /// Silences all connections that it has accepted.
    fn silence_open(&self) {
        let accepted = self.accepted();
        self.silent_below.store(accepted, Ordering::SeqCst);
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

fn new_pool() -> ConnectionPool {
    ConnectionPool::new(ample_timeouts())
}

/// Makes one call; returns whether it was answered.
async fn call(pool: &ConnectionPool, address: SocketAddr, path: &str) -> bool {
    let key = ConnectionKey::from("store");
    let request = Request::get(path).body(Full::new(Bytes::new())).unwrap();
    let Ok((response, connection)) = pool.send(&key, address, request, &[]).await else {
        return false;
    };
    response.into_body().collect().await.unwrap();
    pool.keep(&key, connection, Some(Duration::from_secs(30)));
    true
}

async fn call_in_time(pool: &ConnectionPool, address: SocketAddr) -> bool {
    let calling = time::timeout(CALL_LIMIT, call(pool, address, "/"));
    calling.await.unwrap_or(false)
}

/// Leaves idle connections in the pool.
async fn open_connections(pool: &Arc<ConnectionPool>, address: SocketAddr) {
    let mut calls = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let pool = pool.clone();
        calls.spawn(async move { call(&pool, address, SLOW_PATH).await });
    }
    assert!(calls.join_all().await.iter().all(|answered| *answered));
}

/// Guards against one timeout for each idle connection after all of them have gone silent.
#[tokio::test]
async fn one_silent_call_ends_the_use_of_the_connections_that_were_idle_before_it() {
    let server = SilentServer::default();
    let address = server.start().await;
    let pool = Arc::new(new_pool().with_idle_doubts());
    open_connections(&pool, address).await;
    server.silence_open();
    assert!(!call_in_time(&pool, address).await);
    assert!(call_in_time(&pool, address).await);
    assert_eq!(server.accepted(), CONNECTIONS + 1);
}

/// Guards against new connections in place of those that have answered while a call was silent.
#[tokio::test]
async fn a_connection_that_delivers_an_answer_during_a_silent_call_stays_in_use() {
    let server = SilentServer::default();
    let address = server.start().await;
    let pool = Arc::new(new_pool().with_idle_doubts());
    open_connections(&pool, address).await;
    let slow = tokio::spawn({
        let pool = pool.clone();
        async move { call(&pool, address, SLOW_PATH).await }
    });
    time::sleep(SLOW_ANSWER - CALL_LIMIT / 2).await;
    server.silence_open();
    assert!(!call_in_time(&pool, address).await);
    assert!(slow.await.unwrap());
    server.silent_below.store(0, Ordering::SeqCst);
    assert!(call_in_time(&pool, address).await);
    assert_eq!(server.accepted(), CONNECTIONS);
}

/// Guards against closing connections to upstreams whenever a call is given up, as those that lose a race are.
#[tokio::test]
async fn connections_are_kept_where_calls_are_given_up_for_other_reasons() {
    let server = SilentServer::default();
    let address = server.start().await;
    let pool = Arc::new(new_pool());
    open_connections(&pool, address).await;
    server.silence_open();
    assert!(!call_in_time(&pool, address).await);
    server.silent_below.store(0, Ordering::SeqCst);
    assert!(call_in_time(&pool, address).await);
    assert_eq!(server.accepted(), CONNECTIONS);
}
