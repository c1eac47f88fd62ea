//! Errors of the stand-in processes.

use {snafu::Snafu, std::net::SocketAddr};

/// Error that prevents a stand-in from starting or from waiting for its shutdown.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FakeError {
    /// The listener cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signal {
        /// Underlying I/O error.
        source: std::io::Error,
    },
}
