//! Case: a fleet of instances in front of few replicas, while replicas, instances, callers and the store have faults at once.
//!
//! Instances of three zones, three replicas of a plain service and several callers for each instance. A seed draws a plan of
//! faults that overlap. Judged is what callers and replicas saw: a request that may run once runs once at most, a refused one
//! never, and what looks like a whole answer is the answer to the request.
//!
//! `fleet_copies FOLDER SEED [copies|full|wide|forward] [INSTANCES] [SECONDS]`. `copies` has no other fault; `wide` adds replicas that
//! answer before they have read a body, fail after a run without a statement, close idle connections, and send copies in
//! parts; `forward` has zones without their replicas for most of the time, while instances that help fail.

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        collections::{HashMap, HashSet},
        fs::{self, File},
        io::{BufReader, ErrorKind, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, ChildStdin, Command, Stdio},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 3] = ["gijon", "santander", "ferrol"];
/// Each zone has its own way to the replicas.
const HOSTS: [&str; 3] = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];
const REPLICAS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const CONNECTIONS: u64 = 550;
const WORK_MS: u64 = 15;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DEADLINE: Duration = Duration::from_millis(600);
/// How long a caller waits for an answer beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(400);
/// Callers for each 75 instances.
const CALLERS_OF_75: usize = 400;
const IDLE: Duration = Duration::from_secs(8);
const NOT_RUN: &str = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
const PAUSE_MS: u64 = 260;
/// Requests may run until then after the last caller.
const SETTLE: Duration = Duration::from_millis(2_500);
/// What promises that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a replica does wrong at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// The share of answers that are sent a second time.
    copies: f64,
    /// The share of these copies that name no request.
    unnamed: f64,
    /// The share of requests that run without an answer.
    lost: f64,
    /// The share of answers that end early.
    short: f64,
    /// The share of answers with bytes behind them that are no answer.
    junk: f64,
    /// The share of requests with a body that are answered, or run and reset, before the body has been read.
    early: f64,
    /// The share of runs that end with a failure which states nothing on the run.
    bare: f64,
    /// Connections are closed, without notice, after this long without a request.
    idle_ms: u64,
    /// How much longer a run takes.
    slow_ms: u64,
    /// Nothing is read, accepted or answered.
    hangs: bool,
}

/// What all replicas have run: the replica and the time, by request.
type Runs = Mutex<HashMap<String, Vec<String>>>;

/// What the parts of a run share.
struct Shared {
    cut: [AtomicBool; 3],
    faults: [Mutex<Faults>; REPLICAS],
    is_over: AtomicBool,
    is_burst: AtomicBool,
    is_wide: bool,
    leaving_share: Mutex<f64>,
    copies: AtomicU64,
    draw: Mutex<Draw>,
    record: Record,
    runs: Runs,
    strange: Mutex<Vec<(String, String)>>,
    store: Store,
}

impl Shared {
    fn hits(&self, share: f64) -> bool {
        share > 0.0 && self.draw.lock().unwrap().hits(share)
    }

    fn between(&self, low: u64, high: u64) -> u64 {
        low + self.draw.lock().unwrap().next() % (high - low)
    }
}

fn spawn_small(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let spawning = thread::Builder::new().stack_size(192 << 10).spawn(work);
    spawning.unwrap_or_else(|error| cannot_run(&error.to_string()))
}

// ------------------------------------------------------------------------------------------------------------- replicas

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// One life of a replica.
struct Replica {
    connections: Mutex<HashMap<u64, (usize, TcpStream)>>,
    drops_left: bool,
    has_ended: AtomicBool,
    name: String,
    number: usize,
    places: (Mutex<Places>, Condvar),
    port: u16,
    sequence: AtomicU64,
    serial: AtomicU64,
    state: Mutex<&'static str>,
    shared: Arc<Shared>,
    zone: &'static str,
}

impl Replica {
    fn start(shared: &Arc<Shared>, number: usize, life: u64, port: Option<u16>) -> Arc<Self> {
        let mut listeners = Vec::new();
        let port = port.unwrap_or_else(|| free_fixed_port(false));
        for host in HOSTS {
            listeners.push(bind(host, port));
        }
        let replica = Arc::new(Self {
            connections: Mutex::default(),
            drops_left: number != 0,
            has_ended: AtomicBool::new(false),
            name: format!("i-{number}-{life}"),
            number,
            places: Default::default(),
            port,
            sequence: AtomicU64::new(0),
            serial: AtomicU64::new(0),
            state: Mutex::new("ready"),
            shared: shared.clone(),
            zone: ZONES[number % 3],
        });
        for (zone, listener) in listeners.into_iter().enumerate() {
            let replica = replica.clone();
            spawn_small(move || replica.accept(zone, listener));
        }
        replica.report();
        let reporting = replica.clone();
        spawn_small(move || {
            while reporting.is_in_store() {
                thread::sleep(HEARTBEAT);
                if reporting.is_in_store() {
                    reporting.report();
                }
            }
        });
        replica
    }

    fn report(&self) {
        let (state, sequence) = (*self.state.lock().unwrap(), self.sequence.fetch_add(1, Ordering::Relaxed));
        let report = format!(
            "{{\"Service\":\"carta\",\"Address\":\"127.0.0.1:{}\",\"Zone\":\"{}\",\"Version\":\"1\",\"Slots\":{SLOTS},\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence}}}",
            self.port, self.zone
        );
        self.shared.store.put("servers", &self.name, &report);
    }

    fn is_in_store(&self) -> bool {
        !self.has_ended.load(Ordering::SeqCst) && *self.state.lock().unwrap() != "gone" && !self.shared.is_over.load(Ordering::Relaxed)
    }

    fn remove(&self) {
        *self.state.lock().unwrap() = "gone";
        self.shared.store.remove("servers", &self.name);
    }

    /// Ends as a crash does.
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for (_, stream) in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn accept(self: Arc<Self>, zone: usize, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.has_ended.load(Ordering::SeqCst) {
            if self.shared.cut[zone].load(Ordering::SeqCst) {
                listener = None;
                let connections = self.connections.lock().unwrap();
                for (_, stream) in connections.values().filter(|(of, _)| *of == zone) {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                drop(connections);
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let open = listener.get_or_insert_with(|| bind(HOSTS[zone], self.port));
            if self.faults().hangs {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let replica = self.clone();
            let serial = self.serial.fetch_add(1, Ordering::Relaxed);
            let mut connections = self.connections.lock().unwrap();
            if connections.len() as u64 >= CONNECTIONS {
                continue;
            }
            let _ = stream.set_nonblocking(false);
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            connections.insert(serial, (zone, copy));
            drop(connections);
            spawn_small(move || {
                replica.serve(serial, &stream);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                replica.connections.lock().unwrap().remove(&serial);
            });
        }
    }

    fn faults(&self) -> Faults {
        *self.shared.faults[self.number].lock().unwrap()
    }

    fn line(&self, on: u64, text: std::fmt::Arguments<'_>) {
        self.shared.record.line(&format!("replica {} {text}, on connection {on}", self.name));
    }

    fn serve(&self, on: u64, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        let mut late: Option<(String, Vec<u8>)> = None;
        loop {
            let idle = match self.faults().idle_ms {
                0 => IDLE,
                idle => Duration::from_millis(idle),
            };
            let _ = stream.set_read_timeout(Some(idle));
            let Ok(Some(mut request)) = read_head(&mut reader) else {
                return;
            };
            let _ = stream.set_read_timeout(Some(IDLE));
            let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            request.body = vec![0; length];
            if length > 0 && self.shared.hits(self.faults().early) {
                let id = request.id();
                if self.shared.hits(0.5) {
                    self.line(on, format_args!("runs {id}, and resets before it has read its body"));
                    self.count_run(&id);
                    thread::sleep(Duration::from_millis(self.shared.between(0, 10)));
                    return;
                }
                self.line(on, format_args!("rejects {id} before it has read its body"));
                let answer = Answer::new("503 Service Unavailable", &id, NOT_RUN, "");
                if writer.lock().unwrap().write_all(&answer.bytes).is_err() || reader.read_exact(&mut request.body).is_err() {
                    return;
                }
                continue;
            }
            if reader.read_exact(&mut request.body).is_err() {
                return;
            }
            while self.faults().hangs {
                thread::sleep(Duration::from_millis(5));
            }
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let id = request.id();
            let mut early = None;
            // Half of the copies come before the request is worked on, the others before its answer.
            if late.is_some() && self.shared.hits(0.5) {
                early = late.take();
            }
            if let Some((of, copy)) = early {
                self.line(on, format_args!("sends its second answer to {of}, before it works on {id}"));
                // With the wider mix, a part of it may come at first, and the rest before the answer.
                let part = match self.shared.is_wide && self.shared.hits(0.3) {
                    true => copy.len() / 2,
                    false => copy.len(),
                };
                let _ = writer.lock().unwrap().write_all(&copy[..part]);
                late = (part < copy.len()).then(|| (of, copy[part..].to_vec()));
            }
            let Some(answer) = self.answer(on, &request, &id, stream) else {
                return;
            };
            let faults = self.faults();
            if let Some((of, copy)) = late.take() {
                self.line(on, format_args!("sends its second answer to {of}, before its answer to {id}"));
                if writer.lock().unwrap().write_all(&copy).is_err() {
                    return;
                }
                if self.shared.hits(0.7) {
                    thread::sleep(Duration::from_millis(2));
                }
            }
            if self.shared.hits(faults.lost) {
                self.line(on, format_args!("sends no answer to {id}"));
                return;
            }
            // Without a length, an answer that ends early in order is like a whole one.
            if !answer.ends_connection && self.shared.hits(faults.short) {
                self.line(on, format_args!("ends its answer to {id} early"));
                let _ = writer.lock().unwrap().write_all(&answer.bytes[..answer.bytes.len() - 3]);
                return;
            }
            if writer.lock().unwrap().write_all(&answer.bytes).is_err() {
                self.line(on, format_args!("can't send its answer to {id}"));
                return;
            }
            self.line(on, format_args!("has sent {} to {id}", answer.status));
            if answer.ends_connection {
                return;
            }
            if self.shared.hits(faults.junk) {
                let _ = writer.lock().unwrap().write_all(b"\x16\x03 no answer HTTP/1.1 503 x\r\n\r\n");
            }
            if !self.shared.hits(faults.copies) {
                continue;
            }
            self.shared.copies.fetch_add(1, Ordering::Relaxed);
            let copy = match self.shared.hits(faults.unnamed) {
                true => answer.unnamed(&id),
                false => answer.bytes,
            };
            match self.shared.between(0, 10) {
                0..=6 => late = Some((id, copy)),
                7 => {
                    self.line(on, format_args!("sends its second answer to {id} at once"));
                    let _ = writer.lock().unwrap().write_all(&copy);
                }
                _ => {
                    let wait = Duration::from_millis(self.shared.between(0, 60));
                    let (writer, record, name) = (writer.clone(), self.shared.record.clone(), self.name.clone());
                    spawn_small(move || {
                        thread::sleep(wait);
                        record.line(&format!("replica {name} sends its second answer to {id} whenever, on connection {on}"));
                        let _ = writer.lock().unwrap().write_all(&copy);
                    });
                }
            }
        }
    }

    /// `None` when the connection is to end without an answer.
    fn answer(&self, on: u64, request: &Message, id: &str, stream: &TcpStream) -> Option<Answer> {
        let reject = |status: &str| Some(Answer::new(status, id, NOT_RUN, ""));
        if request.header("x-expect-instance").is_some_and(|name| name != self.name) {
            self.line(on, format_args!("is not the one for {id}"));
            return reject("421 Misdirected Request");
        }
        let since = Instant::now();
        let deadline = request.header("x-deadline-ms").and_then(|left| left.parse().ok()).map_or(DEADLINE, Duration::from_millis);
        let (lock, freed) = &self.places;
        let mut places = lock.lock().unwrap();
        if places.running >= SLOTS && places.waiting >= QUEUE {
            drop(places);
            self.line(on, format_args!("rejects {id}: full"));
            return match self.shared.is_wide && self.shared.hits(0.1) {
                true => reject("429 Too Many Requests"),
                false => reject("503 Service Unavailable"),
            };
        }
        places.waiting += 1;
        while places.running >= SLOTS {
            let left = deadline.saturating_sub(since.elapsed());
            if left.is_zero() {
                places.waiting -= 1;
                drop(places);
                self.line(on, format_args!("rejects {id}: deadline"));
                return reject("503 Service Unavailable");
            }
            places = freed.wait_timeout(places, left).unwrap().0;
        }
        places.waiting -= 1;
        if self.has_ended.load(Ordering::SeqCst) || self.drops_left && has_closed(stream) {
            drop(places);
            freed.notify_one();
            self.line(on, format_args!("drops {id}"));
            return None;
        }
        places.running += 1;
        drop(places);
        let is_health = request.start[1] == "/health";
        if !is_health {
            self.note_run(on, request, id);
        }
        let work = WORK_MS / 2 + self.shared.between(0, WORK_MS) + self.faults().slow_ms;
        let left = deadline.saturating_sub(since.elapsed());
        thread::sleep(Duration::from_millis(work).min(left));
        lock.lock().unwrap().running -= 1;
        freed.notify_one();
        if is_health {
            return Some(Answer::new("200 OK", id, &format!("X-Instance-Id: {}\r\nContent-Length: 0\r\n", self.name), ""));
        }
        if Duration::from_millis(work) > left {
            return Some(Answer::new("504 Gateway Timeout", id, "Content-Length: 0\r\n", ""));
        }
        if self.shared.hits(self.faults().bare) {
            let status = ["500 Failed", "503 Failed", "429 Failed", "408 Failed"][self.shared.between(0, 4) as usize];
            return Some(Answer::new(status, id, &format!("X-Response-Signature: s.{id}\r\nContent-Length: 0\r\n"), ""));
        }
        let filler = "x".repeat(self.shared.between(0, 400) as usize);
        let body = format!("{id} of {} {filler} end of {id}", self.name);
        let signature = format!("X-Response-Signature: s.{id}\r\n");
        Some(match self.shared.between(0, 20) {
            0 => {
                let mut answer = Answer::new("200 OK", id, &format!("{signature}Connection: close\r\n"), &body);
                answer.ends_connection = true;
                answer
            }
            1 | 2 => {
                let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
                Answer::new("200 OK", id, &format!("{signature}Transfer-Encoding: chunked\r\n"), &chunks)
            }
            _ => Answer::new("200 OK", id, &format!("{signature}Content-Length: {}\r\n", body.len()), &body),
        })
    }

    fn note_run(&self, on: u64, request: &Message, id: &str) {
        self.line(on, format_args!("runs {id}"));
        if !id.starts_with('g') && (!is_tile(&request.body, id) || request.start[..2] != ["POST", "/chart/tile"]) {
            self.shared.strange.lock().unwrap().push((id.to_owned(), "ran with another body or path".to_owned()));
        }
        self.count_run(id);
    }

    fn count_run(&self, id: &str) {
        let run = format!("{} at {}", self.name, self.shared.record.ms());
        self.shared.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }
}

struct Answer {
    bytes: Vec<u8>,
    ends_connection: bool,
    status: u16,
}

impl Answer {
    fn new(status: &str, id: &str, headers: &str, body: &str) -> Self {
        Self {
            bytes: format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{headers}\r\n{body}").into_bytes(),
            ends_connection: false,
            status: status[..3].parse().unwrap(),
        }
    }

    fn unnamed(&self, id: &str) -> Vec<u8> {
        let text = String::from_utf8(self.bytes.clone()).unwrap();
        text.replacen(&format!("X-Request-Id: {id}\r\n"), "", 1).into_bytes()
    }
}

/// Whether a body is as the caller sent it.
fn is_tile(body: &[u8], id: &str) -> bool {
    let start = format!("tile {id}");
    body.strip_prefix(start.as_bytes()).is_some_and(|rest| rest.iter().all(|byte| *byte == b'.'))
}

fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
}

fn bind(host: &str, port: u16) -> TcpListener {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind((host, port)) {
            Ok(listener) => {
                let _ = listener.set_nonblocking(true);
                return listener;
            }
            Err(error) if Instant::now() > end => cannot_run(&format!("{host}:{port}: {error}")),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// A free port outside the range from which outgoing connections take theirs, so that it stays free across restarts.
fn free_fixed_port(is_udp: bool) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id() % 17) * 1_000;
    loop {
        let port = (12_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 19_000) as u16;
        let is_free = match is_udp {
            true => UdpSocket::bind(("127.0.0.1", port)).is_ok(),
            false => HOSTS.iter().all(|host| TcpListener::bind((*host, port)).is_ok()),
        };
        if is_free {
            return port;
        }
    }
}

// ------------------------------------------------------------------------------------------------------------ instances

/// An instance as a process.
struct Instance {
    callers: SocketAddr,
    child: Mutex<Child>,
    /// Whether a fault holds it.
    is_taken: AtomicBool,
    log: PathBuf,
    name: String,
    ready: SocketAddr,
    settings: PathBuf,
}

impl Instance {
    fn start(folder: &Path, number: usize, store: SocketAddr) -> Self {
        let zone = ZONES[number % 3];
        let name = format!("front-{zone}-{number:02}");
        let callers = SocketAddr::from(([127, 0, 0, 1], free_fixed_port(false)));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_fixed_port(false)));
        let peers = free_fixed_port(true);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "instance: \"{name}\"
zone: \"{zone}\"
region: \"cantabrico\"
regions: {{\"gijon\":\"cantabrico\",\"santander\":\"cantabrico\",\"ferrol\":\"cantabrico\"}}
first_start: false
capacity: {{cores: 0.09, link_mbps: 1000.0, memory_mb: 110}}
listen: {{admin: \"{ready}\", callers: \"{callers}\", peers: \"127.0.0.1:{peers}\"}}
platform: {{address: \"{store}\", list_poll: 900ms, poll: 2s, timeout: 700ms}}
orders: {{checks_fence: true, enabled: true, lease: 3000ms}}
retries: {{ratio: 0.2, slack: 58, window: 10s, zones: [\"gijon\",\"santander\",\"ferrol\"]}}
upstreams: {{heartbeat: 1200ms}}
log: {{format: json, level: info}}
customers: {{overage: 0, revoked_within: null, slack: 0, window: 1s}}
"
        );
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = Mutex::new(spawn_relay(&settings, &log));
        Self { callers, child, is_taken: AtomicBool::new(false), log, name, ready, settings }
    }

    fn is_ready(&self) -> bool {
        let asking = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        asking().unwrap_or(0) == 200
    }

    fn id(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    fn own_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    /// Waits until the process has ended, and kills it after `limit`.
    fn wait_end(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut child = self.child.lock().unwrap();
        while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    fn restart(&self) {
        *self.child.lock().unwrap() = spawn_relay(&self.settings, &self.log);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn spawn_relay(settings: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).unwrap();
    Command::new("target/release/trestlewalk")
        .args(["relay", "--settings"])
        .arg(settings)
        .env("TRESTLEWALK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone().unwrap())
        .stderr(out)
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("target/release/trestlewalk: {error}")))
}

/// Sends signals to instances, without a process for each.
struct Signals {
    input: Mutex<ChildStdin>,
    shell: Mutex<Child>,
}

impl Signals {
    fn new() -> Self {
        let mut shell = Command::new("sh").stdin(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let input = Mutex::new(shell.stdin.take().unwrap());
        Self { input, shell: Mutex::new(shell) }
    }

    fn send(&self, signal: &str, instances: &[&Instance]) {
        let ids: Vec<String> = instances.iter().map(|instance| instance.id().to_string()).collect();
        let mut input = self.input.lock().unwrap();
        let _ = writeln!(input, "kill -{signal} {}", ids.join(" "));
    }
}

impl Drop for Signals {
    fn drop(&mut self) {
        let shell = self.shell.get_mut().unwrap();
        let _ = shell.kill();
        let _ = shell.wait();
    }
}

// -------------------------------------------------------------------------------------------------------------- callers

/// What the callers have got: the status (0 for none), by request.
type Answers = Mutex<HashMap<String, u16>>;

struct Caller {
    answers: Arc<Answers>,
    connection: Option<BufReader<TcpStream>>,
    draw: Draw,
    at: usize,
    instances: Arc<Vec<Instance>>,
    number: usize,
    serial: usize,
    shared: Arc<Shared>,
}

impl Caller {
    fn run(mut self) {
        while !self.shared.is_over.load(Ordering::Relaxed) {
            let is_safe = self.draw.hits(0.15);
            let since = Instant::now();
            if let Some(after) = self.ask(is_safe, DEADLINE) {
                let left = DEADLINE.saturating_sub(since.elapsed());
                thread::sleep(after.min(left / 3));
                let left = DEADLINE.saturating_sub(since.elapsed());
                self.connection = None;
                if left > Duration::from_millis(20) {
                    self.ask(is_safe, left);
                }
            }
            let pause = match self.shared.is_burst.load(Ordering::Relaxed) {
                true => 30,
                false => PAUSE_MS,
            };
            thread::sleep(Duration::from_millis(pause / 2 + self.draw.next() % pause));
        }
    }

    /// Sends one request; the time after which it may come again, if it was refused.
    fn ask(&mut self, is_safe: bool, left: Duration) -> Option<Duration> {
        self.serial += 1;
        let id = format!("{}{:03}-{:05}", if is_safe { 'g' } else { 'c' }, self.number, self.serial);
        let leaving_share = *self.shared.leaving_share.lock().unwrap();
        let patience = match self.draw.hits(leaving_share) {
            true => Duration::from_millis(2 + self.draw.next() % 200),
            false => left + PATIENCE,
        };
        let name = self.instances[self.at].name.clone();
        self.shared.record.line(&format!("caller sends {id} to {name}"));
        let asked = self.exchange(&id, is_safe, left, patience);
        let (status, after) = match asked {
            Ok(answer) => {
                let headers: Vec<String> = answer.headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
                self.shared.record.line(&format!("caller gets {} to {id} from {name}; {}", answer.status(), headers.join("; ")));
                self.check(&id, &answer);
                if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    self.connection = None;
                }
                let after = answer.header("retry-after").and_then(|after| after.parse().ok()).map(Duration::from_secs_f64);
                (answer.status(), after.filter(|_| answer.status() == 503))
            }
            Err(error) => {
                self.shared.record.line(&format!("caller gets nothing to {id} from {name}: {error}"));
                if error.kind() == ErrorKind::InvalidData {
                    self.note_strange(&id, "bytes that are no answer");
                }
                self.connection = None;
                if self.draw.hits(0.3) {
                    self.at = self.draw.next() as usize % self.instances.len();
                }
                (0, None)
            }
        };
        self.answers.lock().unwrap().insert(id, status);
        after
    }

    /// With the wider mix some bodies are long, a few far longer than what sockets hold.
    fn filler(&mut self) -> usize {
        match self.shared.is_wide.then(|| self.draw.next() % 400) {
            Some(0) => 4 << 20,
            Some(1..40) => 60 << 10,
            _ => 0,
        }
    }

    fn exchange(&mut self, id: &str, is_safe: bool, left: Duration, patience: Duration) -> std::io::Result<Message> {
        if let Some(reader) = &mut self.connection {
            let stream = reader.get_mut();
            stream.set_nonblocking(true)?;
            let peeked = stream.peek(&mut [0; 64]);
            stream.set_nonblocking(false)?;
            match peeked {
                Ok(0) => self.connection = None,
                Ok(_) => self.note_strange(id, "bytes before the request was sent"),
                Err(_) => {}
            }
        }
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.instances[self.at].callers, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let (method, path, body) = match is_safe {
            true => ("GET", "/view/tile", String::new()),
            false => ("POST", "/chart/tile", format!("tile {id}{}", ".".repeat(self.filler()))),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            body.len()
        );
        let reader = self.connection.as_mut().unwrap();
        reader.get_ref().set_read_timeout(Some(patience))?;
        reader.get_ref().set_write_timeout(Some(patience))?;
        reader.get_mut().write_all(text.as_bytes())?;
        let Some(mut answer) = read_message(reader)? else {
            return Err(ErrorKind::UnexpectedEof.into());
        };
        let is_framed = answer.header("content-length").is_some() || answer.header("transfer-encoding").is_some();
        if !is_framed && answer.status() == 200 {
            reader.read_to_end(&mut answer.body)?;
        }
        Ok(answer)
    }

    fn check(&self, id: &str, answer: &Message) {
        if answer.header("x-request-id").is_some_and(|of| of != id) {
            self.note_strange(id, "an answer that names another request");
        }
        if answer.header("x-response-signature").is_some_and(|of| of != format!("s.{id}")) {
            self.note_strange(id, "an answer with the signature of another request");
        }
        if answer.status() != 200 {
            return;
        }
        let body = String::from_utf8_lossy(&answer.body);
        let is_whole = body.starts_with(&format!("{id} of ")) && body.ends_with(&format!(" end of {id}"));
        if !is_whole || answer.header("x-response-signature").is_none() {
            self.note_strange(id, "a success that is not the whole answer");
        }
    }

    fn note_strange(&self, id: &str, what: &str) {
        self.shared.strange.lock().unwrap().push((id.to_owned(), format!("the caller got {what}")));
    }
}

// --------------------------------------------------------------------------------------------------------------- faults

/// What plans refer to.
struct Scene {
    instances: Arc<Vec<Instance>>,
    lives: AtomicU64,
    replicas: Vec<Mutex<Arc<Replica>>>,
    shared: Arc<Shared>,
    signals: Signals,
    version: AtomicU64,
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Burst,
    Config,
    Cut(usize),
    Drain(usize),
    Freeze(usize),
    Hang(usize),
    Kill(usize),
    Lag(u64),
    Leave(f64),
    Replicas(usize, Faults),
    Restart(usize, bool),
    Term(usize),
    Throttle(usize, u64),
}

#[derive(Clone, Copy, Debug)]
struct Planned {
    at: Duration,
    length: Duration,
    seed: u64,
    trouble: Trouble,
}

/// Draws a plan. The copies come first, so that both forms of the case have the same.
fn plan(seed: u64, kind: &str, instances: usize, length: Duration) -> Vec<Planned> {
    let mut draw = Draw::new(seed);
    for _ in 0..8 {
        draw.next();
    }
    let mut plan = Vec::new();
    let span = length.as_millis() as u64;
    let mut add = |draw: &mut Draw, shortest: u64, longest: u64, trouble: Trouble| {
        let length = shortest + draw.next() % (longest - shortest + 1);
        let at = 1_000 + draw.next() % span.saturating_sub(length + 2_000).max(1);
        plan.push(Planned {
            at: Duration::from_millis(at),
            length: Duration::from_millis(length),
            seed: draw.next(),
            trouble,
        });
    };
    let share = |draw: &mut Draw, low: f64, high: f64| low + (high - low) * (draw.next() % 1_000) as f64 / 1_000.0;
    // Events in 25 seconds.
    let count = |of: u64| (of * span).div_ceil(25_000);
    for _ in 0..count(5) {
        let copies = share(&mut draw, 0.02, 0.3);
        let replica = draw.next() as usize % REPLICAS;
        add(&mut draw, 3_000.min(span / 4), 8_000.min(span / 2), Trouble::Replicas(replica, Faults { copies, ..Faults::default() }));
    }
    if kind == "copies" {
        return plan;
    }
    let some = |draw: &mut Draw, share: usize| 1 + draw.next() as usize % (instances / share).max(1);
    for _ in 0..count(1) {
        let (copies, unnamed) = (share(&mut draw, 0.02, 0.1), 0.5);
        let replica = draw.next() as usize % REPLICAS;
        add(&mut draw, 1_000, 3_000.min(span / 4), Trouble::Replicas(replica, Faults { copies, unnamed, ..Faults::default() }));
    }
    for _ in 0..count(6) {
        let (part, replica) = (share(&mut draw, 0.02, 0.2), draw.next() as usize % REPLICAS);
        let faults = match draw.next() % 4 {
            0 => Faults { lost: part, ..Faults::default() },
            1 => Faults { short: part, ..Faults::default() },
            2 => Faults { junk: part, ..Faults::default() },
            _ => Faults { slow_ms: 20 + draw.next() % 400, ..Faults::default() },
        };
        add(&mut draw, 800, 4_000.min(span / 4), Trouble::Replicas(replica, faults));
    }
    for _ in 0..count(2) {
        let (replica, same) = (draw.next() as usize % REPLICAS, draw.hits(0.6));
        add(&mut draw, 300, 1_800, Trouble::Restart(replica, same));
        add(&mut draw, 300, 1_500, Trouble::Hang((replica + 1) % REPLICAS));
        add(&mut draw, 1_000, 3_000, Trouble::Burst);
        let lag = 50 + draw.next() % 1_200;
        add(&mut draw, 1_000, 5_000.min(span / 3), Trouble::Lag(lag));
        let leaving = share(&mut draw, 0.05, 0.4);
        add(&mut draw, 1_000, 3_000.min(span / 3), Trouble::Leave(leaving));
        let zone = draw.next() as usize % 3;
        add(&mut draw, 1_000, 4_000.min(span / 3), Trouble::Cut(zone));
        let (taken, running) = (some(&mut draw, 3), 9 + draw.next() % 30);
        add(&mut draw, 1_500, 5_000.min(span / 3), Trouble::Throttle(taken, running));
    }
    let replica = draw.next() as usize % REPLICAS;
    add(&mut draw, 1_000, 2_500.min(span / 3), Trouble::Drain(replica));
    for _ in 0..count(4) {
        let taken = some(&mut draw, 4);
        add(&mut draw, 300, 3_000.min(span / 3), Trouble::Freeze(taken));
    }
    for _ in 0..count(3) {
        let taken = some(&mut draw, 12);
        add(&mut draw, 100, 1_500, Trouble::Kill(taken));
        let taken = some(&mut draw, 12);
        add(&mut draw, 100, 1_500, Trouble::Term(taken));
        add(&mut draw, 100, 200, Trouble::Config);
    }
    for _ in 0..if kind == "wide" { count(2) } else { 0 } {
        let (part, replica) = (share(&mut draw, 0.02, 0.2), draw.next() as usize % REPLICAS);
        let idle_ms = 2 + draw.next() % 300;
        add(&mut draw, 1_000, 5_000.min(span / 3), Trouble::Replicas(replica, Faults { early: part, ..Faults::default() }));
        add(&mut draw, 1_000, 5_000.min(span / 3), Trouble::Replicas((replica + 1) % REPLICAS, Faults { bare: part, ..Faults::default() }));
        add(&mut draw, 1_000, 5_000.min(span / 3), Trouble::Replicas((replica + 2) % REPLICAS, Faults { idle_ms, ..Faults::default() }));
    }
    for _ in 0..if kind == "forward" { count(3) } else { 0 } {
        let zone = draw.next() as usize % 2;
        add(&mut draw, 3_000.min(span / 4), 8_000.min(span / 3), Trouble::Cut(zone));
        let taken = some(&mut draw, 3);
        add(&mut draw, 100, 1_200, Trouble::Freeze(taken));
        let taken = some(&mut draw, 6);
        add(&mut draw, 100, 1_000, Trouble::Kill(taken));
        let taken = some(&mut draw, 6);
        add(&mut draw, 100, 1_000, Trouble::Term(taken));
    }
    plan
}

impl Scene {
    fn play(&self, planned: Planned) {
        let mut draw = Draw::new(planned.seed);
        let (shared, length) = (&self.shared, planned.length);
        let pause = || thread::sleep(length);
        shared.record.line(&format!("fault begins: {:?} for {} ms", planned.trouble, length.as_millis()));
        match planned.trouble {
            Trouble::Burst => {
                shared.is_burst.store(true, Ordering::Relaxed);
                pause();
                shared.is_burst.store(false, Ordering::Relaxed);
            }
            Trouble::Config => self.put_config(),
            Trouble::Cut(zone) => {
                shared.cut[zone].store(true, Ordering::SeqCst);
                pause();
                shared.cut[zone].store(false, Ordering::SeqCst);
            }
            Trouble::Drain(number) => {
                let old = self.replicas[number].lock().unwrap().clone();
                *old.state.lock().unwrap() = "draining";
                old.report();
                pause();
                old.remove();
                thread::sleep(Duration::from_millis(500));
                self.replace(number, false, Duration::from_millis(200));
            }
            Trouble::Freeze(count) => {
                let taken = self.take(count, &mut draw);
                self.signals.send("STOP", &taken);
                pause();
                self.signals.send("CONT", &taken);
                release(&taken);
            }
            Trouble::Hang(number) => {
                shared.faults[number].lock().unwrap().hangs = true;
                pause();
                shared.faults[number].lock().unwrap().hangs = false;
            }
            Trouble::Kill(count) => {
                let taken = self.take(count, &mut draw);
                self.signals.send("KILL", &taken);
                self.restart(&taken, length);
            }
            Trouble::Lag(lag) => {
                shared.store.set_lag(Duration::from_millis(lag));
                pause();
                shared.store.set_lag(Duration::ZERO);
            }
            Trouble::Leave(share) => {
                *shared.leaving_share.lock().unwrap() = share;
                pause();
                *shared.leaving_share.lock().unwrap() = 0.02;
            }
            Trouble::Replicas(number, faults) => {
                change(&shared.faults[number], faults, 1.0);
                pause();
                change(&shared.faults[number], faults, -1.0);
            }
            Trouble::Restart(number, same) => {
                let old = self.replicas[number].lock().unwrap().clone();
                self.replace(number, same, length);
                thread::sleep(Duration::from_millis(600));
                old.remove();
            }
            Trouble::Term(count) => {
                let taken = self.take(count, &mut draw);
                self.signals.send("TERM", &taken);
                self.restart(&taken, length);
            }
            Trouble::Throttle(count, running) => {
                let taken = self.take(count, &mut draw);
                let end = Instant::now() + length;
                while Instant::now() < end {
                    self.signals.send("STOP", &taken);
                    thread::sleep(Duration::from_millis(100 - running));
                    self.signals.send("CONT", &taken);
                    thread::sleep(Duration::from_millis(running));
                }
                release(&taken);
            }
        }
        shared.record.line(&format!("fault has ended: {:?}", planned.trouble));
    }

    /// Ends a replica and starts it under another id, at the same or another address.
    fn replace(&self, number: usize, same: bool, after: Duration) {
        let mut replica = self.replicas[number].lock().unwrap();
        replica.end();
        thread::sleep(after);
        let life = self.lives.fetch_add(1, Ordering::Relaxed);
        let port = same.then_some(replica.port);
        *replica = Replica::start(&self.shared, number, life, port);
        self.shared.record.line(&format!("replica {} begins", replica.name));
    }

    fn take(&self, count: usize, draw: &mut Draw) -> Vec<&Instance> {
        let mut taken = Vec::new();
        for _ in 0..count {
            let instance = &self.instances[draw.next() as usize % self.instances.len()];
            if !instance.is_taken.swap(true, Ordering::SeqCst) {
                taken.push(instance);
            }
        }
        let names: Vec<&str> = taken.iter().map(|instance| instance.name.as_str()).collect();
        self.shared.record.line(&format!("taken: {}", names.join(" ")));
        taken
    }

    fn restart(&self, taken: &[&Instance], after: Duration) {
        for instance in taken {
            instance.wait_end(Duration::from_secs(3));
        }
        thread::sleep(after);
        for instance in taken {
            instance.restart();
        }
        release(taken);
    }

    fn put_config(&self) {
        let version = self.version.fetch_add(3, Ordering::SeqCst);
        let route = |name: &str, prefix: &str, kind: &str| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"desk.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":600,\
                 \"TargetLatencyMs\":120,\"Priority\":2,\"Service\":\"carta\",\"MaxAttempts\":1}}"
            )
        };
        let routes = [
            route("chart-tile", "/chart/", "unsafe"),
            route("view-tile", "/view/", "safe"),
            route("other", &format!("/other-{version}/"), "unsafe"),
        ];
        let config = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"carta\",\"HealthPath\":\"/health\",\"MaxConnections\":{CONNECTIONS}}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":8388608,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(",")
        );
        self.shared.store.put("op", "config", &config);
    }
}

fn change(faults: &Mutex<Faults>, by: Faults, sign: f64) {
    let mut faults = faults.lock().unwrap();
    let add = |value: &mut f64, by: f64| *value = (*value + sign * by).max(0.0);
    add(&mut faults.copies, by.copies);
    add(&mut faults.unnamed, by.unnamed);
    add(&mut faults.lost, by.lost);
    add(&mut faults.short, by.short);
    add(&mut faults.junk, by.junk);
    add(&mut faults.early, by.early);
    add(&mut faults.bare, by.bare);
    faults.idle_ms = match sign > 0.0 {
        true => by.idle_ms.max(faults.idle_ms),
        false if by.idle_ms > 0 => 0,
        false => faults.idle_ms,
    };
    faults.slow_ms = match sign > 0.0 {
        true => faults.slow_ms + by.slow_ms,
        false => faults.slow_ms.saturating_sub(by.slow_ms),
    };
}

fn release(taken: &[&Instance]) {
    for instance in taken {
        instance.is_taken.store(false, Ordering::SeqCst);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let argument = |index: usize| arguments.get(index).map(String::as_str);
    let number = |index: usize, otherwise: u64| argument(index).map_or(otherwise, |text| text.parse().unwrap_or_else(|_| cannot_run("not a number")));
    let folder = PathBuf::from(argument(1).unwrap_or_else(|| cannot_run("no folder given")));
    let seed = number(2, 1);
    let kind = argument(3).unwrap_or("full");
    let count = number(4, 75) as usize;
    let length = Duration::from_secs(number(5, 25));
    fs::create_dir_all(&folder).unwrap();

    let shared = Arc::new(Shared {
        cut: Default::default(),
        faults: Default::default(),
        is_over: AtomicBool::new(false),
        is_burst: AtomicBool::new(false),
        is_wide: kind == "wide",
        leaving_share: Mutex::new(if kind == "copies" { 0.0 } else { 0.02 }),
        copies: AtomicU64::new(0),
        draw: Mutex::new(Draw::new(seed + 1_000)),
        record: Record::new(&folder.join("record.txt")),
        runs: Mutex::default(),
        strange: Mutex::default(),
        store: Store::start(),
    });
    let stores = [shared.store.address, shared.store.second_address(HOSTS[1]), shared.store.second_address(HOSTS[2])];
    let replicas = (0..REPLICAS).map(|number| Mutex::new(Replica::start(&shared, number, 0, None))).collect();
    let instances: Vec<Instance> = (0..count).map(|number| Instance::start(&folder, number, stores[number % 3])).collect();
    let scene = Arc::new(Scene {
        instances: Arc::new(instances),
        lives: AtomicU64::new(1),
        replicas,
        shared: shared.clone(),
        signals: Signals::new(),
        version: AtomicU64::new(7),
    });
    scene.put_config();
    let end = Instant::now() + Duration::from_secs(40);
    for instance in scene.instances.iter() {
        while !instance.is_ready() {
            if Instant::now() > end {
                cannot_run(&format!("{} was not ready in time", instance.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    shared.record.line("all instances are ready");

    let planned = plan(seed, kind, count, length);
    let answers: Arc<Answers> = Arc::default();
    let callers: Vec<_> = (0..(CALLERS_OF_75 * count).div_ceil(75).max(24))
        .map(|number| {
            let caller = Caller {
                answers: answers.clone(),
                connection: None,
                draw: Draw::new(seed * 1_000 + number as u64),
                at: number % count,
                instances: scene.instances.clone(),
                number,
                serial: 0,
                shared: shared.clone(),
            };
            spawn_small(move || caller.run())
        })
        .collect();
    let faults: Vec<_> = planned
        .iter()
        .map(|planned| {
            let (scene, planned) = (scene.clone(), *planned);
            spawn_small(move || {
                thread::sleep(planned.at);
                scene.play(planned);
            })
        })
        .collect();
    thread::sleep(length);
    let own_memory: Vec<u64> = scene.instances.iter().map(Instance::own_memory).collect();
    let (memory, most) = (own_memory.iter().sum::<u64>(), own_memory.iter().max().copied().unwrap_or(0));
    shared.is_over.store(true, Ordering::Relaxed);
    for thread in callers.into_iter().chain(faults) {
        let _ = thread.join();
    }
    thread::sleep(SETTLE);

    let (runs, answers) = (shared.runs.lock().unwrap(), answers.lock().unwrap());
    let mut broken: Vec<(String, String)> = shared.strange.lock().unwrap().clone();
    let mut counts = [0; 3];
    for (id, at) in runs.iter().filter(|(id, _)| !id.starts_with('g')) {
        let status = answers.get(id).copied();
        if at.len() > 1 {
            counts[0] += 1;
            broken.push((id.clone(), format!("TWICE: run by {}", at.join(" and "))));
        }
        if status.is_some_and(|status| PROMISES.contains(&status)) {
            counts[1] += 1;
            broken.push((id.clone(), format!("REFUSED: got {}, run by {}", status.unwrap_or(0), at.join(" and "))));
        }
        if status.is_none() {
            broken.push((id.clone(), "UNASKED: run, but never sent".to_owned()));
        }
    }
    counts[2] = broken.len() - counts[0] - counts[1];
    let with = |wanted: u16| answers.values().filter(|status| **status == wanted).count();
    let rejected = fs::read_to_string(folder.join("record.txt")).unwrap_or_default();
    let of_kind = |part: &str| rejected.lines().filter(|line| line.contains(part)).count();
    let logs = scene.instances.iter().map(|instance| fs::read_to_string(&instance.log).unwrap_or_default());
    let forwarded: usize = logs.map(|log| log.matches("passes on 200").count()).sum();
    let summary = format!(
        "seed {seed} {} instances {count}: requests {}: {} with 200, {} with 502, {} with 503, {} with 504, {} with none; run {}; rejected as full {}, at the deadline {}, misdirected {}; \
         forwarded (logged) {}; second answers {}; twice {}; refused though run {}; foreign or cut {}; memory of all instances {} MiB, of one at most {} MiB",
        kind,
        answers.len(), with(200), with(502), with(503), with(504), with(0), runs.len(),
        of_kind(": full"), of_kind(": deadline"), of_kind("is not the one for"),
        forwarded, shared.copies.load(Ordering::Relaxed), counts[0], counts[1], counts[2], memory >> 20, most >> 20
    );
    println!("{summary}");
    shared.record.line(&summary);
    let mut named = HashSet::new();
    for (id, what) in &broken {
        println!("BROKEN seed {seed} {id} {what}");
        shared.record.line(&format!("BROKEN {id} {what}"));
        if named.len() < 20 && named.insert(id) {
            rejected.lines().filter(|line| line.contains(id.as_str())).for_each(|line| println!("    {line}"));
        }
    }
    let too_few = with(200) < answers.len() / 20;
    let is_broken = !broken.is_empty();
    drop((runs, answers));
    drop(scene);
    if too_few {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(is_broken));
}
