//! Events of an answer, as delivered to the caller's connection.

use {crate::flow_failure::FlowFailure, engine::wire::TokenUsage, std::sync::Arc};

/// One event of an answer, in order. [`AnswerEvent::Done`] and [`AnswerEvent::Failed`] end the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// The answer is complete.
    Done {
        /// Token counts; `None` if the engine reported none.
        usage: Option<TokenUsage>,
    },
    /// No complete answer is available.
    Failed(FlowFailure),
    /// The answer starts again from its first token. Sent only for answers that are delivered as a whole.
    Restarted,
    /// One token of the answer.
    Token {
        /// Set on the last token only.
        finish_reason: Option<Arc<str>>,
        /// The text of the token.
        text: Arc<str>,
    },
}
