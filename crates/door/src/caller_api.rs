//! Request bodies and usage counts of OpenAI's completions and chat completions APIs.

use {
    engine::wire::TokenUsage,
    kernel::ModelId,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The token limit of an answer if the caller does not set one.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of `POST /v1/completions`. Fields that the engines don't support are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// The maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// The model. If present, it must match the model of the row.
    pub model: Option<ModelId>,
    /// The prompt, which must not be empty.
    pub prompt: Arc<str>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// The text of the message.
    pub content: Arc<str>,
    /// The author, such as `user` or `assistant`.
    pub role: Arc<str>,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The newer name of `max_tokens`, which it overrides.
    pub max_completion_tokens: Option<u32>,
    /// The maximum number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// The conversation so far, which must not be empty.
    pub messages: Vec<ChatMessage>,
    /// The model. If present, it must match the model of the row.
    pub model: Option<ModelId>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatBody {
    /// Renders the chat as one prompt: a line `role: content` for each message, then `assistant:`.
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

/// The token counts in an answer to a caller.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UsageObject {
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// The sum of both counts.
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
