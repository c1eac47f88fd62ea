//! Why an order was not carried out.

use {kernel::FencingToken, kernel::UpstreamId, snafu::Snafu, std::time::Duration};

/// An error of this crate.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum LeaseError {
    /// Another holder has a greater fencing number.
    #[snafu(display(
        "{upstream} refused fencing number {fence}: it has seen {seen}; another instance gives the orders now"
    ))]
    FenceRefused {
        /// The number of the order.
        fence: FencingToken,
        /// The greatest number that the upstream has seen.
        seen: FencingToken,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This instance does not hold the lease, or not any more.
    #[snafu(display("this instance does not hold the lease for orders to {upstream}"))]
    LeaseLost {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Nobody knows whether the order took effect.
    #[snafu(display("{upstream} gave no answer to an order, which may have taken effect"))]
    OutcomeUnknown {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An earlier order may still be at work.
    #[snafu(display("an earlier order to {upstream} may still be at work for {wait:?}"))]
    TooEarly {
        /// The upstream.
        upstream: UpstreamId,
        /// How long to wait.
        wait: Duration,
    },
}
