//! `trestlewalk ticket use`.

use {
    super::ticket_call::{BODY_TYPE, send_call},
    crate::{RunError, client::ClientRequest, run_error::ReadFileSnafu, text_output::print_bytes},
    clap::Args,
    door::work_header::WORK_HEADER,
    hyper::{
        Method,
        body::Bytes,
        header::{CONTENT_TYPE, HeaderName},
    },
    snafu::ResultExt,
    std::{
        fs,
        io::{self, Read},
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

const STANDARD_STREAM: &str = "-";
const TICKET_HEADER: HeaderName = HeaderName::from_static("trestlewalk-ticket");

/// The arguments of `ticket use`.
#[derive(Args, Debug)]
pub struct UseCommand {
    /// The callers' address of any instance, `IP:port`.
    pub address: SocketAddr,
    /// The file with the body of the request, `-` for standard input; no body without it.
    #[arg(long, value_name = "FILE")]
    pub body: Option<PathBuf>,
    /// The path of the request.
    #[arg(default_value = "/v1/completions", long)]
    pub path: String,
    /// The ticket, as `ticket mint` printed it.
    #[arg(long)]
    pub ticket: String,
    /// The timeout of the answer.
    #[arg(default_value = "5min", long, value_name = "DURATION", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
    /// The kind of work.
    #[arg(long)]
    pub work: Option<String>,
}

impl UseCommand {
    /// Sends the request with POST and prints the body of its answer.
    ///
    /// # Errors
    ///
    /// The body can't be read, no complete answer came, or one with another result code than 1000.
    pub fn run(self) -> Result<(), RunError> {
        let body = match &self.body {
            Some(path) => read_body(path).context(ReadFileSnafu { path })?,
            None => Vec::new(),
        };
        let mut headers: Vec<(HeaderName, Arc<str>)> = vec![
            (CONTENT_TYPE, Arc::from(BODY_TYPE)),
            (TICKET_HEADER, Arc::from(self.ticket)),
        ];
        if let Some(work) = self.work {
            headers.push((WORK_HEADER, Arc::from(work)));
        }
        let call = ClientRequest::builder()
            .address(self.address)
            .body(Bytes::from(body))
            .headers(headers)
            .limit(self.timeout)
            .method(Method::POST)
            .path(self.path)
            .build();
        let reply = send_call(call)?;
        print_bytes(&reply.body)
    }
}

fn read_body(path: &Path) -> io::Result<Vec<u8>> {
    if path != Path::new(STANDARD_STREAM) {
        return fs::read(path);
    }
    let mut body = Vec::new();
    io::stdin().read_to_end(&mut body)?;
    Ok(body)
}
