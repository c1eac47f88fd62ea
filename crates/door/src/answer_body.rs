//! The JSON bodies of completion and chat answers, complete or as chunks of a stream.

use {crate::caller_api::UsageObject, kernel::ModelId, serde::Serialize, std::sync::Arc};

/// The API whose response format an answer uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStyle {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// The fields that all bodies of one answer share.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// When the answer was started, in Unix seconds.
    pub created: u64,
    /// The `id` field, unique to the answer.
    pub id: Arc<str>,
    /// The model that generates the answer.
    pub model: ModelId,
    /// The response format.
    pub style: AnswerStyle,
}

#[derive(Serialize)]
struct AnswerObject<'a, C> {
    choices: [C; 1],
    created: u64,
    id: &'a str,
    model: &'a str,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageObject>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    finish_reason: Option<&'a str>,
    index: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct ChatText<'a> {
    content: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
}

#[derive(Serialize)]
struct DeltaChoice<'a> {
    delta: ChatText<'a>,
    finish_reason: Option<&'a str>,
    index: u32,
}

#[derive(Serialize)]
struct MessageChoice<'a> {
    finish_reason: Option<&'a str>,
    index: u32,
    message: ChatText<'a>,
}

const ASSISTANT: &str = "assistant";

impl AnswerHead {
    /// Serialises one chunk of a stream. Only the first chunk of a chat carries the role.
    pub fn chunk(&self, text: &str, finish_reason: Option<&str>, is_first: bool) -> Vec<u8> {
        match self.style {
            AnswerStyle::Chat => {
                let role = is_first.then_some(ASSISTANT);
                let delta = ChatText {
                    content: text,
                    role,
                };
                let choice = DeltaChoice {
                    delta,
                    finish_reason,
                    index: 0,
                };
                self.object("chat.completion.chunk", choice, None)
            }
            AnswerStyle::Completion => self.object(
                "text_completion",
                TextChoice {
                    finish_reason,
                    index: 0,
                    text,
                },
                None,
            ),
        }
    }

    /// Serialises the complete answer.
    pub fn whole(
        &self,
        text: &str,
        finish_reason: Option<&str>,
        usage: Option<UsageObject>,
    ) -> Vec<u8> {
        match self.style {
            AnswerStyle::Chat => {
                let message = ChatText {
                    content: text,
                    role: Some(ASSISTANT),
                };
                let choice = MessageChoice {
                    finish_reason,
                    index: 0,
                    message,
                };
                self.object("chat.completion", choice, usage)
            }
            AnswerStyle::Completion => self.object(
                "text_completion",
                TextChoice {
                    finish_reason,
                    index: 0,
                    text,
                },
                usage,
            ),
        }
    }

    fn object<C: Serialize>(
        &self,
        object: &'static str,
        choice: C,
        usage: Option<UsageObject>,
    ) -> Vec<u8> {
        let answer = AnswerObject {
            choices: [choice],
            created: self.created,
            id: &self.id,
            model: &self.model,
            object,
            usage,
        };
        // Strings and numbers always serialise to JSON.
        serde_json::to_vec(&answer).unwrap_or_default()
    }
}
