//! Membership cores of many instances in virtual time, over links that neither lose nor reorder.

use {
    kernel::InstanceId,
    peer::{
        ListedMember, MemberAction, MemberEvent, MemberMessage, MemberSettings, MemberState,
        MemberTable, MemberUpdate, PeerIdentity, TableRevision,
        peer_driver::MEMBER_TAG,
        wire::{self, MessageHeader, MessageKind},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const LINK_DELAY: Duration = Duration::from_millis(1);
const PULL_DELAY: Duration = Duration::from_millis(3);
const SEEDS: usize = 3;

enum Delivery {
    Message {
        body: bytes::Bytes,
        from: PeerIdentity,
    },
    Table(TableRevision),
}

/// What the fleet sent and did.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCounts {
    /// Bytes of messages with their heads, without those of QUIC, UDP and IP.
    pub bytes: u64,
    /// Messages.
    pub messages: u64,
    /// Pulls of the table.
    pub pulls: u64,
}

/// Many cores and their links.
pub struct MemberFleet {
    /// What was sent so far.
    pub counts: FleetCounts,
    /// When the last core took the newest version.
    pub in_force: Instant,
    /// When a core last heard of a mark.
    pub marked: Instant,
    cores: Vec<MemberTable>,
    names: Vec<InstanceId>,
    now: Instant,
    queue: BTreeMap<(Instant, u64), (usize, Delivery)>,
    serial: u64,
    version: u64,
    wakes: BTreeSet<(Instant, usize)>,
}

impl MemberFleet {
    /// Cores in zones of equal size that know three seeds each.
    pub fn new(count: usize, zones: usize, settings: &MemberSettings) -> Self {
        let now = Instant::now();
        let names: Vec<InstanceId> = (0..count)
            .map(|index| format!("entry-{index:04}").into())
            .collect();
        let mut fleet = Self {
            cores: Vec::with_capacity(count),
            counts: FleetCounts::default(),
            in_force: now,
            marked: now,
            names,
            now,
            queue: BTreeMap::new(),
            serial: 0,
            version: 0,
            wakes: BTreeSet::new(),
        };
        for index in 0..count {
            let core = fleet.make_core(index, zones, settings);
            fleet.cores.push(core);
        }
        for index in 0..count {
            // Starts are spread over one interval, so that the fleet does not beat in step.
            let start = now
                + settings
                    .heartbeat_interval
                    .mul_f64(index as f64 / count as f64);
            fleet.queue.insert(
                (start, fleet.serial),
                (index, Delivery::Table(TableRevision::default())),
            );
            fleet.serial += 1;
        }
        fleet
    }

    fn make_core(&self, index: usize, zones: usize, settings: &MemberSettings) -> MemberTable {
        let zone = format!("zone-{:02}", index % zones);
        let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000));
        let identity = MemberTable::identity(
            self.names[index].clone(),
            1_700_000_000_000_000,
            zone.into(),
            address,
        );
        MemberTable::new(self.now, identity, BTreeSet::new(), settings.clone())
    }

    /// How many cores there are.
    pub fn len(&self) -> usize {
        self.cores.len()
    }

    /// Whether there is no core.
    pub fn is_empty(&self) -> bool {
        self.cores.is_empty()
    }

    /// The core of one instance.
    pub fn core(&self, index: usize) -> &MemberTable {
        &self.cores[index]
    }

    /// The virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Tells every core its seeds and that it serves.
    pub fn begin(&mut self) {
        for index in 0..self.cores.len() {
            let mut seeds = Vec::new();
            for seed in 0..SEEDS.min(self.names.len()) {
                seeds.push(ListedMember {
                    address: SocketAddr::from(([10, 0, 0, seed as u8], 7_000)),
                    instance: self.names[seed].clone(),
                    leaving: false,
                });
            }
            self.feed(index, MemberEvent::Listed(seeds));
            self.feed(index, MemberEvent::State(MemberState::Serving));
        }
    }

    /// A new table version at one core.
    pub fn edit(&mut self, index: usize) {
        self.version += 1;
        let mark = TableRevision {
            digest: self.version,
            version: self.version,
        };
        self.feed(index, MemberEvent::Table(mark));
    }

    /// One event at one core.
    pub fn feed(&mut self, index: usize, event: MemberEvent) {
        let mut actions = Vec::new();
        let core = &mut self.cores[index];
        self.wakes.remove(&(core.next_wake(), index));
        let version = core.table().version;
        core.on_event(self.now, event, &mut actions);
        self.wakes.insert((core.next_wake(), index));
        if core.table().version != version {
            self.in_force = self.now;
        }
        let from = PeerIdentity {
            incarnation: core.incarnation(),
            instance: core.instance().clone(),
        };
        for action in actions {
            self.carry_out(index, &from, action);
        }
    }

    fn carry_out(&mut self, index: usize, from: &PeerIdentity, action: MemberAction) {
        match action {
            MemberAction::Send { message, to } => self.send(from, &message, &to),
            MemberAction::Pull { from, .. } => {
                self.counts.pulls += 1;
                let mark = self.cores[self.index(&from)].table();
                self.post(PULL_DELAY, index, Delivery::Table(mark));
            }
            MemberAction::Notify(MemberUpdate::Marked(_)) => self.marked = self.now,
            _ => {}
        }
    }

    fn send(&mut self, from: &PeerIdentity, message: &MemberMessage, to: &[InstanceId]) {
        let Ok(body) = wire::encode(message) else {
            return;
        };
        for name in to {
            let head = MessageHeader {
                from: from.clone(),
                kind: MessageKind::Message,
                tag: MEMBER_TAG,
            };
            let Ok(whole) = wire::encode_message(&head, &body) else {
                continue;
            };
            self.counts.bytes += whole.len() as u64;
            self.counts.messages += 1;
            let target = self.index(name);
            let delivery = Delivery::Message {
                body: body.clone(),
                from: from.clone(),
            };
            self.post(LINK_DELAY, target, delivery);
        }
    }

    fn post(&mut self, delay: Duration, target: usize, delivery: Delivery) {
        self.serial += 1;
        self.queue
            .insert((self.now + delay, self.serial), (target, delivery));
    }

    fn index(&self, name: &str) -> usize {
        name["entry-".len()..].parse().unwrap_or_default()
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wake = self.wakes.first().map(|wake| wake.0);
            let post = self.queue.keys().next().map(|key| key.0);
            let Some(next) = wake
                .into_iter()
                .chain(post)
                .min()
                .filter(|next| *next <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if post == Some(next) {
                self.deliver_first();
                continue;
            }
            let Some((_, index)) = self.wakes.first().copied() else {
                break;
            };
            self.feed(index, MemberEvent::Tick);
        }
        self.now = end;
    }

    fn deliver_first(&mut self) {
        let Some((_, (target, delivery))) = self.queue.pop_first() else {
            return;
        };
        let event = match delivery {
            Delivery::Message { body, from } => {
                let Ok(message) = wire::decode(&body) else {
                    return;
                };
                MemberEvent::Message { from, message }
            }
            Delivery::Table(mark) => MemberEvent::Table(mark),
        };
        self.feed(target, event);
    }
}
