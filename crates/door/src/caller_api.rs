//! The bodies that callers send and get, in the form of OpenAI's completions and chat.

use {
    engine::wire::TokenUsage,
    kernel::ModelId,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The tokens of an answer when the caller names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of `POST /v1/completions`. Fields that the engines don't take are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// The most tokens wanted.
    pub max_tokens: Option<u32>,
    /// The model; it has to be the row's, or absent.
    pub model: Option<ModelId>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// The text.
    pub content: Arc<str>,
    /// Who says it.
    pub role: Arc<str>,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The newer name of `max_tokens`.
    pub max_completion_tokens: Option<u32>,
    /// The most tokens wanted.
    pub max_tokens: Option<u32>,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// The model; it has to be the row's, or absent.
    pub model: Option<ModelId>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatBody {
    /// The chat as one prompt: a line `role: content` for each message, then the assistant's turn.
    pub fn prompt(&self) -> Arc<str> {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt.push_str("assistant:");
        prompt.into()
    }
}

/// Token counts as callers get them.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UsageObject {
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Tokens read.
    pub prompt_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

impl From<&TokenUsage> for UsageObject {
    fn from(usage: &TokenUsage) -> Self {
        Self {
            completion_tokens: usage.completion_tokens,
            prompt_tokens: usage.prompt_tokens,
            total_tokens: usage.completion_tokens.saturating_add(usage.prompt_tokens),
        }
    }
}
