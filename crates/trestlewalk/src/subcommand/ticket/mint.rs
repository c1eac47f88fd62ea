//! `trestlewalk ticket mint`.

use {
    super::ticket_call::{BODY_TYPE, send_call},
    crate::{
        RunError, client::ClientRequest, run_error::RequestFailedSnafu, text_output::print_line,
    },
    clap::Args,
    hyper::{Method, body::Bytes, header::CONTENT_TYPE},
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
    serde_json::json,
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const TICKETS_PATH: &str = "/v1/tickets";

/// The arguments of `ticket mint`.
#[derive(Args, Debug)]
pub struct MintCommand {
    /// The callers' address of any instance, `IP:port`.
    pub address: SocketAddr,
    /// The lifetime of the ticket; without it the instance decides.
    #[arg(long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub expires: Option<Duration>,
    /// The timeout of the answer.
    #[arg(default_value = "10s", long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// The body of `POST /v1/tickets`.
#[serde_as]
#[derive(Debug, Serialize)]
struct MintBody {
    #[serde(rename = "expires_in_ms", skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    expires: Option<Duration>,
}

/// The answer of `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
struct MintReply {
    ticket: Arc<str>,
}

impl MintCommand {
    /// Mints a ticket and prints it.
    ///
    /// # Errors
    ///
    /// The instance does not answer with a ticket.
    pub fn run(self) -> Result<(), RunError> {
        let body = MintBody {
            expires: self.expires,
        };
        let call = ClientRequest::builder()
            .address(self.address)
            .body(Bytes::from(json!(body).to_string()))
            .headers(vec![(CONTENT_TYPE, Arc::from(BODY_TYPE))])
            .limit(self.timeout)
            .method(Method::POST)
            .path(TICKETS_PATH)
            .build();
        let reply = send_call(call)?;
        let Ok(minted) = serde_json::from_slice::<MintReply>(&reply.body) else {
            return RequestFailedSnafu {
                code: ResultCode::UpstreamGarbled,
                detail: format!("the answer has no ticket: {}", reply.text()),
            }
            .fail();
        };
        print_line(&minted.ticket)
    }
}
