//! Sends HTTP calls, each on a connection of its own.

use {
    crate::client::{
        ClientError, ClientReply, ClientRequest,
        client_error::{
            AnswerCutSnafu, BadCallSnafu, ConnectionLostSnafu, NotConnectedSnafu, TimedOutSnafu,
        },
    },
    door::error_answer::RESULT_HEADER,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, body::Bytes},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    kernel::ResultCode,
    snafu::ResultExt,
    std::error::Error,
};

/// Sends calls and reads complete answers.
#[derive(Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps no idle connections.
    pub fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(HttpConnector::new());
        Self { client }
    }

    /// Sends one call and reads the complete answer.
    ///
    /// # Errors
    ///
    /// No complete answer came before the timeout of the call.
    pub async fn send(&self, call: ClientRequest) -> Result<ClientReply, ClientError> {
        let (address, limit) = (call.address, call.limit);
        tokio::time::timeout(limit, self.exchange(call))
            .await
            .unwrap_or_else(|_elapsed| TimedOutSnafu { address, limit }.fail())
    }

    async fn exchange(&self, call: ClientRequest) -> Result<ClientReply, ClientError> {
        let address = call.address;
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path));
        for (name, value) in &call.headers {
            builder = builder.header(name, &**value);
        }
        let request = builder.body(Full::new(call.body)).context(BadCallSnafu)?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error_chain(&error);
            match error.is_connect() {
                true => NotConnectedSnafu { address, detail }.build(),
                false => ConnectionLostSnafu { address, detail }.build(),
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.context(AnswerCutSnafu { address })?;
        Ok(ClientReply {
            body: body.to_bytes(),
            code: result_code(&parts.headers),
            status: parts.status,
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

fn result_code(headers: &HeaderMap) -> Option<ResultCode> {
    let number: u16 = headers.get(RESULT_HEADER)?.to_str().ok()?.parse().ok()?;
    let mut codes = ResultCode::ALL.iter().copied();
    codes.find(|code| code.number() == number)
}
