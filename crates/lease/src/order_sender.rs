//! How orders reach upstreams.

use {
    engine::wire::EngineOrder,
    kernel::{FencingToken, UpstreamId},
    std::future::Future,
};

/// What an upstream says to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It is carried out, all its effects included.
    Done,
    /// It was refused: the upstream has seen this greater fencing number.
    Fenced(FencingToken),
    /// It was refused for another reason, and has no effect.
    Refused,
    /// No answer: it may take effect yet, for as long as the longest order.
    Unknown,
}

/// Sends orders to upstreams.
pub trait OrderSender: Send + Sync {
    /// Sends one order, once. It returns when the order is carried out, refused, or given up.
    fn send_order(
        &self,
        upstream: &UpstreamId,
        order: &EngineOrder,
    ) -> impl Future<Output = OrderReply> + Send;
}
