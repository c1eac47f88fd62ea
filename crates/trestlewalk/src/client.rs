//! The HTTP client of the subcommands that talk to a running instance.

pub mod client_error;
pub mod client_reply;
pub mod client_request;
pub mod http_client;

pub use {
    client_error::ClientError, client_reply::ClientReply, client_request::ClientRequest,
    http_client::HttpClient,
};
