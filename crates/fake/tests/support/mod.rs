//! HTTP client for the stand-ins' tests.

#![allow(
    dead_code,
    reason = "each test binary takes what it needs from the shared helpers"
)]

use {
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, Error, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

/// HTTP client of one stand-in.
#[derive(Clone)]
pub(crate) struct TestClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestClient {
    /// Creates a client with its own connection pool.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        }
    }

    /// Sends a request and returns the response with its body unread.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        self.client.request(request).await
    }

    /// Sends a request and returns the status and complete body.
    pub(crate) async fn call(&self, method: Method, path: &str, body: &str) -> (StatusCode, Bytes) {
        let response = self
            .send(method, path, &[], Bytes::from(body.to_owned()))
            .await
            .unwrap();
        let status = response.status();
        (status, read_body(response).await.unwrap())
    }

    /// Sends a GET request and parses the JSON response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.call(Method::GET, path, "").await;
        assert_eq!(status, StatusCode::OK, "{body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    /// Sends a JSON body and parses the JSON response.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> T {
        let (status, body) = self.call(Method::POST, path, body).await;
        assert_eq!(status, StatusCode::OK, "{body:?}");
        serde_json::from_slice(&body).unwrap()
    }
}

/// Reads a complete body; fails if the connection closes early.
pub(crate) async fn read_body(response: Response<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(response.into_body().collect().await?.to_bytes())
}
