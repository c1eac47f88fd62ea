//! Stand-ins for the cases: the platform's store, replicas of plain services, clients, and the relay as a process of its
//! own. The standard library is enough for them.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Writes what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))),
            start: Instant::now(),
        }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Whether the disruption is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The case couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case couldn't run: {reason}");
    std::process::exit(2)
}

// ---------------------------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.iter().find(|(of, _)| of == name).map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.0123456789abcdefghijklmnopqrstuvwxyzE".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let character = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        text.extend(character.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, split at spaces.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(of, _)| of.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or("").to_owned()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a message in full; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()))
}

/// A port that is free now. Two in a row differ.
pub fn free_port() -> u16 {
    listen().local_addr().unwrap().port()
}

pub fn free_udp_port() -> u16 {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// --------------------------------------------------------------------------------------------------------------- store

type RowKey = (String, String);

#[derive(Default)]
struct Content {
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    encoded: BTreeMap<RowKey, String>,
    removed: BTreeMap<RowKey, u64>,
    version: u64,
}

/// The platform's store: rows, a feed, and transactions.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    /// Answers are as old as this when they are sent, in milliseconds.
    lag: Arc<AtomicU64>,
    start: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let store = Self {
            address: listener.local_addr().unwrap(),
            content: Arc::default(),
            lag: Arc::default(),
            start: Instant::now(),
        };
        store.accept(listener, None);
        store
    }

    /// A further address of the store, whose rows name this host in place of 127.0.0.1: another way to the same replicas.
    pub fn second_address(&self, host: &'static str) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        self.accept(listener, Some(host));
        address
    }

    pub fn set_lag(&self, lag: Duration) {
        self.lag.store(lag.as_millis() as u64, Ordering::Relaxed);
    }

    fn accept(&self, listener: TcpListener, host: Option<&'static str>) {
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream, host));
            }
        });
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        let key = (table.to_owned(), key.to_owned());
        content.removed.remove(&key);
        content.encoded.insert(key.clone(), to_base64(value.as_bytes()));
        content.rows.insert(key, (value.as_bytes().to_vec(), version));
        changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        let key = (table.to_owned(), key.to_owned());
        content.rows.remove(&key);
        content.encoded.remove(&key);
        content.removed.insert(key, version);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, host: Option<&str>) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&call, host);
            thread::sleep(Duration::from_millis(self.lag.load(Ordering::Relaxed)));
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, host: Option<&str>) -> (u16, String) {
        let target = call.start.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        match path {
            "/rows-get" => self.get(&query, host),
            "/rows-feed" => self.feed(&query, host),
            "/rows-tx" => self.transact(&call.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn tail(&self, version: u64) -> String {
        format!("\"Ver\":{version},\"NowMs\":{}", self.start.elapsed().as_millis())
    }

    fn get(&self, query: &BTreeMap<String, String>, host: Option<&str>) -> (u16, String) {
        let content = self.content.0.lock().unwrap();
        let empty = String::new();
        let table = query.get("Table").unwrap_or(&empty);
        let from = query.get("From").unwrap_or(&empty);
        let to = query.get("To").filter(|to| !to.is_empty());
        let rows: Vec<String> = content
            .rows
            .iter()
            .filter(|((of, key), _)| of == table && key >= from && to.is_none_or(|to| key < to))
            .map(|(key, (value, version))| row(key, &at_host(&content.encoded[key], value, host), *version))
            .collect();
        (200, format!("{{\"Rows\":[{}],\"HasMore\":false,{}}}", rows.join(","), self.tail(content.version)))
    }

    fn feed(&self, query: &BTreeMap<String, String>, host: Option<&str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, end) = (number("after"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let table = query.get("Table").cloned().unwrap_or_default();
        let (lock, changed) = &*self.content;
        let mut content = lock.lock().unwrap();
        loop {
            let mut rows: Vec<(u64, String)> = content
                .rows
                .iter()
                .filter(|((of, _), (_, version))| *of == table && *version > after)
                .map(|(key, (value, version))| (*version, row(key, &at_host(&content.encoded[key], value, host), *version)))
                .collect();
            rows.extend(content.removed.iter().filter(|((of, _), version)| *of == table && **version > after).map(
                |(key, version)| {
                    let text = format!(
                        "{{\"Table\":{},\"part\":\"\",\"Key\":{},\"Removed\":true,\"Ver\":{version}}}",
                        quoted(&key.0),
                        quoted(&key.1)
                    );
                    (*version, text)
                },
            ));
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, text)| text).collect();
                return (200, format!("{{\"Rows\":[{}],{}}}", rows.join(","), self.tail(content.version)));
            }
            content = changed.wait_timeout(content, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.get("Table").text().to_owned(), row.get("Key").text().to_owned());
        let (lock, changed) = &*self.content;
        let mut content = lock.lock().unwrap();
        let writes = call.get("SetKeys").list().iter().chain(call.get("Remove").list());
        if writes.clone().any(|row| ["op", "servers"].contains(&row.get("Table").text())) {
            return (403, "{}".to_owned());
        }
        let expected = call.get("Expected").list();
        let version_of = |content: &Content, key: &RowKey| content.rows.get(key).map_or(0, |(_, version)| *version);
        if expected.iter().any(|row| version_of(&content, &key(row)) != row.get("Ver").number() as u64) {
            let rows: Vec<String> = expected
                .iter()
                .map(|expected| {
                    let key = key(expected);
                    let value = content.encoded.get(&key).cloned().unwrap_or_default();
                    row(&key, &value, version_of(&content, &key))
                })
                .collect();
            return (412, format!("{{\"Rows\":[{}],{}}}", rows.join(","), self.tail(content.version)));
        }
        content.version += 1;
        let version = content.version;
        for row in call.get("SetKeys").list() {
            let key = key(row);
            content.removed.remove(&key);
            content.encoded.insert(key.clone(), row.get("Value").text().to_owned());
            content.rows.insert(key, (Vec::new(), version));
        }
        for row in call.get("Remove").list() {
            let key = key(row);
            content.rows.remove(&key);
            content.encoded.remove(&key);
            content.removed.insert(key, version);
        }
        changed.notify_all();
        (200, format!("{{{}}}", self.tail(version)))
    }
}

/// The encoded value with another host. Only values of the operator and of replicas are kept unencoded, and name hosts.
fn at_host(encoded: &str, value: &[u8], host: Option<&str>) -> String {
    match (host, std::str::from_utf8(value)) {
        (Some(host), Ok(text)) if !text.is_empty() => to_base64(text.replace("127.0.0.1", host).as_bytes()),
        _ => encoded.to_owned(),
    }
}

fn row(key: &RowKey, encoded: &str, version: u64) -> String {
    format!(
        "{{\"Table\":{},\"part\":\"\",\"Key\":{},\"Value\":\"{encoded}\",\"Ver\":{version}}}",
        quoted(&key.0),
        quoted(&key.1)
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// --------------------------------------------------------------------------------------------------------------- relay

/// An instance in a process of its own, started with the command of the deploy file.
pub struct Relay {
    child: Child,
    pub name: String,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
}

impl Relay {
    /// Starts an instance with the template of the deploy file, filled in as for the sounding desk.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let callers = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, settings_text(name, zone, store, callers, ready)).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self { child, name: name.to_owned(), settings, callers, ready, log }
    }

    /// Kills the process, and starts it again after a moment.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        thread::sleep(Duration::from_millis(500));
        self.child = spawn(&self.settings, &self.log);
    }

    /// The memory of the process without the pages of files, bytes.
    pub fn own_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) << 10
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.ready_status() == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        cannot_run(&format!("an instance was not ready within 20 s; its log:\n{log}"));
    }

    pub fn ready_status(&self) -> u16 {
        let asking = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        asking().unwrap_or(0)
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
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

fn settings_text(name: &str, zone: &str, store: SocketAddr, callers: SocketAddr, ready: SocketAddr) -> String {
    let peers = free_udp_port();
    format!(
        "instance: \"{name}\"
zone: \"{zone}\"
region: \"cantabrico\"
regions: {{\"gijon\":\"cantabrico\",\"santander\":\"cantabrico\",\"ferrol\":\"cantabrico\"}}
first_start: false
capacity:
  cores: 0.25
  link_mbps: 1000.0
  memory_mb: 110
listen:
  admin: \"{ready}\"
  callers: \"{callers}\"
  peers: \"127.0.0.1:{peers}\"
platform:
  address: \"{store}\"
  list_poll: 900ms
  poll: 2s
  timeout: 700ms
orders:
  checks_fence: true
  enabled: true
  lease: 3000ms
retries:
  ratio: 0.2
  slack: 58
  window: 10s
  zones: [\"gijon\",\"santander\",\"ferrol\"]
upstreams:
  heartbeat: 1200ms
log:
  format: json
  level: info
customers:
  overage: 0
  revoked_within: null
  slack: 0
  window: 1s
"
    )
}

/// A folder for the files of a run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), free_port()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A sequence of numbers from a seed.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// True with this probability.
    pub fn hits(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / ((1u64 << 53) as f64) < probability
    }
}
