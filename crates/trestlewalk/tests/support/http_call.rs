//! One HTTP call to a process.

use {
    super::{sse_reply::SseReply, wait::wait_for},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderMap},
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// The header with the numbered result code.
pub const RESULT_HEADER: &str = "trestlewalk-result";
/// The header that names the kind of work.
pub const WORK_HEADER: &str = "trestlewalk-work";

/// An answer whose body was read to the end.
#[derive(Debug)]
pub struct CallReply {
    /// The body.
    pub body: Bytes,
    /// The headers.
    pub headers: HeaderMap,
    /// The HTTP status.
    pub status: StatusCode,
}

impl CallReply {
    /// The numbered result code; 0 when the header is missing.
    pub fn code(&self) -> u16 {
        result_code(&self.headers)
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        match serde_json::from_slice(&self.body) {
            Ok(value) => value,
            Err(error) => panic!("{error}: {}", self.text()),
        }
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Builds one call. Each call has its own connection, which closes when the answer is read or dropped.
#[derive(Debug)]
#[must_use]
pub struct HttpCall {
    address: SocketAddr,
    body: Bytes,
    headers: Vec<(String, String)>,
    method: Method,
    path: String,
}

impl HttpCall {
    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body as JSON.
    pub fn json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap();
        self.header("content-type", "application/json").body(body)
    }

    /// A call without a body.
    pub fn new(method: Method, address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            body: Bytes::new(),
            headers: Vec::new(),
            method,
            path: path.to_owned(),
        }
    }

    /// Sends the call and reads the whole answer; panics when the call fails.
    pub async fn send(self) -> CallReply {
        let what = format!("{} http://{}{}", self.method, self.address, self.path);
        match self.try_send().await {
            Ok(reply) => reply,
            Err(error) => panic!("{what}: {error}"),
        }
    }

    /// Sends the call and reads the answer event by event.
    pub async fn stream(self) -> SseReply {
        let what = format!("{} http://{}{}", self.method, self.address, self.path);
        match wait_for(&what, self.open()).await {
            Ok(response) => SseReply::new(response),
            Err(error) => panic!("{what}: {error}"),
        }
    }

    /// Sends the call and reads the whole answer. An error that contains `Error(Connect` means that nothing was sent.
    pub async fn try_send(self) -> Result<CallReply, String> {
        let what = format!("{} {}", self.method, self.path);
        wait_for(&what, async {
            let response = self.open().await.map_err(|error| format!("{error:?}"))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| format!("{error:?}"))?;
            Ok(CallReply {
                body: body.to_bytes(),
                headers: parts.headers,
                status: parts.status,
            })
        })
        .await
    }

    /// Sets the header that names the kind of work.
    pub fn work(self, work: &str) -> Self {
        self.header(WORK_HEADER, work)
    }

    async fn open(self) -> Result<Response<Incoming>, Error> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        let mut builder = Request::builder()
            .method(self.method)
            .uri(format!("http://{}{}", self.address, self.path));
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(self.body)).unwrap();
        client.request(request).await
    }
}

/// The numbered result code in headers; 0 when the header is missing.
pub fn result_code(headers: &HeaderMap) -> u16 {
    let Some(value) = headers.get(RESULT_HEADER) else {
        return 0;
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
