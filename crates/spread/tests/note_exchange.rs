//! Notes of streams in the store while some of the instances that write and read them are silent.

mod note_model;

use {
    kernel::{InstanceId, LockRank, RankedLock, WorkerPool},
    note_model::{MemoryRows, note, open, write},
    peer::{AddressTable, PeerEndpoint, PeerKeys, make_test_keys},
    policy::{FleetMember, FleetMembers, KeeperTable, StreamKey, UpstreamTable, log_shard},
    relay::{FleetView, NoteJob, SoftwareNotes},
    spread::{MemberRow, NOTE_TAG, NoteExchange, NoteServer, NoteStore},
    std::{net::UdpSocket, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

const NAMES: [&str; 3] = ["front-0", "front-1", "front-2"];
/// How long a request waits for what the store knows of its stream.
const PATIENCE: Duration = Duration::from_secs(1);

fn fleet() -> FleetMembers {
    let members = NAMES.map(|name| FleetMember {
        capacity: 1,
        instance: name.into(),
        zone: "gijon".into(),
    });
    FleetMembers::new(members.to_vec())
}

fn endpoint(name: &str, keys: &PeerKeys, addresses: &AddressTable) -> PeerEndpoint {
    PeerEndpoint::builder()
        .address("127.0.0.1:0".parse().unwrap())
        .addresses(addresses.clone())
        .incarnation(1)
        .instance(name.into())
        .keys(keys)
        .build()
        .unwrap()
}

/// An instance that asks, one whose address nobody answers at, and one that serves.
struct Trial {
    jobs: mpsc::Sender<NoteJob>,
    _endpoints: [PeerEndpoint; 2],
    _silent: UdpSocket,
    store: NoteStore,
}

impl Trial {
    async fn start([asking, silent, serving]: [usize; 3]) -> Self {
        let (rows, pool) = (MemoryRows::new(), WorkerPool::new());
        let (_, keys) = make_test_keys(&NAMES).unwrap();
        let addresses = AddressTable::new();
        let own = endpoint(NAMES[asking], &keys[asking], &addresses);
        let other = endpoint(NAMES[serving], &keys[serving], &addresses);
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        addresses.set(NAMES[silent].into(), socket.local_addr().unwrap());
        addresses.set(NAMES[serving].into(), other.local_address().unwrap());
        let store = open(&rows, &pool);
        let upstreams = UpstreamTable::new(NAMES[serving].into());
        let upstreams = RankedLock::new(LockRank::Upstreams, upstreams);
        let server = NoteServer {
            notes: SoftwareNotes::new(Arc::new(upstreams)),
            stored: store.clone(),
        };
        tokio::spawn(server.run(other.register(NOTE_TAG)));
        let view = FleetView::default();
        view.set(fleet());
        let row = MemberRow {
            address: own.local_address().unwrap(),
            capacity: 1,
            instance: NAMES[asking].into(),
            zone: "gijon".into(),
        };
        let exchange = NoteExchange::new(own.clone(), view, row, open(&rows, &pool));
        let (jobs, taken) = mpsc::channel(16);
        tokio::spawn(exchange.run(taken));
        Self {
            jobs,
            _endpoints: [own, other],
            _silent: socket,
            store,
        }
    }
}

/// The position of an instance in [`NAMES`].
fn position(instance: &InstanceId) -> usize {
    NAMES.iter().position(|name| **name == **instance).unwrap()
}

/// Guards against streams that are refused since the first reader of their shard was killed and is still listed.
#[tokio::test]
async fn a_stored_stream_is_found_while_its_first_reader_is_silent() {
    let stream: StreamKey = 5;
    let keepers = KeeperTable::new(NAMES[0].into(), "gijon".into(), &fleet());
    let readers = keepers.readers(log_shard(stream));
    let [silent, serving, asking] = [0, 1, 2].map(|index| position(&readers[index]));
    let trial = Trial::start([asking, silent, serving]).await;
    write(&trial.store, &[stream]).await;

    for _ in 0..3 {
        let (reply, answer) = oneshot::channel();
        let job = NoteJob::AskStored { reply, stream };
        trial.jobs.send(job).await.unwrap();
        let found = time::timeout(PATIENCE, answer).await;
        assert_eq!(found, Ok(Ok(Some(note(stream).software))));
    }
}
