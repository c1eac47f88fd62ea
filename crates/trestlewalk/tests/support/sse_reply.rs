//! A streamed answer, read event by event.

use {
    super::{http_call::result_code, wait::wait_for},
    http_body_util::BodyExt,
    hyper::{Response, StatusCode, body::Incoming, header::HeaderMap},
};

const DATA_PREFIX: &str = "data:";
const EVENT_END: &str = "\n\n";

/// An answer of server-sent events. Dropping it closes the connection.
#[derive(Debug)]
pub struct SseReply {
    body: Incoming,
    /// Whether the body ended before its last chunk.
    pub is_truncated: bool,
    /// The headers.
    pub headers: HeaderMap,
    /// The HTTP status.
    pub status: StatusCode,
    text: String,
}

impl SseReply {
    /// The data of all remaining events.
    pub async fn all_events(&mut self) -> Vec<String> {
        let mut events = Vec::new();
        while let Some(event) = self.next_event().await {
            events.push(event);
        }
        events
    }

    /// The numbered result code; 0 when the header is missing.
    pub fn code(&self) -> u16 {
        result_code(&self.headers)
    }

    /// An answer whose headers have arrived.
    pub fn new(response: Response<Incoming>) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            body,
            is_truncated: false,
            headers: parts.headers,
            status: parts.status,
            text: String::new(),
        }
    }

    /// The data of the next event; `None` at the end of the body, truncated or not.
    pub async fn next_event(&mut self) -> Option<String> {
        loop {
            if let Some(event) = self.take_event() {
                return Some(event);
            }
            let frame = wait_for("the next event", self.body.frame()).await?;
            let Ok(frame) = frame else {
                self.is_truncated = true;
                return None;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.text.push_str(&String::from_utf8_lossy(&data));
        }
    }

    /// Text that was read and is not a complete event.
    pub fn remainder(&self) -> &str {
        &self.text
    }

    fn take_event(&mut self) -> Option<String> {
        loop {
            let end = self.text.find(EVENT_END)?;
            let block: String = self.text.drain(..end + EVENT_END.len()).collect();
            let lines: Vec<&str> = block
                .lines()
                .filter_map(|line| line.strip_prefix(DATA_PREFIX))
                .map(str::trim_start)
                .collect();
            if !lines.is_empty() {
                return Some(lines.join("\n"));
            }
        }
    }
}
