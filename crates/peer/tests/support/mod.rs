//! Helpers shared by the tests that use real connections.

#![allow(dead_code, reason = "each test file takes the part that it needs")]

use {
    kernel::InstanceId,
    peer::{AddressTable, PeerEndpoint, PeerIncoming, PeerKeys, PeerSettings, make_test_keys},
    std::{net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// A timeout that only a failing test reaches.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn make_endpoint(
    name: &str,
    addresses: &AddressTable,
    keys: &PeerKeys,
    settings: PeerSettings,
) -> PeerEndpoint {
    let endpoint = PeerEndpoint::builder()
        .address(loopback())
        .addresses(addresses.clone())
        .incarnation(1)
        .instance(name.into())
        .keys(keys)
        .settings(settings)
        .build()
        .unwrap();
    addresses.set(name.into(), endpoint.local_address().unwrap());
    endpoint
}

/// Two instances that know each other's addresses.
pub(crate) fn make_pair() -> (PeerEndpoint, PeerEndpoint, AddressTable) {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let addresses = AddressTable::new();
    let first = make_endpoint("a", &addresses, &keys[0], PeerSettings::default());
    let second = make_endpoint("b", &addresses, &keys[1], PeerSettings::default());
    (first, second, addresses)
}

pub(crate) fn name(text: &str) -> InstanceId {
    text.into()
}

pub(crate) async fn next(inbox: &mut mpsc::Receiver<PeerIncoming>) -> PeerIncoming {
    tokio::time::timeout(TEST_TIMEOUT, inbox.recv())
        .await
        .expect("a message arrives in time")
        .expect("the endpoint is open")
}

/// Yields to the other tasks until the condition holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .expect("the condition holds in time");
}

/// Answers every call on a tag with its own body.
pub(crate) fn echo(endpoint: &PeerEndpoint, tag: u16) {
    let mut inbox = endpoint.register(tag);
    tokio::spawn(async move {
        while let Some(incoming) = inbox.recv().await {
            let PeerIncoming::Call { body, reply, .. } = incoming else {
                continue;
            };
            reply.send(body);
        }
    });
}
