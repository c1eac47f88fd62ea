//! Tests of a plain service's stand-in over HTTP.

mod support;

use {
    fake::{ServiceAnswer, ServiceFaults, ServiceSettings, StandInService, service::expected_body},
    http::{Method, StatusCode},
    support::{TestClient, read_body},
};

async fn start(faults: ServiceFaults) -> (StandInService, TestClient) {
    let service = StandInService::start(ServiceSettings::default())
        .await
        .unwrap();
    service.set_faults(faults);
    let client = TestClient::new(service.address());
    (service, client)
}

#[tokio::test]
async fn an_answer_tells_its_request_and_the_run_is_counted() {
    let (service, client) = start(ServiceFaults::default()).await;
    let response = client
        .send(Method::PATCH, "/a/b?c=d", &[("x-run-key", "k1")], "body")
        .await
        .unwrap();
    let body = read_body(response).await.unwrap();
    let answer: ServiceAnswer = serde_json::from_slice(&body).unwrap();
    let expected = ServiceAnswer::expected("PATCH", "/a/b?c=d", "k1", b"body");
    assert_eq!(answer, expected);
    assert_eq!(service.counters().runs_by_key["k1"], 1);
    service.close().await;
}

#[tokio::test]
async fn a_large_answer_is_the_expected_one() {
    const SIZE: usize = 3_000_001;
    let (service, client) = start(ServiceFaults::default()).await;
    let headers = [("x-answer-size", "3000001"), ("x-request-id", "r1")];
    let response = client
        .send(Method::GET, "/tile", &headers, "")
        .await
        .unwrap();
    let body = read_body(response).await.unwrap();
    assert_eq!(body, expected_body("/tile", "r1", SIZE));
    service.close().await;
}

#[tokio::test]
async fn a_large_body_is_echoed_whole() {
    let (service, client) = start(ServiceFaults::default()).await;
    let sent = expected_body("/up", "r2", 2_000_000);
    let response = client
        .send(Method::PUT, "/up", &[("x-echo", "yes")], sent.clone())
        .await
        .unwrap();
    assert_eq!(read_body(response).await.unwrap(), sent);
    service.close().await;
}

#[tokio::test]
async fn a_refusal_says_that_the_request_did_not_run() {
    let (service, client) = start(ServiceFaults {
        refuse: true,
        ..ServiceFaults::default()
    })
    .await;
    let response = client.send(Method::GET, "/", &[], "").await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["x-ran"], "no");
    assert_eq!(service.counters().runs, 0);
    assert_eq!(service.counters().refused, 1);
    service.close().await;
}

#[tokio::test]
async fn a_request_that_is_read_and_closed_counts_as_run() {
    let (service, client) = start(ServiceFaults {
        close_after_read: true,
        ..ServiceFaults::default()
    })
    .await;
    let answer = client.send(Method::POST, "/", &[("x-run-key", "k")], "body");
    assert!(answer.await.is_err());
    assert_eq!(service.counters().runs_by_key["k"], 1);
    assert_eq!(service.counters().closed_after_read, 1);
    service.close().await;
}

#[tokio::test]
async fn a_cut_body_ends_in_an_error() {
    let (service, client) = start(ServiceFaults {
        cut_after_bytes: Some(10),
        ..ServiceFaults::default()
    })
    .await;
    let response = client.send(Method::GET, "/", &[], "").await.unwrap();
    assert!(read_body(response).await.is_err());
    service.close().await;
}

#[tokio::test]
async fn a_kept_connection_is_closed_before_its_second_request_runs() {
    let (service, client) = start(ServiceFaults {
        drop_on_reuse: true,
        ..ServiceFaults::default()
    })
    .await;
    client.call(Method::GET, "/", "").await;
    let mut failed = false;
    for _ in 0..100 {
        failed |= client.send(Method::GET, "/", &[], "").await.is_err();
        if failed {
            break;
        }
    }
    assert!(failed);
    assert_eq!(service.counters().in_progress, 0);
    service.close().await;
}

#[tokio::test]
async fn garbage_is_no_json() {
    let (service, client) = start(ServiceFaults {
        garbage: true,
        ..ServiceFaults::default()
    })
    .await;
    let (status, body) = client.call(Method::GET, "/", "").await;
    assert_eq!(status, StatusCode::OK);
    assert!(serde_json::from_slice::<ServiceAnswer>(&body).is_err());
    service.close().await;
}
