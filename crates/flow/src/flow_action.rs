//! Actions requested by the state machine of a request.

use {
    crate::{cell_notice::CellNotice, flow_failure::FlowFailure},
    kernel::UpstreamId,
    std::time::Duration,
};

/// One action. Actions are executed in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowAction {
    /// Cancel an attempt's stream on this engine, repeating the call until the engine confirms it.
    Cancel {
        /// The number of the attempt.
        attempt: u32,
        /// Whether the call that starts the stream is still unanswered. It may reach the engine after the cancellation.
        in_flight: bool,
        /// The engine on which the stream may run.
        upstream: UpstreamId,
    },
    /// Start the transfer and generation on this decode engine.
    Decode(UpstreamId),
    /// Report the failure to the caller.
    Fail(FlowFailure),
    /// Report the complete answer to the caller.
    Finish,
    /// Notify the allocator.
    Notify(CellNotice),
    /// Start prefill on this engine.
    Prefill(UpstreamId),
    /// Discard the tokens received so far.
    Restart,
    /// Resume the stream from a given token.
    Resume {
        /// The engine that runs the stream.
        decode: UpstreamId,
        /// The index of the first token to send.
        offset: u32,
        /// The wait before the call.
        pause: Duration,
    },
    /// Queue another attempt.
    Submit,
}
