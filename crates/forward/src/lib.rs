//! Forwards requests to another instance while this one can't reach the upstreams of their service.
//!
//! [`ForwardClient`] asks a few instances whether they reach the service, opens a session with one of them and passes the
//! answer on as it arrives; [`ForwardServer`] serves what others forward. A request goes over one instance at most. Once it
//! is sent it counts as a call: only the other instance's statement that it did not run lets a further one try.

pub mod answer_pump;
pub mod forward_client;
pub mod forward_error;
pub mod forward_message;
pub mod forward_server;
pub mod forward_session;
pub mod forward_task;
pub mod forwarding;

pub use {
    answer_pump::AnswerPump,
    forward_client::ForwardClient,
    forward_error::ForwardError,
    forward_message::{AnswerHead, FORWARD_TAG, ReachQuery, Refusal, RequestHead, WireHeaders},
    forward_server::ForwardServer,
    forward_session::{ForwardReply, ForwardSession},
    forward_task::{ForwardTask, OpenForward},
    forwarding::Forwarding,
};
