//! How the connections to an upstream end.

mod support;

use {
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    relay::{ConnectionKey, ConnectionPool},
    std::{
        io::{self, ErrorKind},
        net::SocketAddr,
        time::Duration,
    },
    support::ample_timeouts,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc::{self, UnboundedReceiver},
        time,
    },
};

const CALL_LIMIT: Duration = Duration::from_millis(200);
/// Longer than the buffers of a connection.
const LARGE_BODY: usize = 16 << 20;

/// What the server does once it has read the head of a call.
#[derive(Clone, Copy, Debug)]
enum ServerAct {
    Answer,
    /// The head of an answer, and a part of its body.
    AnswerInPart,
    Ignore,
    /// It reads nothing more for longer than the call lasts.
    Stall,
}

/// How a connection ended at the server, which has read `bytes` of it.
#[derive(Debug)]
struct ConnectionEnd {
    bytes: usize,
    result: io::Result<()>,
}

impl ConnectionEnd {
    fn is_reset(&self) -> bool {
        let error = self.result.as_ref().err();
        error.is_some_and(|error| error.kind() == ErrorKind::ConnectionReset)
    }
}

async fn serve(mut stream: TcpStream, act: ServerAct) -> ConnectionEnd {
    let mut piece = vec![0; 64 << 10];
    let mut bytes = stream.read(&mut piece).await.unwrap();
    let answer: &[u8] = match act {
        ServerAct::Answer => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        ServerAct::AnswerInPart => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        ServerAct::Ignore | ServerAct::Stall => b"",
    };
    stream.write_all(answer).await.unwrap();
    if matches!(act, ServerAct::Stall) {
        time::sleep(3 * CALL_LIMIT).await;
    }
    loop {
        match stream.read(&mut piece).await {
            Ok(0) => {
                break ConnectionEnd {
                    bytes,
                    result: Ok(()),
                };
            }
            Ok(count) => {
                bytes += count;
                if matches!(act, ServerAct::Answer) {
                    stream.write_all(answer).await.unwrap();
                }
            }
            Err(error) => {
                let result = Err(error);
                break ConnectionEnd { bytes, result };
            }
        }
    }
}

async fn start_server(act: ServerAct) -> (SocketAddr, UnboundedReceiver<ConnectionEnd>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, ends) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move { sender.send(serve(stream, act).await) });
        }
    });
    (address, ends)
}

/// Makes one call, and gives it up after its limit.
async fn call(pool: &ConnectionPool, address: SocketAddr, body_bytes: usize) {
    let key = ConnectionKey::from("upstream");
    let request = Request::post("/")
        .body(Full::new(Bytes::from(vec![b'a'; body_bytes])))
        .unwrap();
    let calling = async {
        let sent = pool.send(&key, address, request, &[]).await;
        let (response, connection) = sent.unwrap();
        if response.into_body().collect().await.is_ok() {
            pool.keep(&key, connection, None);
        }
    };
    // Some of the calls have no end.
    let _ = time::timeout(CALL_LIMIT, calling).await;
}

fn new_pool() -> ConnectionPool {
    ConnectionPool::new(ample_timeouts())
}

/// Guards against calls that arrive long after they were given up: an ordinary close delivers what was written, the end of
/// a cut included.
#[tokio::test]
async fn a_call_that_is_given_up_resets_its_connection() {
    for act in [ServerAct::AnswerInPart, ServerAct::Ignore] {
        let (address, mut ends) = start_server(act).await;
        call(&new_pool(), address, 20).await;
        let end = ends.recv().await.unwrap();
        assert!(end.is_reset(), "{act:?}: {end:?}");
    }
}

/// Guards against the rest of an upload that arrives after its call was given up.
#[tokio::test]
async fn what_was_not_delivered_of_a_call_that_is_given_up_is_lost() {
    let (address, mut ends) = start_server(ServerAct::Stall).await;
    call(&new_pool(), address, LARGE_BODY).await;
    let end = ends.recv().await.unwrap();
    assert!(end.is_reset(), "{end:?}");
    assert!(end.bytes < LARGE_BODY, "{end:?}");
}

/// Guards against resets of connections that no call uses.
#[tokio::test]
async fn an_idle_connection_is_closed_in_order() {
    let (address, mut ends) = start_server(ServerAct::Answer).await;
    let pool = new_pool();
    call(&pool, address, 20).await;
    call(&pool, address, 20).await;
    drop(pool);
    let end = ends.recv().await.unwrap();
    assert!(end.result.is_ok(), "{end:?}");
    assert!(ends.try_recv().is_err());
}
