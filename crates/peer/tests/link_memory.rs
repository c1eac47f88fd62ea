//! The memory of the links between instances. One test, since the memory of the whole process is read.

mod support;

use {
    peer::{PeerEndpoint, SessionReceiver, SessionSender},
    std::fs,
    support::{echo, make_pair, name},
};

/// The calls that are made over each link: more than a link lets be open at once, many times over.
const CALLS: usize = 4_096;
const CALLS_AT_ONCE: usize = 64;
const LINKS: usize = 8;
const PAGE_BYTES: usize = 4_096;
/// The memory of one end of a link, with what the handshake leaves.
const IDLE_LIMIT: usize = 96 << 10;
/// The same after many calls, with the packets that were last sent and received.
const USED_LIMIT: usize = 192 << 10;
const TAG: u16 = 7;

/// The resident memory of this process, bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

async fn call_often(endpoint: &PeerEndpoint, calls: usize) {
    let mut calling = tokio::task::JoinSet::new();
    for _ in 0..CALLS_AT_ONCE {
        let endpoint = endpoint.clone();
        calling.spawn(async move {
            for _ in 0..calls / CALLS_AT_ONCE {
                endpoint.call(&name("b"), TAG, b"place").await.unwrap();
            }
        });
    }
    calling.join_all().await;
}

/// A link of its own, which lasts as long as its session.
async fn open_link(endpoint: &PeerEndpoint, calls: usize) -> (SessionSender, SessionReceiver) {
    endpoint.forget("b");
    let session = endpoint.open_session(&name("b"), TAG + 1).await.unwrap();
    call_often(endpoint, calls).await;
    session
}

// Guards against links whose stream tables are made for thousands of streams and grow with use: an instance that
// schedules for its zone has one from each of the others, and ends for its memory.
#[tokio::test]
async fn a_link_takes_kilobytes_before_and_after_many_calls() {
    let (first, second, _) = make_pair();
    let mut sessions = second.register(TAG + 1);
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Some(incoming) = sessions.recv().await {
            held.push(incoming);
        }
    });
    echo(&second, TAG);
    // The first link pays for what all of them share.
    let mut links = vec![open_link(&first, CALLS).await];
    let before = resident();
    for _ in 0..LINKS {
        links.push(open_link(&first, 0).await);
    }
    let idle = resident().saturating_sub(before) / LINKS / 2;
    let before = resident();
    for _ in 0..LINKS {
        links.push(open_link(&first, CALLS).await);
    }
    let used = resident().saturating_sub(before) / LINKS / 2;
    println!("one end of a link: {idle} bytes idle, {used} bytes after {CALLS} calls");
    assert!(idle < IDLE_LIMIT, "{idle} bytes at one end of an idle link");
    assert!(used < USED_LIMIT, "{used} bytes at one end of a used link");
}
