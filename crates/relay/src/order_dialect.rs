//! The protocol of orders to engines.

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    kernel::FencingToken,
    lease::OrderReply,
    policy::{UpstreamRecord, UpstreamStage},
};

/// What an engine reports about its orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderState {
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// How many orders the engine has accepted since it started. An order names this count, so that a delayed one is
    /// refused.
    pub count: u64,
}

/// An order to change the stage of an engine.
#[derive(Clone, Copy, Debug)]
pub struct StageOrder<'a> {
    /// The count of accepted orders that the engine must have.
    pub expected: u64,
    /// The fencing token of the lease.
    pub fence: FencingToken,
    /// The incarnation of the process that holds the lease.
    pub holder: &'a str,
    /// The new stage.
    pub stage: UpstreamStage,
    /// The engine.
    pub upstream: &'a UpstreamRecord,
}

/// The protocol of orders to engines.
pub trait OrderDialect: Send + Sync + 'static {
    /// Builds the request for an order.
    fn order_call(&self, order: &StageOrder<'_>) -> Request<Full<Bytes>>;

    /// Interprets the status of the answer to an order.
    fn order_reply(&self, status: StatusCode) -> OrderReply;

    /// Builds the request for the state of an engine's orders.
    fn state_call(&self, upstream: &UpstreamRecord) -> Request<Full<Bytes>>;

    /// Parses the answer to [`Self::state_call`]; `None` when it is malformed.
    fn state_reply(&self, body: &[u8]) -> Option<OrderState>;
}
