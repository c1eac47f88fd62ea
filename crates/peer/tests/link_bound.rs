//! What an instance receives and does not read, over all its links together.

mod support;

use {
    peer::{AddressTable, PeerEndpoint, PeerError, PeerSettings, make_test_keys},
    std::time::Duration,
    support::{TEST_TIMEOUT, echo, make_endpoint, name, until},
    tokio::{task::JoinSet, time},
};

const BYTES_EACH: usize = 8 << 10;
const LINK_BYTES: u32 = 64 << 10;
const FRAMES_EACH: usize = 16;
/// Within this time a peer's frames are taken, or are not until somebody reads.
const FILL_TIME: Duration = Duration::from_secs(3);
const PEERS: [&str; 9] = ["b", "p-1", "p-2", "p-3", "p-4", "p-5", "p-6", "p-7", "p-8"];
const SESSIONS_EACH: usize = 32;
const SESSION_BYTES: usize = 4 << 20;
/// What a session may take of the room: its window and a quarter.
const SESSION_WINDOW: usize = 80 << 10;
const TAG: u16 = 7;

fn settings() -> PeerSettings {
    PeerSettings::builder()
        .link_window(LINK_BYTES)
        .session_memory(SESSION_BYTES)
        .build()
}

/// Sends into one session as much as its peer takes, and keeps it; returns how many bytes that is. `None` for a session
/// that the peer declined.
async fn fill(endpoint: PeerEndpoint) -> Option<usize> {
    let peer = name("b");
    let session = time::timeout(TEST_TIMEOUT, endpoint.open_session(&peer, TAG));
    let (mut sender, mut receiver) = session.await.expect("a session in time").unwrap();
    let mut taken = 0;
    let sending = async {
        for _ in 0..FRAMES_EACH {
            if sender.send(1, &[1; BYTES_EACH]).await.is_err() {
                break;
            }
            taken += BYTES_EACH;
        }
        receiver.receive().await
    };
    match time::timeout(FILL_TIME, sending).await {
        Ok(end) => {
            assert!(matches!(end, Err(PeerError::Declined)), "{end:?}");
            None
        }
        Err(_) => {
            std::mem::forget((sender, receiver));
            Some(taken)
        }
    }
}

// Guards against an instance that ends for its memory, since it stands still while all its peers send: what one link may
// hold is a multiple of what the instance has, times the links of its zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_reads_no_session_takes_a_bounded_part_of_what_its_peers_send() {
    let (_, keys) = make_test_keys(&PEERS).unwrap();
    let addresses = AddressTable::new();
    let still = make_endpoint("b", &addresses, &keys[0], settings());
    let mut sessions = still.register(TAG);
    echo(&still, TAG + 1);
    let peers = PEERS.iter().zip(&keys).skip(1);
    let peers = peers.map(|(name, keys)| make_endpoint(name, &addresses, keys, settings()));
    let peers: Vec<PeerEndpoint> = peers.collect();
    let mut filling = JoinSet::new();
    for peer in &peers {
        for _ in 0..SESSIONS_EACH {
            filling.spawn(fill(peer.clone()));
        }
    }
    let kept = filling.join_all().await.into_iter().flatten();
    let kept: Vec<usize> = kept.collect();
    let bytes: usize = kept.iter().sum();
    println!("{bytes} bytes of {} sessions are unread", kept.len());
    assert!(bytes < SESSION_BYTES, "{bytes} bytes");
    assert_eq!(kept.len(), SESSION_BYTES / SESSION_WINDOW);
    // Calls go on beside sessions that nobody reads.
    for peer in &peers {
        let answer = peer.call(&name("b"), TAG + 1, &[2; 64 << 10]).await;
        assert_eq!(answer.unwrap().len(), 64 << 10);
    }
    // Room that is given back serves the next sessions.
    while sessions.try_recv().is_ok() {}
    until(|| still.load().open_sessions == 0).await;
    let peer = name("b");
    let session = time::timeout(TEST_TIMEOUT, peers[0].open_session(&peer, TAG));
    let _session = session.await.expect("a session in time").unwrap();
    until(|| still.load().open_sessions == 1).await;
}

// Guards against sessions of its own that an instance opens beyond what it has room for: nothing is sent.
#[tokio::test]
async fn an_instance_opens_no_session_whose_answers_it_has_no_room_for() {
    let (_, keys) = make_test_keys(&["a", "b"]).unwrap();
    let addresses = AddressTable::new();
    let small = PeerSettings::builder()
        .session_memory(SESSION_WINDOW)
        .build();
    let first = make_endpoint("a", &addresses, &keys[0], small);
    let second = make_endpoint("b", &addresses, &keys[1], settings());
    let _sessions = second.register(TAG);
    let held = first.open_session(&name("b"), TAG).await.unwrap();
    let other = first.open_session(&name("b"), TAG).await;
    assert!(matches!(other, Err(PeerError::Busy { .. })));
    drop(held);
    first.open_session(&name("b"), TAG).await.unwrap();
}
