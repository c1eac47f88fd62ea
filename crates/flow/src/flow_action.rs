//! What to do next for one request.

use {
    crate::{cell_notice::CellNotice, flow_failure::FlowFailure},
    kernel::UpstreamId,
    std::time::Duration,
};

/// One action, to be done in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowAction {
    /// Cancel an attempt's stream at this engine, until the engine says so.
    Cancel {
        /// The attempt.
        attempt: u32,
        /// Whether the call that starts the stream got no answer yet: it may reach the engine after the cancel.
        in_flight: bool,
        /// The engine.
        upstream: UpstreamId,
    },
    /// Start the transfer and the generation.
    Decode(UpstreamId),
    /// Tell the caller that there is no answer.
    Fail(FlowFailure),
    /// Tell the caller that the answer is whole.
    Finish,
    /// Tell the allocator.
    Notify(CellNotice),
    /// Start reading.
    Prefill(UpstreamId),
    /// Forget the tokens so far.
    Restart,
    /// Take the stream up again from a token on.
    Resume {
        /// The engine that has the stream.
        decode: UpstreamId,
        /// The first token wanted.
        offset: u32,
        /// How long to wait before.
        pause: Duration,
    },
    /// Queue a further attempt.
    Submit,
}
