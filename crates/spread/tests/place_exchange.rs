//! Instances that ask for decode places: schedulers that are silent, late, new or gone must cost little and lose nothing.

mod place_support;

use {
    bytes::Bytes,
    kernel::{InstanceId, LockRank, RankedLock, ServiceId, ZoneId, seeded_rng},
    peer::{AddressTable, CallReply, PeerEndpoint, PeerIncoming, PeerKeys, make_test_keys},
    place_support::endpoint,
    policy::{FleetMember, FleetMembers, UpstreamTable},
    relay::{
        FleetView, HeldPlace, PlaceClient, PlaceCounts, PlaceScope, RequestTrace, SchedulerHost,
        TraceContext,
    },
    sched::{HeldStream, PlaceGrant, PlaceNote, PlaceReply, PlaceRequest, StreamNeed},
    spread::{MemberRow, PLACE_TAG, PlaceCall, PlaceExchange, PlaceResult},
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// How long a request may take to go on by the own view.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(8);
const NAMES: [&str; 3] = ["front-0", "front-1", "front-2"];

/// How a fake scheduler answers.
#[derive(Clone, Debug)]
enum Behaviour {
    Answers(PlaceReply),
    Late(Duration),
    Silent,
}

#[derive(Clone, Debug)]
struct FakeState {
    behaviour: Behaviour,
    life: u64,
    notes: Vec<PlaceNote>,
    /// How many calls with reports are left without an answer.
    refused_notes: usize,
    submits: usize,
}

/// An instance that answers as the test says.
#[derive(Clone)]
struct FakeScheduler {
    endpoint: PeerEndpoint,
    state: Arc<Mutex<FakeState>>,
}

impl FakeScheduler {
    fn start(name: &str, keys: &PeerKeys) -> Self {
        let fake = Self {
            endpoint: endpoint(name, &AddressTable::new(), keys),
            state: Arc::new(Mutex::new(FakeState {
                behaviour: Behaviour::Answers(granted()),
                life: 1,
                notes: Vec::new(),
                refused_notes: 0,
                submits: 0,
            })),
        };
        let mut calls = fake.endpoint.register(PLACE_TAG);
        let taker = fake.clone();
        tokio::spawn(async move {
            while let Some(incoming) = calls.recv().await {
                if let PeerIncoming::Call { body, reply, .. } = incoming {
                    taker.take(postcard::from_bytes(&body).unwrap(), reply);
                }
            }
        });
        fake
    }

    fn take(&self, call: PlaceCall, reply: CallReply) {
        let mut state = self.state.lock().unwrap();
        let decision = match call {
            PlaceCall::Submit { .. } => {
                state.submits += 1;
                match &state.behaviour {
                    Behaviour::Answers(reply) => reply.clone(),
                    Behaviour::Late(_) | Behaviour::Silent => granted(),
                }
            }
            PlaceCall::Notes { notes, .. } => {
                if state.refused_notes > 0 {
                    state.refused_notes -= 1;
                    return;
                }
                if !matches!(state.behaviour, Behaviour::Silent) {
                    state.notes.extend(notes);
                }
                PlaceReply::Unknown
            }
            PlaceCall::Probe | PlaceCall::Spare { .. } => PlaceReply::Unknown,
        };
        let result = PlaceResult {
            life: state.life,
            reply: decision,
        };
        let body = Bytes::from(postcard::to_stdvec(&result).unwrap());
        let pause = match state.behaviour {
            Behaviour::Answers(_) => Duration::ZERO,
            Behaviour::Late(pause) => pause,
            Behaviour::Silent => LIMIT,
        };
        tokio::spawn(async move {
            time::sleep(pause).await;
            reply.send(body);
        });
    }

    fn set(&self, behaviour: Behaviour) {
        self.state.lock().unwrap().behaviour = behaviour;
    }

    fn notes(&self) -> Vec<PlaceNote> {
        self.state.lock().unwrap().notes.clone()
    }

    fn submits(&self) -> usize {
        self.state.lock().unwrap().submits
    }
}

/// One instance that asks and two fake schedulers, of which the first is the one that is asked first.
struct Trial {
    client: PlaceClient,
    _endpoint: PeerEndpoint,
    first: FakeScheduler,
    scope: PlaceScope,
    second: FakeScheduler,
}

impl Trial {
    async fn start() -> Self {
        let (_, keys) = make_test_keys(&NAMES).unwrap();
        let own = endpoint(NAMES[0], &AddressTable::new(), &keys[0]);
        let fakes = [1, 2].map(|index| FakeScheduler::start(NAMES[index], &keys[index]));
        let zone = ZoneId::from("gijon");
        let members = NAMES.map(|name| FleetMember {
            capacity: 1,
            instance: InstanceId::from(name),
            zone: zone.clone(),
        });
        let fleet = FleetView::default();
        fleet.set(FleetMembers::new(members.to_vec()));
        for (name, fake) in NAMES[1..].iter().zip(&fakes) {
            let address = fake.endpoint.local_address().unwrap();
            own.addresses().set(InstanceId::from(*name), address);
        }
        let upstreams = UpstreamTable::new(NAMES[0].into());
        let upstreams = Arc::new(RankedLock::new(LockRank::Upstreams, upstreams));
        let client = PlaceClient::new(PlaceCounts::new());
        let exchange = PlaceExchange::builder()
            .client(client.clone())
            .endpoint(own.clone())
            .fleet(fleet)
            .host(SchedulerHost::new(upstreams))
            .own(MemberRow {
                address: own.local_address().unwrap(),
                capacity: 1,
                instance: NAMES[0].into(),
                zone: zone.clone(),
            })
            .build();
        tokio::spawn(exchange.run(client.open().unwrap()));
        let [first, second] = fakes;
        Self {
            client,
            _endpoint: own,
            first,
            scope: PlaceScope {
                cell: 0,
                service: service_of(["front-1", "front-2", "front-0"]),
                zone,
            },
            second,
        }
    }

    async fn find(&self, key: &str) -> PlaceReply {
        let until = Instant::now() + LIMIT;
        let trace = trace();
        let finding = self.client.find(&self.scope, request(key), until, &trace);
        time::timeout(LIMIT, finding).await.unwrap().reply
    }

    fn hold(&self, key: &str) -> HeldPlace {
        let stream = held(key);
        HeldPlace::new(self.client.clone(), self.scope.clone(), stream)
    }
}

/// A service whose schedulers are chosen in this order.
fn service_of(order: [&str; 3]) -> ServiceId {
    let mut names = (0..).map(|number| format!("redactor-{number}"));
    let is_ordered = |name: &String| {
        let score = |instance: &str| seeded_rng::rendezvous_score(&format!("{name}/0"), instance);
        order.map(score).is_sorted_by(|left, right| left > right)
    };
    names.find(is_ordered).unwrap().into()
}

fn granted() -> PlaceReply {
    PlaceReply::Granted(PlaceGrant {
        engine: "i-1".into(),
        prefill: None,
        reserve: 5_000,
    })
}

fn need() -> StreamNeed {
    StreamNeed {
        hint: Some(400),
        max_output: 800,
        prompt: 1_460,
    }
}

fn held(key: &str) -> HeldStream {
    HeldStream {
        customer: None,
        engine: "i-1".into(),
        events: None,
        key: key.into(),
        need: need(),
        work: "note".into(),
    }
}

fn request(key: &str) -> PlaceRequest {
    PlaceRequest {
        target_left: Duration::from_millis(900),
        ..place_support::request(key, need(), LIMIT)
    }
}

fn trace() -> RequestTrace {
    let context = TraceContext {
        customer: None,
        list_age: Duration::ZERO,
        pause: None,
        service: "redactor".into(),
        target: LIMIT,
        version: 1,
        work: "note".into(),
    };
    RequestTrace::new("a".into(), Instant::now(), context)
}

async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(time::timeout(LIMIT, waiting).await.is_ok(), "{what}");
}

/// Guards against an instance that stands still with its scheduler, or never asks the next one.
#[tokio::test]
async fn a_silent_scheduler_is_replaced_by_the_next_one_and_asked_again_once_it_answers() {
    let trial = Trial::start().await;
    assert_eq!(trial.find("a").await, granted());
    trial.first.set(Behaviour::Silent);
    for key in ["b", "c"] {
        let began = Instant::now();
        assert_eq!(trial.find(key).await, PlaceReply::Unknown);
        assert!(began.elapsed() < UNANSWERED_LIMIT, "{:?}", began.elapsed());
    }
    assert_eq!(trial.find("d").await, granted());
    assert_eq!(trial.second.submits(), 1);
    let before = trial.first.submits();
    trial.first.set(Behaviour::Answers(granted()));
    let asked_again = async {
        while trial.first.submits() == before {
            assert_eq!(trial.find("e").await, granted());
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(LIMIT, asked_again).await.unwrap();
}

/// Guards against a place that a scheduler keeps for a request that went on without its answer.
#[tokio::test]
async fn a_late_answer_counts_as_none_and_the_place_is_given_back() {
    let trial = Trial::start().await;
    trial.find("a").await;
    trial.first.set(Behaviour::Late(Duration::from_millis(250)));
    assert_eq!(trial.find("late").await, PlaceReply::Unknown);
    let left = PlaceNote::Left("late".into());
    wait_until("the request's leave", || {
        trial.first.notes().contains(&left)
    })
    .await;
}

/// Guards against a waiting request that stays in the queue after its caller has left.
#[tokio::test]
async fn a_caller_that_leaves_while_queued_is_reported() {
    let trial = Trial::start().await;
    trial.find("a").await;
    trial.first.set(Behaviour::Answers(PlaceReply::Queued));
    let finding = time::timeout(Duration::from_millis(200), trial.find("queued"));
    assert!(finding.await.is_err(), "the request is queued");
    let left = PlaceNote::Left("queued".into());
    wait_until("the request's leave", || {
        trial.first.notes().contains(&left)
    })
    .await;
    assert!(trial.first.submits() > 2, "a queued request asks again");
}

/// Guards against a scheduler that begins anew and takes engines for empty that are full.
#[tokio::test]
async fn a_scheduler_that_begins_anew_is_told_of_all_places() {
    let trial = Trial::start().await;
    trial.find("a").await;
    let (running, waiting) = (trial.hold("running"), trial.hold("waiting"));
    running.began();
    running.note_events(7);
    let began = PlaceNote::Began("running".into());
    wait_until("the beginning", || trial.first.notes().contains(&began)).await;
    {
        let mut state = trial.first.state.lock().unwrap();
        state.life = 2;
        state.notes.clear();
    }
    trial.find("b").await;
    let announced = [
        PlaceNote::Holds(HeldStream {
            events: Some(7),
            ..held("running")
        }),
        PlaceNote::Holds(held("waiting")),
    ];
    wait_until("the announcement", || {
        let notes = trial.first.notes();
        announced.iter().all(|place| notes.contains(place))
    })
    .await;
    drop((running, waiting));
}

/// Guards against reports that overtake each other or are lost with one call: a place would stay taken.
#[tokio::test]
async fn reports_arrive_in_order_though_a_call_is_lost() {
    let trial = Trial::start().await;
    trial.first.state.lock().unwrap().refused_notes = 1;
    let place = trial.hold("a");
    place.began();
    time::sleep(Duration::from_millis(60)).await;
    place.note_events(3);
    place.close(true);
    drop(trial.hold("b"));
    let expected = [
        PlaceNote::Began("a".into()),
        PlaceNote::Ended {
            events: 3,
            is_whole: true,
            key: "a".into(),
        },
        PlaceNote::Released("b".into()),
    ];
    let without_announcements = || -> Vec<PlaceNote> {
        let notes = trial.first.notes().into_iter();
        notes
            .filter(|note| !matches!(note, PlaceNote::Holds(_)))
            .collect()
    };
    wait_until("all reports", || without_announcements() == expected).await;
    assert_eq!(trial.client.held_count(), 0);
}
