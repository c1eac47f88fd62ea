//! Instances that are driven as their driver on the network does it, in virtual time.

#![allow(unreachable_pub, reason = "a module of one test file")]

use {
    kernel::{InstanceId, ZoneId},
    policy::{AgedReport, CrashMark, CrashReport, FingerprintParts, RequestFingerprint},
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
/// How long after it was killed a process is there again: another time for each.
const RESTART: Duration = Duration::from_millis(600);
/// The pause of the driver after an error.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// The pause of the driver after an instance that has no news, unless the turn of the asker comes sooner.
const NO_UPDATE_DELAY: Duration = Duration::from_millis(300);

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
    /// An upstream ends under a request of this instance.
    End(usize),
    Freeze(usize, Duration),
    Kill(usize),
    KillAll,
    KillReader(usize),
    /// From one instance to before another the store does this.
    Store(StoreMode, usize, usize, Duration),
}

impl FleetFault {
    /// How long it lasts.
    pub fn span(&self) -> Duration {
        match self {
            Self::CutZone(_, span) | Self::Freeze(_, span) | Self::Store(_, _, _, span) => *span,
            Self::Die(_) | Self::End(_) | Self::Kill(_) | Self::KillAll | Self::KillReader(_) => {
                RESTART * 2
            }
        }
    }
}

#[derive(Debug)]
enum Doing {
    Asking(Question),
    Idle,
    Pausing(Instant),
    Reading {
        began: Instant,
        done: Instant,
        is_read: bool,
    },
    /// The driver waits after an error.
    Resting(Instant),
}

#[derive(Debug)]
struct Question {
    arrived: Option<u64>,
    is_immediate: bool,
    began: Instant,
    is_refused: bool,
    limit: Duration,
    update_age: Option<Duration>,
    reports: Vec<AgedReport>,
    reports_position: Option<JournalPosition>,
    state: RequesterState,
    /// Which life of which instance it went to.
    to: (usize, u32),
    /// When it ends without an answer, since it is this instance's turn.
    turn: Option<Instant>,
    /// How long earlier questions to the same instance have waited.
    waited: Duration,
}

#[derive(Debug)]
struct Node {
    doing: Doing,
    failed: bool,
    frozen_until: Instant,
    heard: u64,
    is_woken: bool,
    life: u32,
    election: ReaderElection,
    /// Whose reports it has, and up to where.
    report_position: Option<(InstanceId, JournalPosition)>,
    row: MemberRow,
    starts: Option<Instant>,
    state: SpreadState,
    store: (StoreMode, Instant),
    /// Up to where it has read the reports of the store.
    store_mark: Option<JournalPosition>,
    /// Reports that the store has not taken yet.
    unsent: Vec<AgedReport>,
    /// Since when it runs and the store answers it.
    well_since: Instant,
}

/// The last_full_request.
#[derive(Debug)]
pub struct FleetModel {
    /// When each call to the store was made, and by which zone.
    pub calls: Vec<(Instant, usize)>,
    cut_until: Vec<Instant>,
    /// The reports, with the lives of the instances that made them.
    ends: Vec<(usize, u32, CrashReport)>,
    each: usize,
    nodes: Vec<Node>,
    now: Instant,
    /// How many questions went from one instance to another.
    pub questions: usize,
    rows: Vec<MemberRow>,
    start: Instant,
    /// The reports in the store.
    store: ReportJournal,
    times: SpreadTimes,
}

impl FleetModel {
    pub fn new(zones: usize, each: usize) -> Self {
        let now = Instant::now();
        let times = SpreadTimes::builder()
            .period(Duration::from_millis(900))
            .read_timeout(Duration::from_millis(700))
            .build();
        let mut rows = Vec::new();
        for zone in 0..zones {
            for number in 0..each {
                rows.push(MemberRow {
                    address: ([127, 0, 0, 1], 7_000).into(),
                    capacity: 1 + u64::from(number % 10 == 0) * 40,
                    instance: InstanceId::from(format!("front-{zone}-{number}")),
                    zone: ZoneId::from(format!("zone-{zone}")),
                });
            }
        }
        let nodes = rows.iter().map(|row| Node::new(row, &rows, times, now, 0));
        Self {
            calls: Vec::new(),
            cut_until: vec![now; zones],
            ends: Vec::new(),
            each,
            nodes: nodes.collect(),
            now,
            questions: 0,
            start: now,
            store: ReportJournal::new(1, QUARANTINE),
            times,
            rows,
        }
    }

    /// A fault begins now.
    pub fn fault(&mut self, fault: &FleetFault) {
        let now = self.now;
        match fault {
            FleetFault::CutZone(zone, span) => self.cut_until[*zone] = now + *span,
            FleetFault::Die(node) => self.kill(*node, Duration::from_secs(1_000_000)),
            FleetFault::End(node) => self.end_upstream(*node),
            FleetFault::Freeze(node, span) => self.nodes[*node].frozen_until = now + *span,
            FleetFault::Kill(node) => self.kill(*node, RESTART),
            FleetFault::KillAll => {
                for node in 0..self.nodes.len() {
                    let spread = Duration::from_millis(40 * (node as u64 * 7 % 19));
                    self.kill(node, RESTART + spread);
                }
            }
            FleetFault::KillReader(zone) => self.kill(self.reader(*zone), RESTART),
            FleetFault::Store(mode, from, to, span) => {
                for node in &mut self.nodes[*from..*to] {
                    node.store = (*mode, now + *span);
                }
            }
        }
    }

    /// The most calls that one zone made in a second after the first start.
    pub fn most_calls_a_second(&self) -> usize {
        let mut most = 0;
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
                most = most.max(window.len());
            }
        }
        most
    }

    /// How many instances that live lack a report whose instance has lived on.
    pub fn uninformed(&self) -> usize {
        let lasting = self.ends.iter();
        let lasting = lasting.filter(|(node, life, _)| self.nodes[*node].life == *life);
        let lasting: Vec<&CrashReport> = lasting.map(|(_, _, report)| report).collect();
        let living = self.nodes.iter().filter(|node| node.starts.is_none());
        let lacks = |node: &&Node| {
            let known = node.state.reports.updates_since(None, self.now).reports;
            let known: Vec<CrashReport> = known.into_iter().map(|aged| aged.report).collect();
            !lasting.iter().all(|report| known.contains(report))
        };
        living.filter(lacks).count()
    }

    /// The age of the oldest news of those that live.
    pub fn oldest_news(&self) -> Duration {
        self.oldest_of(&self.nodes)
    }

    /// The age of the oldest news of those that run, and that the store answers, for so long.
    pub fn oldest_news_of_well(&self, span: Duration) -> Duration {
        let well = self.nodes.iter();
        let well = well.filter(|node| node.starts.is_none() && node.well_since + span <= self.now);
        let heard = well.map(|node| node.heard).min();
        let now = self.millis(self.now);
        Duration::from_millis(now - heard.unwrap_or(now))
    }

    /// The same within one zone.
    pub fn oldest_news_in(&self, zone: usize) -> Duration {
        let first = zone * self.each;
        self.oldest_of(&self.nodes[first..first + self.each])
    }

    fn oldest_of(&self, nodes: &[Node]) -> Duration {
        let living = nodes.iter().filter(|node| node.starts.is_none());
        let read = living.map(|node| node.heard);
        let now = self.millis(self.now);
        Duration::from_millis(now - read.min().unwrap_or(now))
    }

    /// The instance of a zone that is the first to read.
    pub fn reader(&self, zone: usize) -> usize {
        let first = zone * self.each;
        let mut living =
            (first..first + self.each).filter(|node| self.nodes[*node].starts.is_none());
        let mut rows: Vec<MemberRow> = living.clone().map(|node| self.rows[node].clone()).collect();
        rows.sort();
        let found = living.find(|node| {
            let row = &self.rows[*node];
            let mut election =
                ReaderElection::new(row.instance.clone(), row.zone.clone(), self.times);
            election.set_members(&rows, self.now);
            election.choose(self.now) == ReadStep::ReadStore
        });
        found.unwrap_or(first)
    }

    /// The first instances of a zone in the order of readers.
    pub fn readers(&self, zone: usize, count: usize) -> Vec<usize> {
        let first = zone * self.each;
        let mut nodes: Vec<usize> = (first..first + self.each).collect();
        let score = |node: &usize| self.rows[*node].score();
        nodes.sort_by(|left, right| score(right).total_cmp(&score(left)));
        nodes.truncate(count);
        nodes
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.note_well();
            for node in 0..self.nodes.len() {
                self.step(node);
            }
        }
    }

    fn note_well(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let (mode, until) = node.store;
            let answers = matches!(mode, StoreMode::Serves | StoreMode::Slow) || self.now >= until;
            let is_cut = self.now < self.cut_until[index / self.each];
            let runs = node.starts.is_none() && self.now >= node.frozen_until;
            if !runs || !answers || is_cut {
                node.well_since = self.now;
            }
        }
    }

    fn end_upstream(&mut self, index: usize) {
        let number = self.ends.len();
        let report = CrashReport {
            fingerprint: RequestFingerprint::new(&FingerprintParts {
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
        if node.starts.is_some() || self.now < node.frozen_until {
            return;
        }
        self.ends.push((index, node.life, report.clone()));
        let reports = [AgedReport::new(report)];
        node.state
            .reports
            .apply(&reports, ReportOrigin::Instance, self.now);
        node.is_woken = true;
        node.unsent.extend(reports);
    }

    /// The store takes what it has not yet, if it answers.
    fn write_reports(&mut self, index: usize) {
        let now = self.now;
        let is_cut = self.is_cut(index / self.each);
        let node = &mut self.nodes[index];
        let (mode, until) = node.store;
        let serves = now >= until || matches!(mode, StoreMode::Serves | StoreMode::Slow);
        if is_cut || !serves {
            return;
        }
        let mut reports = std::mem::take(&mut node.unsent);
        if node.state.reads_store {
            let missing = node.state.reports.unstored(now);
            node.state.reports.mark_stored(&missing);
            reports.extend(missing.into_iter().map(AgedReport::new));
        }
        self.store.apply(&reports, ReportOrigin::Instance, now);
    }

    fn kill(&mut self, node: usize, down: Duration) {
        let life = self.nodes[node].life + 1;
        let fresh = Node::new(&self.rows[node], &self.rows, self.times, self.now, life);
        let before = std::mem::replace(&mut self.nodes[node], fresh);
        let node = &mut self.nodes[node];
        node.starts = Some(self.now + down);
        node.store = before.store;
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from((at - self.start).as_millis()).unwrap()
    }

    fn is_cut(&self, zone: usize) -> bool {
        self.now < self.cut_until[zone]
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to_zone) = (from / self.each, to / self.each);
        let is_well = self.nodes[to].starts.is_none() && self.now >= self.nodes[to].frozen_until;
        is_well && (from == to_zone || !self.is_cut(from) && !self.is_cut(to_zone))
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.starts.is_some_and(|starts| now < starts) || now < node.frozen_until {
            return;
        }
        node.starts = None;
        self.write_reports(index);
        let node = &mut self.nodes[index];
        match std::mem::replace(&mut node.doing, Doing::Idle) {
            Doing::Asking(question) => self.wait_answer(index, question),
            Doing::Idle => self.begin(index),
            Doing::Pausing(until) if now >= until || std::mem::take(&mut node.is_woken) => {
                self.begin(index);
            }
            Doing::Reading {
                began,
                done,
                is_read,
            } if now >= done => self.end_reading(index, began, is_read),
            Doing::Resting(until) if now >= until => self.begin(index),
            other => node.doing = other,
        }
    }

    fn begin(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match node.election.choose(now) {
            ReadStep::AskPeer {
                is_immediate,
                from,
                limit,
                turn,
            } => {
                let to = self
                    .rows
                    .iter()
                    .position(|row| row.instance == from)
                    .unwrap();
                let life = self.nodes[to].life;
                self.questions += 1;
                let node = &mut self.nodes[index];
                let known = node.report_position.as_ref();
                let known = known.filter(|(of, _)| *of == from).map(|(_, mark)| *mark);
                node.doing = Doing::Asking(Question {
                    arrived: None,
                    is_immediate,
                    began: now,
                    is_refused: node.election.is_refused(),
                    limit,
                    update_age: node.election.update_age(now),
                    reports: node.state.reports.to_forward(now),
                    reports_position: known,
                    state: node.election.requester_state(now),
                    to: (to, life),
                    turn,
                    waited: node.election.waited(&from, now),
                });
            }
            ReadStep::Wait(_) if std::mem::take(&mut node.failed) => {
                node.doing = Doing::Resting(now + ERROR_PAUSE);
            }
            ReadStep::Wait(until) => node.doing = Doing::Pausing(until),
            ReadStep::ReadStore => self.begin_reading(index),
        }
    }

    fn begin_reading(&mut self, index: usize) {
        let now = self.now;
        let zone = index / self.each;
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
        node.doing = Doing::Reading {
            began: now,
            done: now + took,
            is_read,
        };
    }

    fn end_reading(&mut self, index: usize, began: Instant, is_read: bool) {
        let version = self.millis(began);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !is_read {
            node.election.record_store_failure(now);
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
        let reading = UpstreamSnapshot {
            version,
            ..UpstreamSnapshot::default()
        };
        node.state.apply_store_list(&reading, began);
        let news = self.store.updates_since(node.store_mark, now);
        node.store_mark = Some(news.position);
        node.state
            .reports
            .apply(&news.reports, ReportOrigin::Store, now);
        node.state
            .apply_routes(RouteTable::default(), version, None);
        node.set_version(version);
    }

    fn wait_answer(&mut self, index: usize, question: Question) {
        let mut question = question;
        let now = self.now;
        let (to, life) = question.to;
        if std::mem::take(&mut self.nodes[index].is_woken)
            || question.turn.is_some_and(|turn| now >= turn)
        {
            return;
        }
        let is_there =
            self.nodes[to].life == life && self.reaches(index, to) && self.reaches(to, index);
        let reply = is_there
            .then(|| self.answer(index, &mut question))
            .flatten();
        let node = &mut self.nodes[index];
        let from = &self.rows[to].instance;
        match reply {
            Some(SpreadReply::Update(news)) => {
                let read = now - news.age;
                node.apply_reports(from, &news.reports, now);
                node.failed = false;
                node.election.record_update(from, read);
                if let Some(age) = news.refused {
                    node.election.record_reader_refused(from, age, now);
                }
                let reading = UpstreamSnapshot {
                    version: news.version,
                    ..UpstreamSnapshot::default()
                };
                // The model has no upstreams.
                node.state
                    .apply_peer_list(&reading, read, &ListDigest::default());
                node.state
                    .apply_routes(RouteTable::default(), news.version, None);
                // An older reading than the one before is not taken.
                if news.version >= node.heard {
                    node.set_version(news.version);
                }
                if node.election.is_stale(now) {
                    node.doing = Doing::Resting(cooldown_end(now, question.turn));
                }
            }
            Some(SpreadReply::NoUpdate { age, reports, .. }) => {
                node.apply_reports(from, &reports, now);
                if node.election.record_no_update(from, age, now) {
                    node.failed = true;
                    return;
                }
                node.state.record_failure(ReadFailure::NoUpdate, now);
                node.doing = Doing::Resting(cooldown_end(now, question.turn));
            }
            None if now >= question.began + question.limit => {
                node.election.record_no_answer(from, now);
                node.failed = true;
            }
            None => node.doing = Doing::Asking(question),
        }
    }

    /// What the one asked does, as its server does it.
    fn answer(&mut self, index: usize, question: &mut Question) -> Option<SpreadReply> {
        let now = self.now;
        let card = self.rows[index].clone();
        let node = &mut self.nodes[question.to.0];
        let before = *question.arrived.get_or_insert_with(|| {
            node.is_woken |= node.election.record_request(&card, question.state, now);
            node.state.update_count
        });
        let request = SpreadRequest {
            is_immediate: question.is_immediate,
            routes: Some(0),
            member: card,
            is_refused: question.is_refused,
            list: None,
            list_digests: Vec::new(),
            members: 0,
            update_age: question.update_age,
            has_skipped_readers: question.state.has_skipped_readers,
            reads_store: question.state.reads_store,
            reports: question.reports.clone(),
            reports_position: question.reports_position,
            waited: question.waited,
        };
        node.is_woken |= node
            .state
            .reports
            .apply(&request.reports, ReportOrigin::Instance, now);
        let hold = self.times.max_hold.saturating_sub(question.waited);
        let is_held = now < question.began + hold;
        if is_held && !node.state.has_updates(&request, before, &self.times, now) {
            return None;
        }
        Some(node.state.answer(&request, self.times.max_staleness, now))
    }
}

/// Until when an instance rests after one without news, or with old ones.
fn cooldown_end(now: Instant, turn: Option<Instant>) -> Instant {
    let end = now + NO_UPDATE_DELAY;
    turn.map_or(end, |turn| turn.min(end))
}

impl Node {
    fn new(
        row: &MemberRow,
        rows: &[MemberRow],
        times: SpreadTimes,
        now: Instant,
        life: u32,
    ) -> Self {
        let mut election = ReaderElection::new(row.instance.clone(), row.zone.clone(), times);
        election.set_members(rows, now);
        Self {
            doing: Doing::Idle,
            failed: false,
            frozen_until: now,
            heard: 0,
            is_woken: false,
            life,
            election,
            report_position: None,
            row: row.clone(),
            starts: None,
            state: SpreadState::new(u64::from(life), row.zone.clone(), QUARANTINE),
            store: (StoreMode::Serves, now),
            store_mark: None,
            unsent: Vec::new(),
            well_since: now,
        }
    }

    fn apply_reports(&mut self, from: &InstanceId, news: &ReportUpdate, now: Instant) {
        self.report_position = Some((from.clone(), news.position));
        self.state
            .reports
            .apply(&news.reports, ReportOrigin::Instance, now);
    }

    fn set_version(&mut self, version: u64) {
        assert!(version >= self.heard, "{} goes back", self.row.instance);
        self.heard = version;
    }
}
