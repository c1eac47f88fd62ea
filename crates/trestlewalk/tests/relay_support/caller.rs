//! A caller that speaks the platform's protocol.

use {
    super::wire_text::{WireMessage, read_body, read_head},
    crate::support::wait::wait_for,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::atomic::{AtomicU64, Ordering},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpSocket, TcpStream},
    },
};

const SLOW_BUFFER_BYTES: u32 = 4 << 10;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An answer as received.
#[derive(Clone, Debug, Default)]
pub struct CallerReply {
    pub message: WireMessage,
    /// Whether the body has the length that its head states.
    pub whole: bool,
}

impl CallerReply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.message.header(name)
    }

    /// 0 when the connection ended without an answer.
    pub fn status(&self) -> u16 {
        self.message.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.message.body).into_owned()
    }
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    rest: Vec<u8>,
    stream: TcpStream,
}

/// A request id that is unique in the process.
pub fn fresh_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// A request with the usual headers.
pub fn request_text(method: &str, path: &str, id: &str, more: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n{more}{length}\r\n{body}"
    )
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::connect_from(Ipv4Addr::LOCALHOST, address).await
    }

    /// Connects to a server that may be down.
    pub async fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            rest: Vec::new(),
            stream,
        })
    }

    /// Connects from a local address.
    pub async fn connect_from(own: Ipv4Addr, address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((own, 0).into()).unwrap();
        let stream = socket.connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            rest: Vec::new(),
            stream,
        }
    }

    /// Connects with a small receive buffer, so that what the caller does not read stays at the server.
    pub async fn connect_slow(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).unwrap();
        let stream = socket.connect(address).await.unwrap();
        Self {
            rest: Vec::new(),
            stream,
        }
    }

    pub async fn write(&mut self, text: &str) {
        // A server that refuses a request may close the connection before it has read all of it.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Reads one answer; its status is 0 when the connection ends instead.
    pub async fn read(&mut self) -> CallerReply {
        wait_for("an answer", async {
            let Some(mut message) = read_head(&mut self.stream, &mut self.rest).await else {
                return CallerReply::default();
            };
            let whole = read_body(&mut self.stream, &mut self.rest, &mut message).await;
            CallerReply { message, whole }
        })
        .await
    }

    /// Reads only the head of an answer.
    pub async fn read_head(&mut self) -> Option<WireMessage> {
        wait_for("a head", read_head(&mut self.stream, &mut self.rest)).await
    }

    /// Whether the server closes the connection without sending anything.
    pub async fn ends(&mut self) -> bool {
        let head = read_head(&mut self.stream, &mut self.rest);
        wait_for("the end of a connection", head).await.is_none()
    }
}
