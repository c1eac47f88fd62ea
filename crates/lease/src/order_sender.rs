//! Transport of orders to upstreams.

use {
    engine::wire::EngineOrder,
    kernel::{FencingToken, UpstreamId},
    std::future::Future,
};

/// The reply of an upstream to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The order and all its effects are complete.
    Done,
    /// The order was refused: the upstream has seen this greater fencing token.
    Fenced(FencingToken),
    /// The order was refused for another reason and has no effect.
    Refused,
    /// No answer: the order may still take effect, within the time of the longest order.
    Unknown,
}

/// Sends orders to upstreams.
pub trait OrderSender: Send + Sync {
    /// Sends one order, once. Returns when the order is carried out, refused or abandoned.
    fn send_order(
        &self,
        upstream: &UpstreamId,
        order: &EngineOrder,
    ) -> impl Future<Output = OrderReply> + Send;
}
