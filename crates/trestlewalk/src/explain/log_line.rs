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
    /// What happened.
    pub message: String,
    /// The time of day at the instance; clocks of two instances may differ by seconds.
    pub timestamp: String,
}

impl LogLine {
    /// The result code.
    pub fn code(&self) -> Option<u64> {
        self.fields.get("code").and_then(Value::as_u64)
    }

    /// A field as text; empty when it is not there.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }

    /// Reads a line; none when it is no log line. What stands before the JSON, such as a host's name, is passed over.
    pub fn read(text: &[u8]) -> Option<Self> {
        let start = text.iter().position(|byte| *byte == b'{')?;
        serde_json::from_slice(&text[start..]).ok()
    }
}
