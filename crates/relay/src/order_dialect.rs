//! How engines are ordered to change, and asked about it.

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    kernel::FencingToken,
    lease::OrderReply,
    policy::{UpstreamRecord, UpstreamStage},
};

/// What an engine says of its orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderState {
    /// Whether an order is at work.
    pub is_busy: bool,
    /// How many orders it has accepted in its life. An order names it, so that one which arrives late is refused.
    pub count: u64,
}

/// An order to change the stage.
#[derive(Clone, Copy, Debug)]
pub struct StageOrder<'a> {
    /// The count that the engine has to have.
    pub expected: u64,
    /// The fencing number.
    pub fence: FencingToken,
    /// The life of the process that gives the order.
    pub holder: &'a str,
    /// The new stage.
    pub stage: UpstreamStage,
    /// The engine.
    pub upstream: &'a UpstreamRecord,
}

/// How engines are ordered to change, and asked about it.
pub trait OrderDialect: Send + Sync + 'static {
    /// The call that orders a change.
    fn order_call(&self, order: &StageOrder<'_>) -> Request<Full<Bytes>>;

    /// What an answer to an order says.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// The call that asks an engine about its orders.
    fn state_call(&self, upstream: &UpstreamRecord) -> Request<Full<Bytes>>;

    /// Reads the answer; none when it can't be read.
    fn state_reply(&self, body: &[u8]) -> Option<OrderState>;
}
