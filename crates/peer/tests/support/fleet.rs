//! Simulates several membership state machines in virtual time, over a network with loss, duplication, delay and
//! partitions.

#![allow(dead_code, reason = "each test file takes the part that it needs")]

use {
    kernel::{InstanceId, TableVersion, UpstreamId},
    peer::{
        ListedMember, MemberAction, MemberEvent, MemberMessage, MemberSettings, MemberState,
        MemberTable, MemberUpdate, PeerIdentity, TableRevision, wire,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    route::load_report::LeavingCause,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const BASE_DELAY: Duration = Duration::from_millis(1);
const FROZEN_INBOX: usize = 200;

enum Delivery {
    Message { body: Vec<u8>, from: PeerIdentity },
    Table(TableRevision),
}

/// One process; `table` is `None` while it is stopped.
pub(crate) struct Node {
    pub(crate) frozen: bool,
    inbox: Vec<Delivery>,
    offset: Duration,
    rate: f64,
    side: u8,
    pub(crate) table: Option<MemberTable>,
}

/// The incarnations and the version that a process had at the last check; none may decrease.
#[derive(Default)]
struct Watermark {
    incarnations: BTreeMap<InstanceId, u64>,
    version: TableVersion,
}

pub(crate) struct Fleet {
    base: Instant,
    pub(crate) head: TableVersion,
    pub(crate) jitter: Duration,
    pub(crate) loss: f64,
    pub(crate) updates: Vec<(usize, Duration, MemberUpdate)>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Duration,
    queue: BTreeMap<(Duration, u64), (usize, Delivery)>,
    pub(crate) pulls_lost: Option<usize>,
    pub(crate) repeats: f64,
    rng: Pcg64Mcg,
    serial: u64,
    settings: MemberSettings,
    reported_up: Vec<BTreeSet<InstanceId>>,
    watermarks: Vec<Watermark>,
    pub(crate) zones: usize,
}

impl Fleet {
    pub(crate) fn new(count: usize, zones: usize, settings: MemberSettings, seed: u64) -> Self {
        let mut fleet = Self {
            base: Instant::now(),
            head: 1,
            jitter: Duration::from_millis(2),
            loss: 0.0,
            updates: Vec::new(),
            nodes: Vec::new(),
            now: Duration::from_secs(1_000),
            queue: BTreeMap::new(),
            pulls_lost: None,
            repeats: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            serial: 0,
            settings,
            reported_up: vec![BTreeSet::new(); count],
            watermarks: Vec::new(),
            zones,
        };
        for index in 0..count {
            fleet.add_node(index);
        }
        for index in 0..count {
            fleet.start(index, 0);
        }
        fleet
    }

    fn add_node(&mut self, index: usize) {
        self.nodes.push(Node {
            frozen: false,
            inbox: Vec::new(),
            offset: Duration::from_millis(self.rng.random_range(0..500_000)),
            rate: 1.0 + self.rng.random_range(-0.02..0.02),
            side: 0,
            table: None,
        });
        assert_eq!(self.nodes.len(), index + 1);
        self.watermarks.push(Watermark::default());
    }

    pub(crate) fn name(&self, index: usize) -> InstanceId {
        format!("node-{index:04}").into()
    }

    /// A process's wall clock in microseconds, skewed by its offset.
    fn wall(&self, index: usize) -> u64 {
        (self.now + self.nodes[index].offset).as_micros() as u64
    }

    fn local(&self, index: usize) -> Instant {
        let node = &self.nodes[index];
        self.base + node.offset + self.now.mul_f64(node.rate)
    }

    fn wake(&self, index: usize) -> Option<Duration> {
        let node = &self.nodes[index];
        if node.frozen {
            return None;
        }
        let wake = node.table.as_ref()?.next_wake();
        let local = wake.saturating_duration_since(self.base + node.offset);
        // Rounds up, so that no wake-up comes early.
        Some(local.div_f64(node.rate) + Duration::from_micros(1))
    }

    /// Starts a process whose wall clock is behind by `back` microseconds.
    pub(crate) fn start(&mut self, index: usize, back: u64) {
        let incarnation = self.wall(index).saturating_sub(back);
        let zone = format!("zone-{:02}", index % self.zones);
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        let name = self.name(index);
        let identity = MemberTable::identity(name, incarnation, zone.into(), address);
        let now = self.local(index);
        let settings = self.settings.clone();
        self.nodes[index].table = Some(MemberTable::new(now, identity, BTreeSet::new(), settings));
        self.nodes[index].frozen = false;
        self.nodes[index].inbox.clear();
        self.reported_up[index].clear();
        self.watermarks[index] = Watermark::default();
        let mut members = Vec::new();
        for other in 0..self.nodes.len() {
            members.push(ListedMember {
                address,
                instance: self.name(other),
                leaving: false,
            });
        }
        self.feed(index, MemberEvent::Listed(members));
        self.feed(index, MemberEvent::State(MemberState::Serving));
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.nodes[index].table = None;
        self.nodes[index].frozen = false;
        self.nodes[index].inbox.clear();
    }

    pub(crate) fn close(&mut self, index: usize) {
        self.feed(index, MemberEvent::Close);
        self.crash(index);
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for delivery in std::mem::take(&mut self.nodes[index].inbox) {
            self.deliver(index, delivery);
        }
    }

    /// Partitions the network: nodes whose bit is set are on the other side.
    pub(crate) fn partition(&mut self, mask: u64) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.side = u8::from(mask >> (index % 64) & 1 == 1);
        }
    }

    pub(crate) fn edit(&mut self, index: usize) {
        self.head += 1;
        let revision = revision(self.head);
        self.feed(index, MemberEvent::Table(revision));
    }

    pub(crate) fn mark(&mut self, index: usize, upstream: &str) {
        let cause = Some(LeavingCause::Failed);
        let upstream: UpstreamId = upstream.into();
        self.feed(index, MemberEvent::Mark { cause, upstream });
    }

    pub(crate) fn feed(&mut self, index: usize, event: MemberEvent) {
        let now = self.local(index);
        let mut actions = Vec::new();
        let Some(table) = self.nodes[index].table.as_mut() else {
            return;
        };
        table.on_event(now, event, &mut actions);
        let from = PeerIdentity {
            incarnation: table.incarnation(),
            instance: table.instance().clone(),
        };
        for action in actions {
            self.execute(index, &from, action);
        }
    }

    fn execute(&mut self, index: usize, from: &PeerIdentity, action: MemberAction) {
        match action {
            MemberAction::Notify(update) => self.record_update(index, update),
            MemberAction::Pull { from, .. } => self.pull(index, &from),
            MemberAction::Refuse(_) => {}
            MemberAction::Renew { above } => {
                let incarnation = self.wall(index).max(above + 1);
                self.feed(index, MemberEvent::Renewed(incarnation));
            }
            MemberAction::Send { message, to } => self.send(index, from, &message, &to),
        }
    }

    /// Tracks the members that a subscriber to the updates considers up.
    fn record_update(&mut self, index: usize, update: MemberUpdate) {
        let reported_up = &mut self.reported_up[index];
        match &update {
            MemberUpdate::MemberUnreachable { instance } => {
                reported_up.remove(instance);
            }
            MemberUpdate::MemberDead { instance, .. } => {
                reported_up.remove(instance);
            }
            MemberUpdate::MemberUp(record) => {
                reported_up.insert(record.instance.clone());
            }
            _ => {}
        }
        self.updates.push((index, self.now, update));
    }

    fn pull(&mut self, index: usize, from: &str) {
        let from = self.index(from);
        if self.pulls_lost == Some(index) {
            return;
        }
        if self.nodes[from].side != self.nodes[index].side || self.nodes[from].frozen {
            return;
        }
        let Some(table) = &self.nodes[from].table else {
            return;
        };
        let revision = table.table();
        self.post(index, Delivery::Table(revision));
    }

    fn send(
        &mut self,
        index: usize,
        from: &PeerIdentity,
        message: &MemberMessage,
        to: &[InstanceId],
    ) {
        let body = wire::encode(message).unwrap().to_vec();
        for name in to {
            let target = self.index(name);
            if self.nodes[target].side != self.nodes[index].side {
                continue;
            }
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(self.repeats));
            for _ in 0..copies {
                let from = from.clone();
                let body = body.clone();
                self.post(target, Delivery::Message { body, from });
            }
        }
    }

    fn post(&mut self, target: usize, delivery: Delivery) {
        let jitter = self.jitter.mul_f64(self.rng.random::<f64>());
        self.serial += 1;
        let key = (self.now + BASE_DELAY + jitter, self.serial);
        self.queue.insert(key, (target, delivery));
    }

    fn index(&self, name: &str) -> usize {
        name["node-".len()..].parse().unwrap()
    }

    fn deliver(&mut self, target: usize, delivery: Delivery) {
        let node = &mut self.nodes[target];
        if node.frozen {
            if node.inbox.len() < FROZEN_INBOX {
                node.inbox.push(delivery);
            }
            return;
        }
        let event = match delivery {
            Delivery::Message { body, from } => MemberEvent::Message {
                from,
                message: wire::decode(&body).unwrap(),
            },
            Delivery::Table(revision) => MemberEvent::Table(revision),
        };
        self.feed(target, event);
    }

    /// Advances virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wakes = (0..self.nodes.len()).filter_map(|index| Some((self.wake(index)?, index)));
            let wake = wakes.min();
            let post = self.queue.keys().next().map(|key| key.0);
            let next = wake.map(|wake| wake.0).into_iter().chain(post).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if post == Some(next) {
                let (_, (target, delivery)) = self.queue.pop_first().unwrap();
                self.deliver(target, delivery);
                continue;
            }
            self.feed(wake.unwrap().1, MemberEvent::Tick);
        }
        self.now = end;
    }

    /// Ends all faults except stopped processes.
    pub(crate) fn heal(&mut self) {
        self.partition(0);
        self.loss = 0.0;
        self.repeats = 0.0;
        for index in 0..self.nodes.len() {
            self.thaw(index);
        }
    }

    pub(crate) fn live(&self) -> Vec<(usize, &MemberTable)> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter_map(|(index, node)| Some((index, node.table.as_ref()?)))
            .collect()
    }

    /// Checks that incarnations and versions never decrease while a process runs.
    pub(crate) fn check_monotonic(&mut self) {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(table) = &node.table else {
                continue;
            };
            let watermark = &mut self.watermarks[index];
            assert!(
                table.table().version >= watermark.version,
                "version decreased at {index}"
            );
            watermark.version = table.table().version;
            for record in table.members().all() {
                let known = watermark
                    .incarnations
                    .entry(record.instance.clone())
                    .or_default();
                assert!(
                    record.incarnation >= *known,
                    "incarnation decreased at {index}: {record:?}"
                );
                *known = record.incarnation;
            }
        }
    }

    /// Checks that all live processes have exactly each other as members, in their current incarnations, and agree on
    /// table and marks.
    pub(crate) fn check_agreement(&self) {
        let live = self.live();
        let mut expected = BTreeSet::new();
        for (_, table) in &live {
            assert!(!table.is_stale(), "{} is stale", table.instance());
            expected.insert((table.instance().clone(), table.incarnation()));
        }
        let now = self.local(live[0].0);
        let marks = mark_names(live[0].1, now);
        for (index, table) in &live {
            let heard: BTreeSet<_> = table
                .heard()
                .map(|record| (record.instance.clone(), record.incarnation))
                .collect();
            assert_eq!(heard, expected, "members at {index}");
            let mut reported_up = self.reported_up[*index].clone();
            reported_up.insert(table.instance().clone());
            let names = expected.iter().map(|(instance, _)| instance.clone());
            assert_eq!(reported_up, names.collect(), "updates at {index}");
            assert_eq!(table.table(), revision(self.head), "table at {index}");
            assert_eq!(
                mark_names(table, self.local(*index)),
                marks,
                "marks at {index}"
            );
        }
    }
}

/// The table revision of a version.
pub(crate) fn revision(version: TableVersion) -> TableRevision {
    TableRevision {
        digest: version * 31,
        version,
    }
}

pub(crate) fn mark_names(table: &MemberTable, now: Instant) -> BTreeSet<(UpstreamId, InstanceId)> {
    let marks = table.marks(now);
    marks
        .into_iter()
        .map(|mark| (mark.upstream, mark.by))
        .collect()
}
