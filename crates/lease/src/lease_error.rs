//! Errors in sending orders under a lease.

use {kernel::FencingToken, kernel::UpstreamId, snafu::Snafu, std::time::Duration};

/// Why an order was not carried out.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum LeaseError {
    /// The upstream has seen a greater fencing token, from another holder.
    #[snafu(display(
        "{upstream} refused fencing token {fence}: it has seen {seen}; another instance gives the orders now"
    ))]
    FenceRefused {
        /// The fencing token of the order.
        fence: FencingToken,
        /// The greatest token that the upstream has seen.
        seen: FencingToken,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// This instance does not hold the lease, or no longer holds it.
    #[snafu(display("this instance does not hold the lease for orders to {upstream}"))]
    LeaseLost {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// It is unknown whether the order took effect.
    #[snafu(display("{upstream} gave no answer to an order, which may have taken effect"))]
    OutcomeUnknown {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An earlier order may still be in progress.
    #[snafu(display("an earlier order to {upstream} may still be in progress for {wait:?}"))]
    TooEarly {
        /// The upstream.
        upstream: UpstreamId,
        /// How long to wait.
        wait: Duration,
    },
}
