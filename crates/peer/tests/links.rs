//! Messages, calls and sessions between two instances on loopback.

mod support;

use {
    peer::{PeerError, PeerIncoming, peer_metrics::RefusedCause},
    support::{echo, make_pair, name, next, until},
};

const TAG: u16 = 7;

#[tokio::test]
async fn a_call_is_answered() {
    let (first, second, _) = make_pair();
    echo(&second, TAG);
    let answer = first.call(&name("b"), TAG, b"hello").await.unwrap();
    assert_eq!(&answer[..], b"hello");
    first.close().await;
    second.close().await;
}

#[tokio::test]
async fn a_call_without_taker_is_refused_and_counted() {
    let (first, second, _) = make_pair();
    let answer = first.call(&name("b"), TAG, b"hello").await;
    assert!(
        matches!(answer, Err(PeerError::Refused { .. })),
        "{answer:?}"
    );
    assert_eq!(second.metrics().refused_for(RefusedCause::Tag), 1);
}

#[tokio::test]
async fn a_message_names_its_sender_and_life() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    first.set_incarnation(9);
    first.send(&name("b"), TAG, b"beat").unwrap();
    let PeerIncoming::Message { body, from } = next(&mut inbox).await else {
        panic!("not a message");
    };
    assert_eq!(&body[..], b"beat");
    assert_eq!((&*from.instance, from.incarnation), ("a", 9));
}

#[tokio::test]
async fn a_message_larger_than_a_packet_arrives() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    first.send(&name("b"), TAG, &[5; 20_000]).unwrap();
    let PeerIncoming::Message { body, .. } = next(&mut inbox).await else {
        panic!("not a message");
    };
    assert_eq!(body.len(), 20_000);
}

#[tokio::test]
async fn a_peer_that_moves_is_found_at_its_new_address() {
    let (first, second, addresses) = make_pair();
    let (_, keys) = peer::make_test_keys(&["b"]).unwrap();
    echo(&second, TAG);
    first.call(&name("b"), TAG, b"one").await.unwrap();
    let stranger = support::make_endpoint("b", &addresses, &keys[0], Default::default());
    let lost = first.call(&name("b"), TAG, b"two").await;
    assert!(matches!(lost, Err(PeerError::Connect { .. })), "{lost:?}");
    addresses.set(name("b"), second.local_address().unwrap());
    first.call(&name("b"), TAG, b"three").await.unwrap();
    stranger.close().await;
}

#[tokio::test]
async fn a_session_carries_frames_in_order_both_ways() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    let (mut sender, mut receiver) = first.open_session(&name("b"), TAG).await.unwrap();
    let PeerIncoming::Session {
        receiver: mut peer_receiver,
        sender: mut peer_sender,
        ..
    } = next(&mut inbox).await
    else {
        panic!("not a session");
    };
    for count in 0..100_u16 {
        sender
            .send(count, &vec![1; usize::from(count) * 50])
            .await
            .unwrap();
        let frame = peer_receiver.receive().await.unwrap().unwrap();
        assert_eq!(
            (frame.tag, frame.body.len()),
            (count, usize::from(count) * 50)
        );
        peer_sender.send(count + 1, b"back").await.unwrap();
        let frame = receiver.receive().await.unwrap().unwrap();
        assert_eq!(frame.tag, count + 1);
    }
    let end = tokio::spawn(sender.close());
    assert_eq!(peer_receiver.receive().await.unwrap(), None);
    end.await.unwrap();
}

#[tokio::test]
async fn a_session_breaks_when_its_peer_drops_it() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    let (mut sender, mut receiver) = first.open_session(&name("b"), TAG).await.unwrap();
    sender.send(1, b"one").await.unwrap();
    drop(next(&mut inbox).await);
    let end = receiver.receive().await;
    assert!(matches!(end, Err(PeerError::Lost { .. })), "{end:?}");
}

#[tokio::test]
async fn an_unknown_peer_is_an_error() {
    let (first, _second, _) = make_pair();
    let answer = first.call(&name("c"), TAG, b"").await;
    assert!(matches!(answer, Err(PeerError::UnknownPeer { .. })));
}

#[tokio::test]
async fn messages_over_the_inbox_limit_are_refused_and_counted() {
    let (_, keys) = peer::make_test_keys(&["a", "b"]).unwrap();
    let addresses = peer::AddressTable::new();
    let settings = peer::PeerSettings::builder().inbox_limit(1).build();
    let first = support::make_endpoint("a", &addresses, &keys[0], settings.clone());
    let second = support::make_endpoint("b", &addresses, &keys[1], settings);
    let _inbox = second.register(TAG);
    for _ in 0..4 {
        first.send(&name("b"), TAG, b"beat").unwrap();
        until(|| second.metrics().received.get() == 1).await;
    }
    until(|| second.metrics().refused_for(RefusedCause::Overload) == 3).await;
}

#[tokio::test]
async fn a_link_that_nothing_uses_is_given_up_and_made_anew() {
    let (_, keys) = peer::make_test_keys(&["a", "b"]).unwrap();
    let addresses = peer::AddressTable::new();
    let settings = peer::PeerSettings::builder()
        .link_idle(std::time::Duration::from_millis(50))
        .build();
    let first = support::make_endpoint("a", &addresses, &keys[0], settings.clone());
    let second = support::make_endpoint("b", &addresses, &keys[1], settings);
    echo(&second, TAG);
    first.call(&name("b"), TAG, b"one").await.unwrap();
    until(|| first.link_count() == 0).await;
    first.call(&name("b"), TAG, b"two").await.unwrap();
    assert_eq!(first.metrics().links.get(), 2);
}

// Guards against a link whose bound on streams is too small for what passes between two instances in a burst.
#[tokio::test]
async fn hundreds_of_concurrent_calls_over_one_link_are_answered() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    let mut calling = tokio::task::JoinSet::new();
    for _ in 0..256 {
        let endpoint = first.clone();
        calling.spawn(async move { endpoint.call(&name("b"), TAG, b"place").await });
    }
    let mut held = Vec::new();
    for _ in 0..256 {
        held.push(next(&mut inbox).await);
    }
    for incoming in held {
        if let PeerIncoming::Call { body, reply, .. } = incoming {
            reply.send(body);
        }
    }
    for answer in calling.join_all().await {
        assert_eq!(&answer.unwrap()[..], b"place");
    }
}

// Guards against calls and sessions that wait for ever, or for the whole time of a call, on a link that has as many as
// its other end allows.
#[tokio::test]
async fn a_call_over_a_full_link_fails_soon_and_the_next_one_after_the_others_is_answered() {
    let (_, keys) = peer::make_test_keys(&["a", "b"]).unwrap();
    let addresses = peer::AddressTable::new();
    let settings = peer::PeerSettings::builder().stream_limit(8).build();
    let first = support::make_endpoint("a", &addresses, &keys[0], settings.clone());
    let second = support::make_endpoint("b", &addresses, &keys[1], settings.clone());
    let mut inbox = second.register(TAG);
    let mut sessions = Vec::new();
    for _ in 0..8 {
        sessions.push(first.open_session(&name("b"), TAG).await.unwrap());
        sessions.push(match next(&mut inbox).await {
            PeerIncoming::Session {
                sender, receiver, ..
            } => (sender, receiver),
            other => panic!("{other:?}"),
        });
    }
    let began = std::time::Instant::now();
    let call = first.call(&name("b"), TAG, b"place").await;
    assert!(matches!(call, Err(PeerError::Busy { .. })), "{call:?}");
    let peer = name("b");
    let session = tokio::time::timeout(support::TEST_TIMEOUT, first.open_session(&peer, TAG));
    let session = session.await.expect("the session ends in time");
    assert!(matches!(session, Err(PeerError::Busy { .. })));
    assert!(began.elapsed() < settings.call_timeout);
    drop(sessions);
    echo(&second, TAG);
    let answer = async {
        loop {
            if let Ok(answer) = first.call(&name("b"), TAG, b"place").await {
                return answer;
            }
        }
    };
    let answer = tokio::time::timeout(support::TEST_TIMEOUT, answer).await;
    assert_eq!(&answer.expect("a call is answered in time")[..], b"place");
}

// Guards against an instance that keeps the state of connections which its peers gave up.
#[tokio::test]
async fn a_connection_that_its_peer_gave_up_is_let_go() {
    let (first, second, _) = make_pair();
    echo(&second, TAG);
    for _ in 0..4 {
        first.call(&name("b"), TAG, b"one").await.unwrap();
        first.forget("b");
    }
    until(|| second.accepted_count() == 0).await;
}

// Guards against connections that are begun and given up again and again while an instance is too busy to answer soon.
#[tokio::test]
async fn a_connection_is_made_once_though_its_callers_leave() {
    let (first, second, _) = make_pair();
    echo(&second, TAG);
    for _ in 0..8 {
        let soon = std::time::Duration::from_micros(50);
        let _ = tokio::time::timeout(soon, first.call(&name("b"), TAG, b"one")).await;
    }
    until(|| first.metrics().links.get() == 1).await;
    first.call(&name("b"), TAG, b"two").await.unwrap();
    assert_eq!(first.metrics().links.get(), 1);
    assert_eq!(second.accepted_count(), 1);
}

// Guards against memory that no metric tells the holder of.
#[tokio::test]
async fn what_links_hold_is_told_by_part_and_direction() {
    let (first, second, _) = make_pair();
    let mut inbox = second.register(TAG);
    let caller = first.clone();
    let call = tokio::spawn(async move { caller.call(&name("b"), TAG, b"place").await });
    until(|| second.load().queued_messages == 1).await;
    let (open, taken) = (first.load(), second.load());
    assert_eq!((open.open_calls, open.opened_links), (1, 1));
    assert_eq!((open.accepted_links, open.accepted_streams), (0, 0));
    assert_eq!((taken.accepted_links, taken.accepted_streams), (1, 1));
    assert_eq!((taken.open_calls, taken.opened_links), (0, 0));
    let PeerIncoming::Call { body, reply, .. } = next(&mut inbox).await else {
        panic!("not a call");
    };
    reply.send(body);
    call.await.unwrap().unwrap();
    until(|| second.load().accepted_streams == 0).await;
    assert_eq!(
        (first.load().open_calls, second.load().queued_messages),
        (0, 0)
    );
}
