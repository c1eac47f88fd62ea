//! A forwarded request whose helper refuses it before it has read it.

use {
    bytes::Bytes,
    forward::{FORWARD_TAG, ForwardReply, ForwardSession, Refusal, RequestHead, WireHeaders},
    kernel::{InstanceId, ResultCode},
    peer::{AddressTable, PeerEndpoint, PeerIncoming, PeerKeys, PeerSettings, make_test_keys},
    policy::RepeatRule,
    std::time::Duration,
    tokio::time,
};

/// More than a session takes in before it is read.
const BODY_BYTES: usize = 512 << 10;
const LIMIT: Duration = Duration::from_secs(20);
const REFUSAL_FRAME: u16 = 4;
/// The room for one session.
const SESSION_BYTES: usize = 80 << 10;

fn endpoint(
    name: &str,
    addresses: &AddressTable,
    keys: &PeerKeys,
    settings: PeerSettings,
) -> PeerEndpoint {
    let endpoint = PeerEndpoint::builder()
        .address("127.0.0.1:0".parse().unwrap())
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

fn pair(helper_settings: PeerSettings) -> (PeerEndpoint, PeerEndpoint) {
    let (_, keys) = make_test_keys(&["front-1", "front-2"]).unwrap();
    let addresses = AddressTable::new();
    let own = endpoint("front-1", &addresses, &keys[0], PeerSettings::default());
    let helper = endpoint("front-2", &addresses, &keys[1], helper_settings);
    (own, helper)
}

fn head() -> RequestHead {
    RequestHead {
        body_bytes: BODY_BYTES,
        customer: None,
        elapsed: Duration::ZERO,
        headers: WireHeaders::from(&http::HeaderMap::new()),
        left: LIMIT,
        method: "POST".to_owned(),
        repeat: RepeatRule::Once,
        runs: 0,
        target: "/".to_owned(),
        tries: 1,
    }
}

async fn open(own: &PeerEndpoint) -> ForwardSession {
    let helper = InstanceId::from("front-2");
    let (sender, receiver) = own.open_session(&helper, FORWARD_TAG).await.unwrap();
    ForwardSession::new(sender, receiver)
}

// Guards against a request that counts as run, since its helper said that it did not before it had read it.
#[tokio::test]
async fn a_refusal_arrives_though_the_request_was_not_read() {
    let (own, helper) = pair(PeerSettings::default());
    let mut sessions = helper.register(FORWARD_TAG);
    let refusal = Refusal {
        code: ResultCode::UpstreamRefused,
        retry_after: Some(Duration::from_millis(300)),
    };
    let refused = refusal.clone();
    tokio::spawn(async move {
        let Some(PeerIncoming::Session {
            receiver,
            mut sender,
            ..
        }) = sessions.recv().await
        else {
            panic!("not a session");
        };
        receiver.close();
        let body = postcard::to_stdvec(&refused).unwrap();
        sender.send(REFUSAL_FRAME, &body).await.unwrap();
        sender.close().await;
    });
    let mut session = open(&own).await;
    let (head, body) = (head(), Bytes::from(vec![1; BODY_BYTES]));
    let exchange = time::timeout(LIMIT, session.exchange(&head, &body)).await;
    match exchange.expect("a reply in time") {
        Ok(ForwardReply::Refusal(arrived)) => assert_eq!(arrived, refusal),
        other => panic!("{other:?}"),
    }
}

// Guards against a request that counts as run, since there was no room for its session.
#[tokio::test]
async fn a_helper_without_room_declines_and_has_run_nothing() {
    let settings = PeerSettings::builder().session_memory(SESSION_BYTES);
    let (own, helper) = pair(settings.build());
    let mut sessions = helper.register(FORWARD_TAG);
    let _first = open(&own).await;
    let _held = sessions.recv().await.unwrap();
    let mut session = open(&own).await;
    let (head, body) = (head(), Bytes::from(vec![1; BODY_BYTES]));
    let exchange = time::timeout(LIMIT, session.exchange(&head, &body)).await;
    let error = exchange.expect("a reply in time").unwrap_err();
    assert!(error.is_declined(), "{error}");
}
