//! Many instances call a plain service of three upstreams, each of which sees its own calls only.

use {
    kernel::{ServiceId, UpstreamId, WorkId, ZoneId, seeded_rng},
    policy::{CallVerdict, ChoiceQuery, UpstreamRecord, UpstreamStage, UpstreamTable, ZoneFilter},
    std::{
        collections::{BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

const AIM_MS: u64 = 120;
const INSTANCES: usize = 81;
const QUEUE: usize = 24;
const SLOTS: usize = 6;
const WORK_MS: f64 = 15.0;
const ZONES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Copy, Debug)]
struct Call {
    began: u64,
    instance: usize,
    work: u64,
}

/// An upstream that runs some calls at a time, queues a few and refuses the rest.
#[derive(Debug, Default)]
struct Replica {
    queue: VecDeque<Call>,
    running: Vec<(u64, Call)>,
}

impl Replica {
    fn accepts(&self) -> bool {
        self.running.len() < SLOTS || self.queue.len() < QUEUE
    }

    /// The calls that end at `at`; `factor` is how many times as long as usual calls take that start now.
    fn step(&mut self, at: u64, factor: u64) -> Vec<Call> {
        let (ended, running) = self.running.iter().partition(|(end, _)| *end <= at);
        self.running = running;
        while self.running.len() < SLOTS {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            self.running.push((at + call.work * factor, call));
        }
        let ended: Vec<(u64, Call)> = ended;
        ended.into_iter().map(|(_, call)| call).collect()
    }
}

fn record(zone: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], u16::from(zone.as_bytes()[0])).into(),
        cold_for: Duration::ZERO,
        id: zone.into(),
        leaving: false,
        name: zone.into(),
        report_number: None,
        service: "s".into(),
        slots: SLOTS as u32,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: zone.into(),
    }
}

fn draw(seed: u64, at: u64, number: u64) -> f64 {
    let mut bytes = at.to_le_bytes().to_vec();
    bytes.extend(number.to_le_bytes());
    seeded_rng::mix(seed, &bytes) as f64 / u64::MAX as f64
}

/// How many of all calls ended within the aim, in ten seconds at `per_ms` calls a millisecond, while calls take
/// `factors` times as long as usual at the upstreams. `notes` is whether the instances learn how long calls took.
fn share_in_aim(per_ms: f64, factors: [u64; 3], notes: bool) -> f64 {
    let start = Instant::now();
    let service: ServiceId = "s".into();
    let work: WorkId = "w".into();
    let mut tables: Vec<UpstreamTable> = Vec::new();
    for index in 0..INSTANCES {
        let mut table = UpstreamTable::new(format!("i-{index}").into());
        table.replace(&ZONES.map(record), None, start);
        tables.push(table);
    }
    let mut replicas: [Replica; 3] = Default::default();
    let (mut asked, mut in_aim) = (0_u64, 0_u64);
    // The first seconds are without the slowdown.
    for at in 0..13_000_u64 {
        let now = start + Duration::from_millis(at);
        let is_slow = at >= 3_000;
        for (index, replica) in replicas.iter_mut().enumerate() {
            let factor = if is_slow { factors[index] } else { 1 };
            for call in replica.step(at, factor) {
                let took = at - call.began;
                let id: UpstreamId = ZONES[index].into();
                let table = &mut tables[call.instance];
                table.end(&id, 0, CallVerdict::Answered, now);
                if notes {
                    table.note_answer(&id, &work, Duration::from_millis(took), now);
                }
                if is_slow && took <= AIM_MS {
                    in_aim += 1;
                }
            }
        }
        if draw(1, at, 0) >= per_ms {
            continue;
        }
        if is_slow {
            asked += 1;
        }
        let instance = (draw(2, at, 0) * INSTANCES as f64) as usize;
        let zone: ZoneId = ZONES[instance % 3].into();
        let length = WORK_MS * (0.5 + draw(3, at, 0));
        let call = Call {
            began: at,
            instance,
            work: length as u64,
        };
        let mut tried: Vec<UpstreamId> = Vec::new();
        while tried.len() < 2 {
            let query = ChoiceQuery {
                avoid: &tried,
                connected: &BTreeSet::new(),
                filter: &ZoneFilter::default(),
                holders: &[],
                request: &at.to_string(),
                service: &service,
                software: None,
                stage: UpstreamStage::Plain,
                zone: &zone,
            };
            let table = &mut tables[instance];
            let chosen = table.choose(&query, now).expect("an upstream");
            let replica = ZONES.iter().position(|zone| *zone == &*chosen.id);
            let replica = &mut replicas[replica.expect("a known upstream")];
            table.begin(&chosen.id, 0);
            if replica.accepts() {
                replica.queue.push_back(call);
                break;
            }
            table.end(&chosen.id, 0, CallVerdict::Full, now);
            tried.push(chosen.id.clone());
        }
    }
    in_aim as f64 / asked as f64
}

/// An upstream that is slow but not full refuses nothing, and no instance has enough calls there to see a queue.
#[test]
fn calls_leave_an_upstream_that_has_become_slow() {
    let without = share_in_aim(0.45, [4, 1, 1], false);
    let with = share_in_aim(0.45, [4, 1, 1], true);
    assert!(without < 0.8, "the load does not show the fault: {without}");
    assert!(with > 0.95, "{with} of the calls are in time");
}

/// When all upstreams are equally slow there is nothing to be gained elsewhere.
#[test]
fn calls_stay_in_their_zone_when_all_upstreams_are_equal() {
    for per_ms in [0.2, 0.45] {
        let with = share_in_aim(per_ms, [1, 1, 1], true);
        assert!(with > 0.99, "{with} of the calls are in time");
    }
}

fn query<'a>(
    service: &'a ServiceId,
    zone: &'a ZoneId,
    filter: &'a ZoneFilter,
    connected: &'a BTreeSet<UpstreamId>,
) -> ChoiceQuery<'a> {
    ChoiceQuery {
        avoid: &[],
        connected,
        filter,
        holders: &[],
        request: "r",
        service,
        software: None,
        stage: UpstreamStage::Plain,
        zone,
    }
}

/// Otherwise an upstream that was slow once would never be used again.
#[test]
fn a_slow_upstream_is_tried_again_after_some_seconds() {
    let start = Instant::now();
    let (service, zone): (ServiceId, ZoneId) = ("s".into(), "a".into());
    let (filter, connected) = (ZoneFilter::default(), BTreeSet::new());
    let query = query(&service, &zone, &filter, &connected);
    let mut table = UpstreamTable::new("i".into());
    table.replace(&ZONES.map(record), None, start);
    let work: WorkId = "w".into();
    let usual = Duration::from_millis(20);
    for _ in 0..20 {
        table.note_answer(&"a".into(), &work, usual, start);
    }
    for _ in 0..8 {
        table.note_answer(&"a".into(), &work, usual * 6, start);
    }
    let chosen = |now: Instant| table.choose(&query, now).map(|record| record.id.clone());
    assert_ne!(chosen(start).as_deref(), Some("a"));
    let later = start + Duration::from_secs(4);
    assert_eq!(chosen(later).as_deref(), Some("a"));
}

/// A single long request says little about its upstream.
#[test]
fn one_long_request_moves_no_calls() {
    let start = Instant::now();
    let (service, zone): (ServiceId, ZoneId) = ("s".into(), "a".into());
    let (filter, connected) = (ZoneFilter::default(), BTreeSet::new());
    let query = query(&service, &zone, &filter, &connected);
    let mut table = UpstreamTable::new("i".into());
    table.replace(&ZONES.map(record), None, start);
    let usual = Duration::from_millis(20);
    for _ in 0..20 {
        table.note_answer(&"a".into(), &"w".into(), usual, start);
    }
    table.note_answer(&"a".into(), &"w".into(), usual * 50, start);
    let chosen = table.choose(&query, start).map(|record| record.id.clone());
    assert_eq!(chosen.as_deref(), Some("a"));
}

/// Work that always takes long is no sign of a slow upstream.
#[test]
fn kinds_of_work_are_compared_with_their_own() {
    let start = Instant::now();
    let (service, zone): (ServiceId, ZoneId) = ("s".into(), "a".into());
    let (filter, connected) = (ZoneFilter::default(), BTreeSet::new());
    let query = query(&service, &zone, &filter, &connected);
    let mut table = UpstreamTable::new("i".into());
    table.replace(&ZONES.map(record), None, start);
    for _ in 0..20 {
        table.note_answer(
            &"a".into(),
            &"short".into(),
            Duration::from_millis(5),
            start,
        );
        table.note_answer(
            &"a".into(),
            &"long".into(),
            Duration::from_millis(500),
            start,
        );
    }
    let chosen = table.choose(&query, start).map(|record| record.id.clone());
    assert_eq!(chosen.as_deref(), Some("a"));
}
