//! Authentication and validation of peers: keys, names, rotation, malformed data, sizes, versions.

mod support;

use {
    bytes::Bytes,
    peer::{
        AddressTable, KeyAuthority, PeerEndpoint, PeerError, PeerIdentity, PeerKeys, PeerSettings,
        make_test_keys,
        peer_metrics::RefusedCause,
        tls_config::TlsConfig,
        wire::{self, MessageHeader, MessageKind},
    },
    quinn::{Connection, Endpoint},
    support::{echo, loopback, make_endpoint, name, until},
};

const TAG: u16 = 7;

/// Opens a raw connection with valid keys, over which a test sends arbitrary bytes.
async fn connect_raw(keys: &PeerKeys, to: &PeerEndpoint) -> (Endpoint, Connection) {
    let tls = TlsConfig::new(keys, &PeerSettings::default()).unwrap();
    let endpoint = Endpoint::client(loopback()).unwrap();
    let address = to.local_address().unwrap();
    let connecting = endpoint.connect_with(tls.client, address, "b").unwrap();
    let connection = connecting.await.unwrap();
    (endpoint, connection)
}

fn header(instance: &str) -> MessageHeader {
    let from = PeerIdentity {
        incarnation: 1,
        instance: instance.into(),
    };
    MessageHeader {
        from,
        kind: MessageKind::Message,
        tag: TAG,
    }
}

#[tokio::test]
async fn a_peer_with_a_foreign_key_gets_nothing_and_is_counted() {
    let (_, keys) = make_test_keys(&["b"]).unwrap();
    let (foreign, foreign_keys) = make_test_keys(&["a"]).unwrap();
    let addresses = AddressTable::new();
    let second = make_endpoint("b", &addresses, &keys[0], PeerSettings::default());
    echo(&second, TAG);
    // The stranger trusts the authority of `b`, but its own certificate is not signed by it.
    let stranger_keys = PeerKeys {
        authorities: format!("{}{}", foreign.pem(), keys[0].authorities).into(),
        ..foreign_keys[0].clone()
    };
    let stranger = make_endpoint("a", &addresses, &stranger_keys, PeerSettings::default());
    let answer = stranger.call(&name("b"), TAG, b"secret").await;
    assert!(answer.is_err(), "{answer:?}");
    until(|| second.metrics().refused_for(RefusedCause::Key) > 0).await;
    assert_eq!(second.metrics().received.get(), 0);
}

#[tokio::test]
async fn a_name_that_the_certificate_does_not_have_is_refused() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let addresses = AddressTable::new();
    let second = make_endpoint("b", &addresses, &keys[1], PeerSettings::default());
    echo(&second, TAG);
    let impostor = make_endpoint("c", &addresses, &keys[0], PeerSettings::default());
    let answer = impostor.call(&name("b"), TAG, b"").await;
    assert!(
        matches!(answer, Err(PeerError::Refused { .. })),
        "{answer:?}"
    );
    assert_eq!(second.metrics().refused_for(RefusedCause::Name), 1);
}

#[tokio::test]
async fn a_name_that_changes_on_a_connection_is_refused() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let second = make_endpoint("b", &AddressTable::new(), &keys[1], PeerSettings::default());
    let _inbox = second.register(TAG);
    let (_endpoint, connection) = connect_raw(&keys[0], &second).await;
    let honest = wire::encode_message(&header("a"), b"").unwrap();
    connection.send_datagram(honest).unwrap();
    until(|| second.metrics().received.get() == 1).await;
    let other = wire::encode_message(&header("b"), b"").unwrap();
    connection.send_datagram(other).unwrap();
    until(|| second.metrics().refused_for(RefusedCause::Name) == 1).await;
}

#[tokio::test]
async fn garbage_is_refused_and_counted() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let second = make_endpoint("b", &AddressTable::new(), &keys[1], PeerSettings::default());
    let (_endpoint, connection) = connect_raw(&keys[0], &second).await;
    let truncated_header = [&wire::WIRE_VERSION.to_le_bytes()[..], b"\xff\xff"].concat();
    let invalid_header = [&wire::WIRE_VERSION.to_le_bytes()[..], b"\x02\x00zz"].concat();
    for garbage in [&b""[..], b"\x01", &truncated_header, &invalid_header] {
        let garbage = Bytes::copy_from_slice(garbage);
        connection.send_datagram(garbage).unwrap();
    }
    until(|| second.metrics().refused_for(RefusedCause::Garbled) == 4).await;
}

#[tokio::test]
async fn another_wire_version_is_refused_and_counted() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let second = make_endpoint("b", &AddressTable::new(), &keys[1], PeerSettings::default());
    let (_endpoint, connection) = connect_raw(&keys[0], &second).await;
    let mut message = wire::encode_message(&header("a"), b"").unwrap().to_vec();
    message[0] = 200;
    connection.send_datagram(message.into()).unwrap();
    until(|| second.metrics().refused_for(RefusedCause::Version) == 1).await;
}

#[tokio::test]
async fn an_oversized_message_is_refused_at_both_ends() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let addresses = AddressTable::new();
    let small = PeerSettings::builder().message_limit(1_000).build();
    let first = make_endpoint("a", &addresses, &keys[0], PeerSettings::default());
    let second = make_endpoint("b", &addresses, &keys[1], small);
    let sent = second.send(&name("a"), TAG, &[0; 2_000]);
    assert!(matches!(sent, Err(PeerError::TooLarge { .. })));
    first.send(&name("b"), TAG, &[0; 2_000]).unwrap();
    until(|| second.metrics().refused_for(RefusedCause::Oversized) == 1).await;
}

#[tokio::test]
async fn keys_rotate_without_a_restart() {
    let old = KeyAuthority::new().unwrap();
    let new = KeyAuthority::new().unwrap();
    let both: std::sync::Arc<str> = format!("{}{}", old.pem(), new.pem()).into();
    let addresses = AddressTable::new();
    let old_key = old.issue("a").unwrap();
    let first = make_endpoint("a", &addresses, &old_key, PeerSettings::default());
    let second = make_endpoint(
        "b",
        &addresses,
        &old.issue("b").unwrap(),
        PeerSettings::default(),
    );
    echo(&first, TAG);
    echo(&second, TAG);
    first.call(&name("b"), TAG, b"old").await.unwrap();
    for (endpoint, instance) in [(&first, "a"), (&second, "b")] {
        let keys = PeerKeys {
            authorities: both.clone(),
            ..new.issue(instance).unwrap()
        };
        endpoint.reload(&keys).unwrap();
    }
    first.call(&name("b"), TAG, b"both").await.unwrap();
    second.reload(&new.issue("b").unwrap()).unwrap();
    first.call(&name("b"), TAG, b"new").await.unwrap();
    // The old key is no longer accepted.
    first
        .reload(&PeerKeys {
            authorities: both,
            ..old_key
        })
        .unwrap();
    let answer = first.call(&name("b"), TAG, b"old").await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn a_reload_closes_the_connections_of_a_refused_key() {
    let old = KeyAuthority::new().unwrap();
    let new = KeyAuthority::new().unwrap();
    let old_keys = old.issue("b").unwrap();
    let second = make_endpoint(
        "b",
        &AddressTable::new(),
        &old_keys,
        PeerSettings::default(),
    );
    let (_endpoint, connection) = connect_raw(&old.issue("a").unwrap(), &second).await;
    let message = wire::encode_message(&header("a"), b"").unwrap();
    let _inbox = second.register(TAG);
    connection.send_datagram(message).unwrap();
    until(|| second.metrics().received.get() == 1).await;
    second.reload(&new.issue("b").unwrap()).unwrap();
    until(|| connection.close_reason().is_some()).await;
}

#[tokio::test]
async fn keys_that_cannot_be_read_leave_the_old_ones() {
    let (first, second, _) = support::make_pair();
    echo(&second, TAG);
    let broken = PeerKeys {
        authorities: "".into(),
        certificate: "".into(),
        private_key: "".into(),
    };
    assert!(matches!(
        second.reload(&broken),
        Err(PeerError::Keys { .. })
    ));
    first.call(&name("b"), TAG, b"still").await.unwrap();
}

#[tokio::test]
async fn keys_made_at_the_start_are_let_in_once_they_are_certified_by_a_copy_of_the_authority() {
    let authority = KeyAuthority::new().unwrap();
    let copy = KeyAuthority::from_private_key(&authority.private_key()).unwrap();
    let [keys_a, keys_b] = ["a", "b"].map(|instance| PeerKeys::self_signed(instance).unwrap());
    let addresses = AddressTable::new();
    let certified = authority.certify("a", &keys_a).unwrap();
    let first = make_endpoint("a", &addresses, &certified, PeerSettings::default());
    let second = make_endpoint("b", &addresses, &keys_b, PeerSettings::default());
    addresses.set(name("b"), second.local_address().unwrap());
    echo(&second, TAG);
    assert!(first.call(&name("b"), TAG, b"unknown").await.is_err());
    until(|| second.metrics().refused_for(RefusedCause::Key) > 0).await;
    second.reload(&copy.certify("b", &keys_b).unwrap()).unwrap();
    first.forget("b");
    assert_eq!(
        &*first.call(&name("b"), TAG, b"known").await.unwrap(),
        b"known"
    );
    // Reloading the same authority keeps the connection.
    let links = first.metrics().links.get();
    first.trust(&copy.certify("a", &keys_a).unwrap()).unwrap();
    first.call(&name("b"), TAG, b"again").await.unwrap();
    assert_eq!(first.metrics().links.get(), links);
    // A certificate of another authority is refused.
    let other = KeyAuthority::new().unwrap();
    let stranger = other.certify("c", &keys_a).unwrap();
    let third = make_endpoint("c", &addresses, &stranger, PeerSettings::default());
    assert!(third.call(&name("b"), TAG, b"stranger").await.is_err());
}
