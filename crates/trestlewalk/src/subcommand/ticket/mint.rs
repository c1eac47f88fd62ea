//! `trestlewalk ticket mint`.

use {
    super::ticket_call::send_call,
    crate::{
        RunError, client::ClientRequest, run_error::RequestFailedSnafu, text_output::print_line,
    },
    clap::Args,
    door::work_header::WORK_HEADER,
    hyper::Method,
    kernel::{ResultCode, WorkId},
    serde::Deserialize,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const TICKETS_PATH: &str = "/v1/tickets";

/// The arguments of `ticket mint`.
#[derive(Args, Debug)]
pub struct MintCommand {
    /// The callers' address of any instance, `IP:port`.
    pub address: SocketAddr,
    /// How long the answer may take.
    #[arg(default_value = "10s", long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
    /// The kind of work that the ticket is for.
    #[arg(long)]
    pub work: Option<String>,
}

/// What `POST /v1/tickets` answers.
#[derive(Debug, Deserialize)]
struct MintReply {
    ticket: Arc<str>,
}

impl MintCommand {
    /// Mints a ticket and prints it.
    ///
    /// # Errors
    ///
    /// No instance answers with a ticket.
    pub fn run(self) -> Result<(), RunError> {
        let work = self.work.map(WorkId::from);
        let call = ClientRequest::builder()
            .address(self.address)
            .headers(work.map(|work| (WORK_HEADER, work)).into_iter().collect())
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
