//! Hand-written HTTP/1.1, so that a stand-in can send what no library would.

use tokio::io::{AsyncRead, AsyncReadExt};

/// A request or a response as received.
#[derive(Clone, Debug, Default)]
pub struct WireMessage {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    pub start: String,
}

impl WireMessage {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A word of the start line, by index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the stream.
pub async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
) -> Option<WireMessage> {
    let end = loop {
        if let Some(at) = find(rest, b"\r\n\r\n") {
            break at;
        }
        fill(stream, rest).await?;
    };
    let text = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Some(WireMessage {
        body: Vec::new(),
        headers,
        start,
    })
}

/// Reads the body that a head announces; `false` when the stream ends before it is complete.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
    message: &mut WireMessage,
) -> bool {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(stream, rest, message).await;
    }
    let length: usize = match message.header("content-length") {
        Some(length) => length.parse().unwrap(),
        None => 0,
    };
    while rest.len() < length {
        if fill(stream, rest).await.is_none() {
            message.body = std::mem::take(rest);
            return false;
        }
    }
    message.body = rest.drain(..length).collect();
    true
}

async fn read_chunks(
    stream: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
    message: &mut WireMessage,
) -> bool {
    loop {
        let end = loop {
            if let Some(at) = find(rest, b"\r\n") {
                break at;
            }
            if fill(stream, rest).await.is_none() {
                return false;
            }
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).unwrap();
        while rest.len() < end + 2 + size + 2 {
            if fill(stream, rest).await.is_none() {
                return false;
            }
        }
        message
            .body
            .extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

async fn fill(stream: &mut (impl AsyncRead + Unpin), rest: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer).await {
        Ok(count) if count > 0 => {
            rest.extend_from_slice(&buffer[..count]);
            Some(())
        }
        _ => None,
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
