//! The platform over HTTP.

use {
    crate::{
        instance_record::InstanceRecord,
        object_store::ObjectStore,
        plat_error::PlatError,
        query_text::escape,
        row_store::{InstanceList, RowStore, StoredRow, Transaction, TransactionReply},
    },
    bytes::Bytes,
    http::{Method, Request, StatusCode, Uri, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::de::DeserializeOwned,
    std::{error::Error, sync::Arc, time::Duration},
};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The default timeout of a call, including the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The default time that an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the platform's table service, object store and instance list. Clones share their connections.
/// Every call has a timeout. A write is sent only once; the caller decides what to do after a lost reply.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    address: Arc<str>,
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

#[bon::bon]
impl HttpPlatform {
    /// A client of the platform at `address`, such as `http://127.0.0.1:7000`.
    ///
    /// # Errors
    ///
    /// [`PlatError::AddressInvalid`] when the address is not an HTTP URL.
    #[builder]
    pub fn new(
        #[builder(into)] address: Arc<str>,
        #[builder(default = IDLE_TIMEOUT)] idle_timeout: Duration,
        #[builder(default = CALL_TIMEOUT)] timeout: Duration,
    ) -> Result<Self, PlatError> {
        let address: Arc<str> = address.trim_end_matches('/').into();
        check_address(&address)?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_timeout)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self {
            address,
            client,
            timeout,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, PlatError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let request = request.map_err(|error| unreachable(&error))?;
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        let Ok(answer) = answer else {
            let detail = format!("no answer within {:?}", self.timeout);
            return Err(PlatError::Unreachable { detail });
        };
        answer
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, PlatError> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| unreachable(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| unreachable(&*error))?;
        Ok(HttpResponse {
            body: body.to_bytes(),
            status,
        })
    }

    /// Sends a read, and once more if it gets no answer: the pooled connection may have been closed in the
    /// meantime.
    async fn read(&self, path: &str) -> Result<Option<Bytes>, PlatError> {
        let mut answer = self.call(Method::GET, path, Bytes::new()).await;
        if matches!(answer, Err(PlatError::Unreachable { .. })) {
            answer = self.call(Method::GET, path, Bytes::new()).await;
        }
        let answer = answer?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(answer.body)),
            status => Err(refusal(status)),
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, PlatError> {
        match self.read(path).await? {
            Some(body) => decode(&body).map(Some),
            None => Ok(None),
        }
    }

    async fn read_list<T: DeserializeOwned>(&self, path: &str) -> Result<Vec<T>, PlatError> {
        let list = self.read_json(path).await?;
        list.ok_or(PlatError::Refused {
            status: StatusCode::NOT_FOUND.as_u16(),
        })
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<InstanceRecord>, PlatError> {
        self.read_list("/instances").await
    }
}

impl ObjectStore for HttpPlatform {
    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatError> {
        self.read(&format!("/objects/{}", escape(key))).await
    }

    async fn put_object(&self, key: &str, content: Bytes) -> Result<(), PlatError> {
        let path = format!("/objects/{}", escape(key));
        let answer = self.call(Method::PUT, &path, content).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(refusal(answer.status)),
        }
    }
}

impl RowStore for HttpPlatform {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let body = serde_json::to_vec(transaction).map_err(|error| garbled(&error))?;
        let answer = self.call(Method::POST, "/tx", body.into()).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body),
            status => Err(refusal(status)),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        self.read_json(&format!("/rows/{}", escape(key))).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.read_list(&format!("/rows?prefix={}", escape(prefix)))
            .await
    }
}

struct HttpResponse {
    body: Bytes,
    status: StatusCode,
}

fn check_address(address: &str) -> Result<(), PlatError> {
    let invalid = |detail: &str| PlatError::AddressInvalid {
        address: address.to_owned(),
        detail: detail.to_owned(),
    };
    let uri: Uri = address
        .parse()
        .map_err(|error: http::uri::InvalidUri| invalid(&error.to_string()))?;
    if uri.scheme_str() != Some("http") || uri.host().is_none() {
        return Err(invalid("it is not of the form http://IP:port"));
    }
    if uri.path() != "/" || uri.query().is_some() {
        return Err(invalid("it has a path"));
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatError> {
    serde_json::from_slice(body).map_err(|error| garbled(&error))
}

fn garbled(error: &dyn Error) -> PlatError {
    PlatError::Garbled {
        detail: error.to_string(),
    }
}

/// After a server error the call may still have taken effect, so it counts as unreachable rather than refused.
fn refusal(status: StatusCode) -> PlatError {
    if status.is_server_error() {
        let detail = format!("it answered with status {}", status.as_u16());
        return PlatError::Unreachable { detail };
    }
    PlatError::Refused {
        status: status.as_u16(),
    }
}

/// Joins the whole chain of causes into one line, since the connector's message does not contain its cause.
fn unreachable(error: &dyn Error) -> PlatError {
    let mut detail = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        detail.push_str(": ");
        detail.push_str(&inner.to_string());
        cause = inner.source();
    }
    PlatError::Unreachable { detail }
}
