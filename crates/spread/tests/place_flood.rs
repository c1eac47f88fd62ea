//! A scheduler that more instances ask at once than it has room for: it keeps its bounds and answers all of them.

mod place_support;

use {
    kernel::{InstanceId, LockRank, RankedLock, ZoneId},
    peer::{AddressTable, LinkLoad, PeerEndpoint, make_test_keys},
    place_support::endpoint,
    policy::{UpstreamRecord, UpstreamStage, UpstreamTable},
    relay::{PlaceScope, SchedulerHost},
    sched::{PlaceReply, PlaceRequest, StreamNeed},
    spread::{PLACE_TAG, PlaceCall, PlaceResult, PlaceServer},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

const CALLS: usize = 200;
const ENGINE_TOKENS: u64 = 70_000;
const LIMIT: Duration = Duration::from_secs(20);
const NAMES: [&str; 5] = ["front-0", "front-1", "front-2", "front-3", "front-4"];
const PATIENCE: Duration = Duration::from_secs(60);
/// The requests that may wait, and their memory.
const ROOM: usize = 64;
const ROOM_BYTES: usize = ROOM * 4_096;
const WAIT: Duration = Duration::from_millis(100);

fn host() -> SchedulerHost {
    let engine = UpstreamRecord {
        address: ([127, 0, 0, 1], 1).into(),
        cold_for: Duration::ZERO,
        id: "i-1".into(),
        leaving: false,
        name: "i-1".into(),
        report_number: None,
        service: "redactor".into(),
        slots: 64,
        software: "v1".into(),
        stage: UpstreamStage::Decode,
        zone: "gijon".into(),
    };
    let mut upstreams = UpstreamTable::new(NAMES[0].into());
    upstreams.replace(&[engine], None, Instant::now());
    let host = SchedulerHost::new(Arc::new(RankedLock::new(LockRank::Upstreams, upstreams)));
    host.bound(ROOM_BYTES);
    host
}

fn scope() -> PlaceScope {
    PlaceScope {
        cell: 0,
        service: "redactor".into(),
        zone: ZoneId::from("gijon"),
    }
}

fn request(key: &str) -> PlaceRequest {
    let need = StreamNeed {
        hint: Some(4_000),
        max_output: 8_320,
        prompt: 5_000,
    };
    place_support::request(key, need, PATIENCE)
}

async fn ask(endpoint: PeerEndpoint, key: String) -> Option<PlaceReply> {
    let call = PlaceCall::Submit {
        scope: scope(),
        request: request(&key),
        wait: WAIT,
    };
    let body = postcard::to_stdvec(&call).unwrap();
    let scheduler = InstanceId::from(NAMES[0]);
    let answer = endpoint.call(&scheduler, PLACE_TAG, &body).await.ok()?;
    let result: PlaceResult = postcard::from_bytes(&answer).unwrap();
    Some(result.reply)
}

// Guards against an instance that ends for its memory, since it keeps whatever is asked of its schedulers.
#[tokio::test]
async fn a_flood_of_requests_is_answered_within_the_bounds_of_the_scheduler() {
    let (_, keys) = make_test_keys(&NAMES).unwrap();
    let addresses = AddressTable::new();
    let scheduler = endpoint(NAMES[0], &addresses, &keys[0]);
    let host = host();
    let server = PlaceServer { host: host.clone() };
    tokio::spawn(server.run(scheduler.register(PLACE_TAG)));
    tokio::spawn(host.clone().run());
    host.submit(&NAMES[1].into(), &scope(), request("first"), Duration::ZERO)
        .await;
    host.set_capacity(&"i-1".into(), ENGINE_TOKENS);
    let mut asking = JoinSet::new();
    for (name, keys) in NAMES[1..].iter().zip(&keys[1..]) {
        let caller = endpoint(name, &addresses, keys);
        for number in 0..CALLS {
            asking.spawn(ask(caller.clone(), format!("{name}/{number}")));
        }
    }
    let mut counts = [0; 3];
    let answers = async {
        while let Some(reply) = asking.join_next().await {
            let rows = host.rows()[&scope()];
            assert!(rows.scheduler.queue <= ROOM, "{rows:?}");
            assert!(rows.kept_calls <= ROOM, "{rows:?}");
            match reply.unwrap().expect("a call is answered") {
                PlaceReply::Granted(_) => counts[0] += 1,
                PlaceReply::Queued => counts[1] += 1,
                PlaceReply::Refused { retry_after, .. } => {
                    assert!(!retry_after.is_zero());
                    counts[2] += 1;
                }
                other => panic!("{other:?}"),
            }
        }
    };
    time::timeout(LIMIT, answers)
        .await
        .expect("all are answered");
    assert_eq!(counts.iter().sum::<usize>(), CALLS * (NAMES.len() - 1));
    assert!(counts[2] > CALLS, "granted, queued, refused: {counts:?}");
    let is_idle = |load: LinkLoad| load.accepted_streams == 0 && load.queued_messages == 0;
    let idle = async {
        while !is_idle(scheduler.load()) {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(LIMIT, idle)
        .await
        .expect("no call stays open");
}
