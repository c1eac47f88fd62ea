//! A model of the instances in virtual time, driven the same way as by the network driver.

#![allow(unreachable_pub, reason = "a module of one test file")]

use {
    kernel::{InstanceId, ZoneId},
    policy::{AgedReport, CrashMark, CrashReport, RequestContent, StoreVersion, SuspectId},
    relay::{RouteTable, UpstreamSnapshot},
    spread::{
        JournalPosition, ListDigest, MemberRow, ReadFailure, ReadStep, ReaderElection,
        ReportJournal, ReportOrigin, ReportUpdate, RequesterState, SpreadReply, SpreadRequest,
        SpreadState, SpreadTimes,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Longer than any run.
const QUARANTINE: Duration = Duration::from_secs(600);
const TICK: Duration = Duration::from_millis(5);
/// Base delay from killing a process to its restart; it differs per instance when all are killed.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Delay of the driver after an error.
const ERROR_DELAY: Duration = Duration::from_millis(20);
/// Delay of the driver after an instance without an update, unless this instance is due to try the
/// store earlier.
const NO_UPDATE_DELAY: Duration = Duration::from_millis(300);

/// The version of the store at the start.
const FIRST_VERSION: u64 = 1_000_000;
/// How far the versions go back with each restore.
const VERSIONS_LOST: u64 = 8_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Refuses,
    Serves,
    Silent,
    Slow,
}

#[derive(Clone, Debug)]
pub enum FleetFault {
    CutZone(usize, Duration),
    Die(usize),
    /// An upstream crashes while it runs a request of this instance.
    Crash(usize),
    Freeze(usize, Duration),
    Kill(usize),
    KillAll,
    KillReader(usize),
    /// The store comes back from an older copy: its versions go back, and its reports are gone.
    Restore,
    /// How the store behaves towards a range of instances.
    Store(StoreMode, usize, usize, Duration),
}

impl FleetFault {
    /// How long the fault lasts.
    pub fn span(&self) -> Duration {
        match self {
            Self::CutZone(_, span) | Self::Freeze(_, span) | Self::Store(_, _, _, span) => *span,
            Self::Die(_)
            | Self::Crash(_)
            | Self::Kill(_)
            | Self::KillAll
            | Self::KillReader(_)
            | Self::Restore => RESTART_DELAY * 2,
        }
    }
}

#[derive(Debug)]
enum Activity {
    Asking(PendingCall),
    Idle,
    Waiting(Instant),
    Reading {
        began: Instant,
        done: Instant,
        is_read: bool,
    },
    /// The driver waits after an error.
    BackingOff(Instant),
}

#[derive(Debug)]
struct PendingCall {
    arrived: Option<u64>,
    is_immediate: bool,
    began: Instant,
    is_refused: bool,
    limit: Duration,
    update_age: Option<Duration>,
    reports: Vec<AgedReport>,
    reports_position: Option<JournalPosition>,
    state: RequesterState,
    /// Receiver and its incarnation.
    to: (usize, u32),
    /// When the request is abandoned because this instance is due to try the store.
    turn: Option<Instant>,
    /// How long earlier requests to the same instance were pending.
    waited: Duration,
}

#[derive(Debug)]
struct ModelInstance {
    activity: Activity,
    failed: bool,
    frozen_until: Instant,
    version: u64,
    is_notified: bool,
    incarnation: u32,
    election: ReaderElection,
    /// The instance that the reports came from, and the position in its journal.
    report_position: Option<(InstanceId, JournalPosition)>,
    row: MemberRow,
    starts_at: Option<Instant>,
    state: SpreadState,
    store: (StoreMode, Instant),
    /// Position up to which the reports in the store were read.
    store_position: Option<JournalPosition>,
    /// Reports that are not written to the store yet.
    unwritten: Vec<AgedReport>,
    /// Since when the instance runs and the store answers it.
    healthy_since: Instant,
}

/// All instances and the store.
#[derive(Debug)]
pub struct FleetModel {
    /// Time and zone of each call to the store.
    pub calls: Vec<(Instant, usize)>,
    cut_until: Vec<Instant>,
    /// All reports, with the instance that made each and its incarnation.
    crashes: Vec<(usize, u32, CrashReport)>,
    per_zone: usize,
    nodes: Vec<ModelInstance>,
    now: Instant,
    /// Number of requests between instances.
    pub requests: usize,
    rows: Vec<MemberRow>,
    start: Instant,
    /// How often the store came back from an older copy.
    era: u64,
    /// Reports in the store.
    store: ReportJournal,
    times: SpreadTimes,
}

impl FleetModel {
    pub fn new(zones: usize, per_zone: usize) -> Self {
        let now = Instant::now();
        let times = SpreadTimes::builder()
            .period(Duration::from_millis(900))
            .read_timeout(Duration::from_millis(700))
            .build();
        let mut rows = Vec::new();
        for zone in 0..zones {
            for number in 0..per_zone {
                rows.push(MemberRow {
                    address: ([127, 0, 0, 1], 7_000).into(),
                    capacity: 1 + u64::from(number % 10 == 0) * 40,
                    instance: InstanceId::from(format!("front-{zone}-{number}")),
                    zone: ZoneId::from(format!("zone-{zone}")),
                });
            }
        }
        let nodes = rows
            .iter()
            .map(|row| ModelInstance::new(row, &rows, times, now, 0));
        Self {
            calls: Vec::new(),
            cut_until: vec![now; zones],
            crashes: Vec::new(),
            era: 0,
            per_zone,
            nodes: nodes.collect(),
            now,
            requests: 0,
            start: now,
            store: ReportJournal::new(1, QUARANTINE),
            times,
            rows,
        }
    }

    /// Starts a fault.
    pub fn fault(&mut self, fault: &FleetFault) {
        let now = self.now;
        match fault {
            FleetFault::CutZone(zone, span) => self.cut_until[*zone] = now + *span,
            FleetFault::Die(node) => self.kill(*node, Duration::from_secs(1_000_000)),
            FleetFault::Crash(node) => self.crash_upstream(*node),
            FleetFault::Freeze(node, span) => self.nodes[*node].frozen_until = now + *span,
            FleetFault::Kill(node) => self.kill(*node, RESTART_DELAY),
            FleetFault::KillAll => {
                for node in 0..self.nodes.len() {
                    let spread = Duration::from_millis(40 * (node as u64 * 7 % 19));
                    self.kill(node, RESTART_DELAY + spread);
                }
            }
            FleetFault::KillReader(zone) => self.kill(self.reader(*zone), RESTART_DELAY),
            FleetFault::Restore => {
                self.era += 1;
                self.store = ReportJournal::new(self.era + 1, QUARANTINE);
            }
            FleetFault::Store(mode, from, to, span) => {
                for node in &mut self.nodes[*from..*to] {
                    node.store = (*mode, now + *span);
                }
            }
        }
    }

    /// Maximum number of calls of one zone in any second after the first start.
    pub fn max_calls_per_second(&self) -> usize {
        let mut max = 0;
        for zone in 0..self.cut_until.len() {
            let mut window: VecDeque<Instant> = VecDeque::new();
            let calls = self.calls.iter().filter(|(_, of)| *of == zone);
            for (at, _) in calls.filter(|(at, _)| *at > self.start + Duration::from_secs(1)) {
                window.push_back(*at);
                while window
                    .front()
                    .is_some_and(|first| *first + Duration::from_secs(1) <= *at)
                {
                    window.pop_front();
                }
                max = max.max(window.len());
            }
        }
        max
    }

    /// Number of running instances that lack a report whose finder has not restarted since.
    pub fn missing_report_count(&self) -> usize {
        let lasting = self.crashes.iter();
        let lasting =
            lasting.filter(|(node, incarnation, _)| self.nodes[*node].incarnation == *incarnation);
        let lasting: Vec<&CrashReport> = lasting.map(|(_, _, report)| report).collect();
        let running = self.nodes.iter().filter(|node| node.starts_at.is_none());
        let lacks = |node: &&ModelInstance| {
            let known = node.state.reports.updates_since(None, self.now).reports;
            let known: Vec<CrashReport> = known.into_iter().map(|aged| aged.report).collect();
            !lasting.iter().all(|report| known.contains(report))
        };
        running.filter(lacks).count()
    }

    /// Number of reports in the store.
    pub fn stored_report_count(&self) -> usize {
        self.store.updates_since(None, self.now).reports.len()
    }

    /// Age of the oldest data among running instances.
    pub fn oldest_data_age(&self) -> Duration {
        self.max_data_age(&self.nodes)
    }

    /// Age of the oldest data among instances that have been running, and answered by the store,
    /// for this long.
    pub fn oldest_data_age_of_healthy(&self, span: Duration) -> Duration {
        let healthy = self.nodes.iter();
        let healthy = healthy
            .filter(|node| node.starts_at.is_none() && node.healthy_since + span <= self.now);
        let version = healthy.map(|node| node.version).min();
        let now = self.millis(self.now);
        Duration::from_millis(now - version.unwrap_or(now))
    }

    /// Age of the oldest data among running instances of one zone.
    pub fn oldest_data_age_in(&self, zone: usize) -> Duration {
        let first = zone * self.per_zone;
        self.max_data_age(&self.nodes[first..first + self.per_zone])
    }

    fn max_data_age(&self, nodes: &[ModelInstance]) -> Duration {
        let running = nodes.iter().filter(|node| node.starts_at.is_none());
        let read = running.map(|node| node.version);
        let now = self.millis(self.now);
        Duration::from_millis(now - read.min().unwrap_or(now))
    }

    /// The reader of a zone.
    pub fn reader(&self, zone: usize) -> usize {
        let first = zone * self.per_zone;
        let mut running =
            (first..first + self.per_zone).filter(|node| self.nodes[*node].starts_at.is_none());
        let mut rows: Vec<MemberRow> = running
            .clone()
            .map(|node| self.rows[node].clone())
            .collect();
        rows.sort();
        let found = running.find(|node| {
            let row = &self.rows[*node];
            let mut election =
                ReaderElection::new(row.instance.clone(), row.zone.clone(), self.times);
            election.set_members(&rows, self.now);
            election.choose(self.now) == ReadStep::ReadStore
        });
        found.unwrap_or(first)
    }

    /// The first instances of a zone in reader order.
    pub fn readers(&self, zone: usize, count: usize) -> Vec<usize> {
        let first = zone * self.per_zone;
        let mut nodes: Vec<usize> = (first..first + self.per_zone).collect();
        let score = |node: &usize| self.rows[*node].score();
        nodes.sort_by(|left, right| score(right).total_cmp(&score(left)));
        nodes.truncate(count);
        nodes
    }

    /// Advances time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.update_health();
            for node in 0..self.nodes.len() {
                self.step(node);
            }
        }
    }

    fn update_health(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let (mode, until) = node.store;
            let answers = matches!(mode, StoreMode::Serves | StoreMode::Slow) || self.now >= until;
            let is_cut = self.now < self.cut_until[index / self.per_zone];
            let runs = node.starts_at.is_none() && self.now >= node.frozen_until;
            if !runs || !answers || is_cut {
                node.healthy_since = self.now;
            }
        }
    }

    fn crash_upstream(&mut self, index: usize) {
        let number = self.crashes.len();
        let report = CrashReport {
            suspect: SuspectId::request(&RequestContent {
                body: &[],
                caller: "team-7",
                host: "shop.example",
                method: "GET",
                target: &format!("/{number}"),
            }),
            mark: CrashMark::Early,
            upstream: format!("i-{number}").into(),
        };
        let node = &mut self.nodes[index];
        if node.starts_at.is_some() || self.now < node.frozen_until {
            return;
        }
        self.crashes.push((index, node.incarnation, report.clone()));
        let reports = [AgedReport::new(report)];
        node.state
            .reports
            .apply(&reports, ReportOrigin::Instance, self.now);
        node.is_notified = true;
        node.unwritten.extend(reports);
    }

    /// Writes reports to the store if it answers.
    fn write_reports(&mut self, index: usize) {
        let now = self.now;
        let is_cut = self.is_cut(index / self.per_zone);
        let node = &mut self.nodes[index];
        let (mode, until) = node.store;
        let serves = now >= until || matches!(mode, StoreMode::Serves | StoreMode::Slow);
        if is_cut || !serves {
            return;
        }
        let mut reports = std::mem::take(&mut node.unwritten);
        if node.state.reads_store {
            let missing = node.state.reports.unstored(now);
            node.state.reports.mark_stored(&missing);
            reports.extend(missing.into_iter().map(AgedReport::new));
        }
        self.store.apply(&reports, ReportOrigin::Instance, now);
    }

    fn kill(&mut self, node: usize, down: Duration) {
        let incarnation = self.nodes[node].incarnation + 1;
        let fresh = ModelInstance::new(
            &self.rows[node],
            &self.rows,
            self.times,
            self.now,
            incarnation,
        );
        let before = std::mem::replace(&mut self.nodes[node], fresh);
        let node = &mut self.nodes[node];
        node.starts_at = Some(self.now + down);
        node.store = before.store;
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from((at - self.start).as_millis()).unwrap()
    }

    fn is_cut(&self, zone: usize) -> bool {
        self.now < self.cut_until[zone]
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to_zone) = (from / self.per_zone, to / self.per_zone);
        let is_well = self.nodes[to].starts_at.is_none() && self.now >= self.nodes[to].frozen_until;
        is_well && (from == to_zone || !self.is_cut(from) && !self.is_cut(to_zone))
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.starts_at.is_some_and(|starts_at| now < starts_at) || now < node.frozen_until {
            return;
        }
        node.starts_at = None;
        self.write_reports(index);
        let node = &mut self.nodes[index];
        match std::mem::replace(&mut node.activity, Activity::Idle) {
            Activity::Asking(pending) => self.poll_answer(index, pending),
            Activity::Idle => self.begin(index),
            Activity::Waiting(until) if now >= until || std::mem::take(&mut node.is_notified) => {
                self.begin(index);
            }
            Activity::Reading {
                began,
                done,
                is_read,
            } if now >= done => self.finish_read(index, began, is_read),
            Activity::BackingOff(until) if now >= until => self.begin(index),
            other => node.activity = other,
        }
    }

    fn begin(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match node.election.choose(now) {
            ReadStep::AskPeer {
                is_immediate,
                limit,
                peer,
                turn,
            } => {
                let to = self
                    .rows
                    .iter()
                    .position(|row| row.instance == peer)
                    .unwrap();
                let incarnation = self.nodes[to].incarnation;
                self.requests += 1;
                let node = &mut self.nodes[index];
                let known = node.report_position.as_ref();
                let known = known.filter(|(of, _)| *of == peer).map(|(_, mark)| *mark);
                node.activity = Activity::Asking(PendingCall {
                    arrived: None,
                    is_immediate,
                    began: now,
                    is_refused: node.election.is_refused(),
                    limit,
                    update_age: node.election.update_age(now),
                    reports: node.state.reports.to_forward(now),
                    reports_position: known,
                    state: node.election.requester_state(now),
                    to: (to, incarnation),
                    turn,
                    waited: node.election.waited(&peer, now),
                });
            }
            ReadStep::Wait(_) if std::mem::take(&mut node.failed) => {
                node.activity = Activity::BackingOff(now + ERROR_DELAY);
            }
            ReadStep::Wait(until) => node.activity = Activity::Waiting(until),
            ReadStep::ReadStore => self.start_read(index),
        }
    }

    fn start_read(&mut self, index: usize) {
        let now = self.now;
        let zone = index / self.per_zone;
        let is_cut = self.is_cut(zone);
        let node = &mut self.nodes[index];
        let mode = match node.store {
            _ if is_cut => StoreMode::Silent,
            (mode, until) if now < until => mode,
            _ => StoreMode::Serves,
        };
        if !is_cut {
            self.calls.push((now, zone));
        }
        let (took, is_read) = match mode {
            StoreMode::Refuses => (TICK, false),
            StoreMode::Serves => (TICK, true),
            StoreMode::Silent => (self.times.read_timeout, false),
            StoreMode::Slow => (Duration::from_millis(240), true),
        };
        node.activity = Activity::Reading {
            began: now,
            done: now + took,
            is_read,
        };
    }

    /// The version of the store's content at a time. A version has the time of its data in it.
    fn store_version(&self, millis: u64) -> StoreVersion {
        StoreVersion {
            era: self.era,
            number: FIRST_VERSION + millis - self.era * VERSIONS_LOST,
        }
    }

    fn finish_read(&mut self, index: usize, began: Instant, is_read: bool) {
        let version = self.millis(began);
        let store_version = self.store_version(version);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !is_read {
            node.election.record_store_failure(began, now);
            let failure = match now >= began + self.times.read_timeout {
                true => ReadFailure::TimedOut,
                false => ReadFailure::Refused,
            };
            node.state.record_failure(failure, now);
            node.failed = true;
            return;
        }
        node.failed = false;
        node.election.record_store_read(began);
        let snapshot = UpstreamSnapshot {
            version: store_version,
            ..UpstreamSnapshot::default()
        };
        node.state.apply_store_list(&snapshot, began);
        let update = self.store.updates_since(node.store_position, now);
        let before = node.store_position.replace(update.position);
        if before.is_some_and(|before| before.incarnation != update.position.incarnation) {
            node.state.reports.note_restored();
        }
        node.state
            .reports
            .apply(&update.reports, ReportOrigin::Store, now);
        node.state
            .apply_routes(RouteTable::default(), store_version, None);
        node.set_version(version);
    }

    fn poll_answer(&mut self, index: usize, pending: PendingCall) {
        let mut pending = pending;
        let now = self.now;
        let (to, incarnation) = pending.to;
        if std::mem::take(&mut self.nodes[index].is_notified)
            || pending.turn.is_some_and(|turn| now >= turn)
        {
            return;
        }
        let is_there = self.nodes[to].incarnation == incarnation
            && self.reaches(index, to)
            && self.reaches(to, index);
        let reply = is_there.then(|| self.answer(index, &mut pending)).flatten();
        let node = &mut self.nodes[index];
        let from = &self.rows[to].instance;
        match reply {
            Some(SpreadReply::Update(update)) => {
                let read = now - update.age;
                node.apply_reports(from, &update.reports, now);
                node.failed = false;
                node.election.record_update(from, read);
                if let Some(age) = update.refused_for {
                    node.election.record_reader_refused(from, age, now);
                }
                let snapshot = UpstreamSnapshot {
                    version: update.version,
                    ..UpstreamSnapshot::default()
                };
                // The model has no upstreams.
                node.state
                    .apply_peer_list(&snapshot, read, &ListDigest::default());
                node.state
                    .apply_routes(RouteTable::default(), update.version, None);
                // Older data than before is not applied.
                let version = data_time(update.version);
                if version >= node.version {
                    node.set_version(version);
                }
                if node.election.is_stale(now) {
                    node.activity = Activity::BackingOff(cooldown_end(now, pending.turn));
                }
            }
            Some(SpreadReply::NoUpdate { age, reports, .. }) => {
                node.apply_reports(from, &reports, now);
                if node.election.record_no_update(from, age, now) {
                    node.failed = true;
                    return;
                }
                node.state.record_failure(ReadFailure::NoUpdate, now);
                node.activity = Activity::BackingOff(cooldown_end(now, pending.turn));
            }
            None if now >= pending.began + pending.limit => {
                node.election.record_no_answer(from, now);
                node.failed = true;
            }
            None => node.activity = Activity::Asking(pending),
        }
    }

    /// Answers a request the way the server does.
    fn answer(&mut self, index: usize, pending: &mut PendingCall) -> Option<SpreadReply> {
        let now = self.now;
        let member = self.rows[index].clone();
        let node = &mut self.nodes[pending.to.0];
        let before = *pending.arrived.get_or_insert_with(|| {
            node.is_notified |= node.election.record_request(&member, pending.state, now);
            node.state.update_count
        });
        let request = SpreadRequest {
            is_immediate: pending.is_immediate,
            evacuations: Some(StoreVersion::default()),
            routes: Some(0),
            member,
            is_refused: pending.is_refused,
            list: None,
            list_digests: Vec::new(),
            members_digest: 0,
            update_age: pending.update_age,
            has_skipped_readers: pending.state.has_skipped_readers,
            reads_store: pending.state.reads_store,
            rates: Vec::new(),
            rates_digest: 0,
            reports: pending.reports.clone(),
            reports_position: pending.reports_position,
            waited: pending.waited,
        };
        node.is_notified |= node
            .state
            .reports
            .apply(&request.reports, ReportOrigin::Instance, now);
        let hold = self.times.max_hold.saturating_sub(pending.waited);
        let is_held = now < pending.began + hold;
        if is_held && !node.state.has_updates(&request, before, &self.times, now) {
            return None;
        }
        Some(node.state.answer(&request, self.times.max_staleness, now))
    }
}

/// End of the delay after an instance without an update, or with an old one.
fn cooldown_end(now: Instant, turn: Option<Instant>) -> Instant {
    let end = now + NO_UPDATE_DELAY;
    turn.map_or(end, |turn| turn.min(end))
}

impl ModelInstance {
    fn new(
        row: &MemberRow,
        rows: &[MemberRow],
        times: SpreadTimes,
        now: Instant,
        incarnation: u32,
    ) -> Self {
        let mut election = ReaderElection::new(row.instance.clone(), row.zone.clone(), times);
        election.set_members(rows, now);
        Self {
            activity: Activity::Idle,
            failed: false,
            frozen_until: now,
            version: 0,
            is_notified: false,
            incarnation,
            election,
            report_position: None,
            row: row.clone(),
            starts_at: None,
            state: SpreadState::new(u64::from(incarnation), row.zone.clone(), QUARANTINE),
            store: (StoreMode::Serves, now),
            store_position: None,
            unwritten: Vec::new(),
            healthy_since: now,
        }
    }

    fn apply_reports(&mut self, from: &InstanceId, update: &ReportUpdate, now: Instant) {
        self.report_position = Some((from.clone(), update.position));
        self.state
            .reports
            .apply(&update.reports, ReportOrigin::Instance, now);
    }

    fn set_version(&mut self, version: u64) {
        assert!(version >= self.version, "{} goes back", self.row.instance);
        self.version = version;
    }
}

/// The time of the data at a version, milliseconds since the start.
fn data_time(version: StoreVersion) -> u64 {
    version.number + version.era * VERSIONS_LOST - FIRST_VERSION
}
