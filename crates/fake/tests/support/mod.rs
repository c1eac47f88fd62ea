//! A small HTTP client for the tests of the stand-ins.

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

/// One stand-in as a test sees it.
#[derive(Clone)]
pub(crate) struct TestClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestClient {
    /// A client with its own connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        }
    }

    /// Sends a request and gives the answer's head.
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

    /// Sends a request and gives the answer's status and whole body.
    pub(crate) async fn call(&self, method: Method, path: &str, body: &str) -> (StatusCode, Bytes) {
        let response = self
            .send(method, path, &[], Bytes::from(body.to_owned()))
            .await
            .unwrap();
        let status = response.status();
        (status, read_body(response).await.unwrap())
    }

    /// Reads JSON.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.call(Method::GET, path, "").await;
        assert_eq!(status, StatusCode::OK, "{body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    /// Sends JSON and reads JSON.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> T {
        let (status, body) = self.call(Method::POST, path, body).await;
        assert_eq!(status, StatusCode::OK, "{body:?}");
        serde_json::from_slice(&body).unwrap()
    }
}

/// Reads a body whole; an error if it is cut.
pub(crate) async fn read_body(response: Response<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(response.into_body().collect().await?.to_bytes())
}
