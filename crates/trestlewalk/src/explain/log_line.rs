//! One line of a log.

use {
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// A log line as `relay` writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// The fields that depend on the message.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
    /// The text of the message.
    pub message: String,
    /// The wall-clock time at the instance; the clocks of two instances may differ by seconds.
    pub timestamp: String,
}

impl LogLine {
    /// The number of the result code; `None` when the line has none.
    pub fn code(&self) -> Option<u64> {
        self.fields.get("code").and_then(Value::as_u64)
    }

    /// A field as text; empty when the line does not have it.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Parses a line; `None` when it is not a log line. A prefix before the JSON, such as a host name, is skipped.
    pub fn read(text: &[u8]) -> Option<Self> {
        let start = text.iter().position(|byte| *byte == b'{')?;
        serde_json::from_slice(&text[start..]).ok()
    }
}
