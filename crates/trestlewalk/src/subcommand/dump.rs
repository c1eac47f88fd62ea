//! `trestlewalk dump`.

use {
    crate::{
        RunError,
        client::{ClientError, ClientReply, ClientRequest, HttpClient},
        run_error::{DumpFailedSnafu, RuntimeSnafu},
        text_output::print_line,
    },
    clap::Args,
    serde_json::Value,
    snafu::ResultExt,
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Runtime,
};

const DUMP_PATH: &str = "/dump";

/// The arguments of `dump`.
#[derive(Args, Debug)]
pub struct DumpCommand {
    /// The admin address of the instance, `IP:port`.
    pub address: SocketAddr,
    /// The timeout of the whole dump.
    #[arg(default_value = "10s", long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

impl DumpCommand {
    /// Fetches the state of an instance and prints it as JSON.
    ///
    /// # Errors
    ///
    /// The instance does not answer with a dump.
    pub fn run(self) -> Result<(), RunError> {
        let runtime = Runtime::new().context(RuntimeSnafu)?;
        let call = ClientRequest::builder()
            .address(self.address)
            .limit(self.timeout)
            .path(DUMP_PATH)
            .build();
        let outcome = runtime.block_on(HttpClient::new().send(call));
        let dump = read_dump(outcome).map_err(|detail| {
            DumpFailedSnafu {
                address: self.address,
                detail,
            }
            .build()
        })?;
        print_line(&format!("{dump:#}"))
    }
}

fn read_dump(outcome: Result<ClientReply, ClientError>) -> Result<Value, String> {
    let reply = outcome.map_err(|error| error.to_string())?;
    if !reply.status.is_success() {
        return Err(format!("it answered with status {}", reply.status.as_u16()));
    }
    serde_json::from_slice(&reply.body).map_err(|error| format!("its answer is not JSON: {error}"))
}
