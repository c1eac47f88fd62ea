//! Answers of an upstream in trouble that have no end, in pieces of any size.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, time},
};

/// The least that is written of a body in chunks.
const SMALLEST_WRITE: usize = 4 << 10;

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// A body with neither a length nor chunks.
    Body,
    /// A body in chunks, each of the size of a piece.
    Chunks,
    /// One event of a stream, in chunks.
    Event,
    /// The events of a stream, a chunk each.
    Events,
    /// The body of a failure, in chunks.
    Failure,
    /// The header lines of a head.
    Head,
    /// Bytes that are no answer.
    Noise,
    /// The body of an answer that names no request, in chunks. Engines give it to reservations.
    Unnamed,
    /// Interim answers before the final one.
    Interim,
    /// The value of one header.
    Value,
}

/// An answer without end, sent in pieces of so many bytes until the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndlessAnswer {
    pub part: EndlessPart,
    /// The pause before each piece but the first few.
    pub pause: Duration,
    pub piece: usize,
}

/// What became of the answers without end of one upstream. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct EndlessRecord {
    /// How many connections were closed.
    pub closed: Arc<AtomicUsize>,
    /// How many answers were begun.
    pub begun: Arc<AtomicUsize>,
    /// The most bytes of one answer that its connection took.
    pub most_bytes: Arc<AtomicU64>,
}

impl EndlessAnswer {
    pub fn new(part: EndlessPart, piece: usize) -> Self {
        Self {
            part,
            pause: Duration::ZERO,
            piece,
        }
    }

    /// Sends the answer until the connection is closed.
    pub async fn send(self, stream: &mut TcpStream, id: &str, record: &EndlessRecord) {
        record.begun.fetch_add(1, Ordering::Relaxed);
        let mut taken = 0;
        let filler = self.filler();
        let begin = self.begin(id).into_bytes();
        let mut pieces = std::iter::once(&begin[..]).chain(filler.chunks(self.written()).cycle());
        while let Some(piece) = pieces.next()
            && stream.write_all(piece).await.is_ok()
        {
            taken += piece.len() as u64;
            if !self.pause.is_zero() {
                time::sleep(self.pause).await;
            }
        }
        record.most_bytes.fetch_max(taken, Ordering::Relaxed);
        record.closed.fetch_add(1, Ordering::Relaxed);
    }

    /// What comes before the part without end.
    fn begin(&self, id: &str) -> String {
        let named = format!("X-Request-Id: {id}\r\nX-Response-Signature: sig\r\n");
        let head = format!("HTTP/1.1 200 OK\r\n{named}");
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self.part {
            EndlessPart::Body => format!("{head}\r\n"),
            EndlessPart::Chunks | EndlessPart::Event | EndlessPart::Events => {
                format!("{head}{chunked}")
            }
            EndlessPart::Failure => format!("HTTP/1.1 500 Failed\r\n{named}{chunked}"),
            EndlessPart::Head => head,
            EndlessPart::Noise | EndlessPart::Interim => String::new(),
            EndlessPart::Unnamed => format!("HTTP/1.1 200 OK\r\n{chunked}"),
            EndlessPart::Value => format!("{head}X-Filler: "),
        }
    }

    /// How many bytes are written at a time. Chunks are written as one, so that small ones cost the upstream little.
    fn written(&self) -> usize {
        match self.part {
            EndlessPart::Chunks
            | EndlessPart::Event
            | EndlessPart::Events
            | EndlessPart::Failure
            | EndlessPart::Unnamed
                if self.pause.is_zero() =>
            {
                self.piece.max(SMALLEST_WRITE)
            }
            _ => self.piece,
        }
    }

    /// What is sent again and again.
    fn filler(&self) -> Vec<u8> {
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        let text = match self.part {
            EndlessPart::Body | EndlessPart::Noise | EndlessPart::Value => "x".to_owned(),
            EndlessPart::Chunks
            | EndlessPart::Event
            | EndlessPart::Failure
            | EndlessPart::Unnamed => chunk(&"x".repeat(self.piece)),
            EndlessPart::Events => chunk(&format!("id: 7\ndata: {}\n\n", "x".repeat(self.piece))),
            EndlessPart::Head => "X-Filler: more\r\n".to_owned(),
            EndlessPart::Interim => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        };
        // A whole number of texts, at least as long as one write.
        let count = self.written().max(SMALLEST_WRITE).div_ceil(text.len());
        text.repeat(count).into_bytes()
    }
}
