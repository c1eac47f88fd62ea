//! Which call an answer belongs to.

use {
    crate::RequestId,
    http::{HeaderValue, header::GetAll},
    std::fmt::{self, Display, Formatter},
};

/// Maximum length of the id of another request in the log.
const MAX_LOGGED_CHARS: usize = 64;

/// Which call an answer belongs to, by the request id that it names. Upstreams echo the id of a request, and an answer that
/// they send twice names the request of the first copy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AnswerOwner {
    /// Another request, or several.
    Other(RequestId),
    /// The call that waits for it.
    Own,
    /// It names no request.
    #[default]
    Unnamed,
}

impl AnswerOwner {
    /// The owner of an answer that names `named` and was expected for `request`; `None` for an own call, which has no id.
    /// An answer that names several requests belongs to none of them.
    pub fn new(named: GetAll<'_, HeaderValue>, request: Option<&RequestId>) -> Self {
        let expected = request.map(|id| id.as_bytes());
        let mut named = named.iter().peekable();
        if named.peek().is_none() {
            return Self::Unnamed;
        }
        let Some(other) = named.find(|id| Some(id.as_bytes()) != expected) else {
            return Self::Own;
        };
        let text = String::from_utf8_lossy(other.as_bytes());
        let shown: String = text.chars().take(MAX_LOGGED_CHARS).collect();
        Self::Other(shown.into())
    }

    /// All labels.
    pub const LABELS: [&str; 3] = ["other", "own", "unnamed"];

    /// The label in the metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Other(_) => "other",
            Self::Own => "own",
            Self::Unnamed => "unnamed",
        }
    }
}

/// The owner as a step of a trace states it; empty for the call itself.
impl Display for AnswerOwner {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Other(id) => write!(formatter, " to {id}"),
            Self::Own => Ok(()),
            Self::Unnamed => write!(formatter, " to no request"),
        }
    }
}
