//! Tests of the platform client against the platform's stand-in.

use {
    bytes::Bytes,
    fake::{PlatformFaults, PlatformSettings, StandInPlatform},
    plat::{
        HttpPlatform, InstanceList, ObjectStore, PlatError, RowCondition, RowStore, RowWrite,
        Transaction, TransactionReply,
    },
    std::{sync::Arc, time::Duration},
};

/// Longer than any test runs.
const LONG: Duration = Duration::from_secs(3600);
const KEY: &str = "work/slot confirm?é%2F";

async fn start() -> (StandInPlatform, HttpPlatform) {
    let platform = StandInPlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = HttpPlatform::builder()
        .address(format!("http://{}", platform.address()))
        .timeout(LONG)
        .build()
        .unwrap();
    (platform, client)
}

fn insert(value: &str) -> Transaction {
    Transaction {
        conditions: vec![RowCondition {
            key: Arc::from(KEY),
            version: 0,
        }],
        writes: vec![RowWrite {
            key: Arc::from(KEY),
            value: Some(Arc::from(value)),
        }],
    }
}

#[tokio::test]
async fn rows_and_objects_of_any_key_come_back() {
    let (platform, client) = start().await;
    let reply = client.commit(&insert("first")).await.unwrap();
    assert_eq!(reply, TransactionReply::Committed);
    let row = client.get(KEY).await.unwrap().unwrap();
    assert_eq!((&*row.key, &*row.value), (KEY, "first"));
    assert_eq!(client.scan("work/slot c").await.unwrap(), [row]);
    let reply = client.commit(&insert("second")).await.unwrap();
    assert!(matches!(reply, TransactionReply::Conflict { .. }));
    let content = Bytes::from_static(b"\x00\xff");
    client.put_object(KEY, content.clone()).await.unwrap();
    assert_eq!(client.get_object(KEY).await.unwrap(), Some(content));
    assert_eq!(client.get_object("other").await.unwrap(), None);
    assert!(client.instances().await.unwrap().is_empty());
    platform.close().await;
}

#[tokio::test]
async fn a_write_whose_reply_is_lost_is_done_once() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults {
        lose_next_replies: 1,
        ..PlatformFaults::default()
    });
    let lost = client.commit(&insert("first")).await;
    assert!(matches!(lost, Err(PlatError::Unreachable { .. })));
    assert_eq!(client.get(KEY).await.unwrap().unwrap().version, 1);
    assert_eq!(platform.counters().writes, 1);
    platform.close().await;
}

#[tokio::test]
async fn a_platform_that_is_down_can_not_be_reached() {
    let (platform, client) = start().await;
    platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let failed = client.get(KEY).await;
    assert!(matches!(failed, Err(PlatError::Unreachable { .. })));
    platform.set_faults(PlatformFaults {
        list_down: true,
        ..PlatformFaults::default()
    });
    assert!(client.get(KEY).await.unwrap().is_none());
    let list = client.instances().await;
    assert!(matches!(list, Err(PlatError::Unreachable { .. })));
    platform.close().await;
}
