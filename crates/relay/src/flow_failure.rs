//! Why a request was not served by the upstreams that this instance called.

use crate::ErrorResponse;

/// The response to the caller, and whether another instance may try.
#[derive(Clone, Copy, Debug)]
pub struct FlowFailure {
    /// The response.
    pub error: ErrorResponse,
    /// How often the request may have run, if another instance may serve it: the upstreams could not be reached, and
    /// nothing speaks against a further run. `None` otherwise.
    pub runs_if_unreachable: Option<u32>,
}

impl From<ErrorResponse> for FlowFailure {
    fn from(error: ErrorResponse) -> Self {
        Self {
            error,
            runs_if_unreachable: None,
        }
    }
}
