//! Which requests crash the upstream that runs them.

use super::wire_text::WireMessage;

/// What a request that crashes its upstream contains.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashTrigger {
    /// This body.
    Body(String),
    /// A part of the prompt with this id, at any place but the last.
    PromptPart(String),
}

impl CrashTrigger {
    pub fn matches(&self, message: &WireMessage) -> bool {
        match self {
            Self::Body(body) => body.as_bytes() == message.body,
            Self::PromptPart(id) => shared_parts(message).any(|part| part == id),
        }
    }
}

impl From<&str> for CrashTrigger {
    fn from(body: &str) -> Self {
        Self::Body(body.to_owned())
    }
}

/// The ids of the parts of a prompt without the last one.
fn shared_parts(message: &WireMessage) -> impl Iterator<Item = &str> {
    let prefix = message.header("x-prompt-prefix").unwrap_or_default();
    let (shared, _) = prefix.rsplit_once(',').unwrap_or_default();
    let entries = shared.split(',');
    entries.filter_map(|entry| entry.split_once(':').map(|(id, _)| id))
}
