//! Tests of the platform's stand-in over HTTP.

mod support;

use {
    fake::{PlatformFaults, PlatformSettings, StandInPlatform},
    http::{Method, StatusCode},
    plat::{InstanceRecord, StoredRow, TransactionReply},
    std::time::Duration,
    support::TestClient,
};

const PUT_TWO: &str = r#"{"conditions":[{"key":"work/a","version":0}],
    "writes":[{"key":"work/a","value":"1"},{"key":"work/b","value":"2"}]}"#;

async fn start() -> (StandInPlatform, TestClient) {
    let platform = StandInPlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = TestClient::new(platform.address());
    (platform, client)
}

#[tokio::test]
async fn a_transaction_commits_once_and_then_conflicts() {
    let (platform, client) = start().await;
    let first: TransactionReply = client.post("/tx", PUT_TWO).await;
    assert_eq!(first, TransactionReply::Committed);
    let second: TransactionReply = client.post("/tx", PUT_TWO).await;
    let TransactionReply::Conflict { rows } = second else {
        panic!("the second transaction committed");
    };
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].version, 1);
    let row: StoredRow = client.get("/rows/work%2Fa").await;
    assert_eq!(&*row.value, "1");
    let rows: Vec<StoredRow> = client.get("/rows?prefix=work%2F").await;
    assert_eq!(rows.len(), 2);
    let (missing, _) = client.call(Method::GET, "/rows/work%2Fc", "").await;
    assert_eq!(missing, StatusCode::NOT_FOUND);
    platform.close().await;
}

#[tokio::test]
async fn a_lost_reply_leaves_the_write_in_effect() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults {
        lose_next_replies: 1,
        ..PlatformFaults::default()
    });
    let lost = client.send(Method::POST, "/tx", &[], PUT_TWO).await;
    assert!(lost.is_err());
    let row: StoredRow = client.get("/rows/work/a").await;
    assert_eq!(row.version, 1);
    assert_eq!(platform.counters().lost_replies, 1);
    platform.close().await;
}

#[tokio::test]
async fn a_platform_that_is_down_closes_connections_until_it_is_back() {
    let (platform, client) = start().await;
    let admin = TestClient::new(platform.admin_address());
    let (status, _) = admin
        .call(Method::POST, "/admin/faults", r#"{"down":true}"#)
        .await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    assert!(client.send(Method::GET, "/rows", &[], "").await.is_err());
    admin.call(Method::POST, "/admin/faults", "{}").await;
    let rows: Vec<StoredRow> = client.get("/rows").await;
    assert!(rows.is_empty());
    platform.close().await;
}

#[tokio::test]
async fn a_restore_brings_the_snapshot_back() {
    let (platform, client) = start().await;
    let admin = TestClient::new(platform.admin_address());
    client.call(Method::PUT, "/objects/t%2F1", "old").await;
    admin.call(Method::POST, "/admin/snapshot", "").await;
    client.call(Method::PUT, "/objects/t%2F1", "new").await;
    let _: TransactionReply = client.post("/tx", PUT_TWO).await;
    admin.call(Method::POST, "/admin/restore", "").await;
    let (_, object) = client.call(Method::GET, "/objects/t%2F1", "").await;
    assert_eq!(object, "old");
    let rows: Vec<StoredRow> = client.get("/rows").await;
    assert!(rows.is_empty());
    platform.close().await;
}

#[tokio::test]
async fn the_list_of_instances_shows_what_is_put_and_lags_when_told() {
    let (platform, client) = start().await;
    let record =
        r#"{"address":"127.0.0.1:1","kind":"decode","name":"d1","state":"live","zone":"gijon"}"#;
    let (status, _) = client.call(Method::PUT, "/instances/d1", record).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    let list: Vec<InstanceRecord> = client.get("/instances").await;
    assert_eq!(&*list[0].name, "d1");
    platform.set_faults(PlatformFaults {
        list_lag: Some(Duration::from_secs(3600)),
        ..PlatformFaults::default()
    });
    let delayed: Vec<InstanceRecord> = client.get("/instances").await;
    assert!(delayed.is_empty());
    platform.set_faults(PlatformFaults {
        list_down: true,
        ..PlatformFaults::default()
    });
    let (status, _) = client.call(Method::GET, "/instances", "").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    platform.close().await;
}

#[tokio::test]
async fn a_caller_that_leaves_before_the_reply_leaves_its_write_behind() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults {
        reply_delay: Duration::from_secs(3600),
        ..PlatformFaults::default()
    });
    let writer = client.clone();
    let write = tokio::spawn(async move { writer.call(Method::POST, "/tx", PUT_TWO).await });
    while platform.counters().writes == 0 {
        tokio::task::yield_now().await;
    }
    write.abort();
    platform.set_faults(PlatformFaults::default());
    let row: StoredRow = client.get("/rows/work/a").await;
    assert_eq!(row.version, 1);
    platform.close().await;
}
