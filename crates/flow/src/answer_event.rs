//! What the door is told of an answer.

use {crate::flow_failure::FlowFailure, engine::wire::TokenUsage, std::sync::Arc};

/// One step of an answer, in order. [`AnswerEvent::Done`] and [`AnswerEvent::Failed`] are last.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// The answer is whole.
    Done {
        /// Token counts, if the engine gave them.
        usage: Option<TokenUsage>,
    },
    /// There is no whole answer.
    Failed(FlowFailure),
    /// The answer starts again from its first token. Only for answers that are sent whole.
    Restarted,
    /// One token.
    Token {
        /// Set on the last token.
        finish_reason: Option<Arc<str>>,
        /// Its text.
        text: Arc<str>,
    },
}
