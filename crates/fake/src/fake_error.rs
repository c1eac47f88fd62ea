//! Why a stand-in could not start.

use {snafu::Snafu, std::net::SocketAddr};

/// An error of a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FakeError {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The signal to end can't be waited for.
    #[snafu(display("can't wait for the signal to end: {source}"))]
    Signal {
        /// What the system said.
        source: std::io::Error,
    },
}
