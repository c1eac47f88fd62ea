// Stand-ins of the platform's store, of plain replicas, of clients, and a proxy; and what drives the cases with them.
// Standard library only. See the pages PROTOCOL.md and DEPLOY.md for what they follow.
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- JSON
#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}
impl J {
    pub fn get(&self, k: &str) -> Option<&J> {
        match self {
            J::Obj(v) => v.iter().find(|(n, _)| n == k).map(|(_, j)| j),
            _ => None,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            J::Num(n) => *n,
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(v) => v,
            _ => &[],
        }
    }
}
pub fn parse(s: &[u8]) -> Option<J> {
    let mut p = 0;
    let j = pv(s, &mut p)?;
    Some(j)
}
fn ws(s: &[u8], p: &mut usize) {
    while *p < s.len() && (s[*p] as char).is_ascii_whitespace() {
        *p += 1
    }
}
fn pv(s: &[u8], p: &mut usize) -> Option<J> {
    ws(s, p);
    match *s.get(*p)? {
        b'{' => {
            *p += 1;
            let mut v = Vec::new();
            loop {
                ws(s, p);
                if s.get(*p)? == &b'}' {
                    *p += 1;
                    return Some(J::Obj(v));
                }
                if s[*p] == b',' {
                    *p += 1;
                    continue;
                }
                let J::Str(k) = pv(s, p)? else { return None };
                ws(s, p);
                if s.get(*p)? != &b':' {
                    return None;
                }
                *p += 1;
                v.push((k, pv(s, p)?));
            }
        }
        b'[' => {
            *p += 1;
            let mut v = Vec::new();
            loop {
                ws(s, p);
                if s.get(*p)? == &b']' {
                    *p += 1;
                    return Some(J::Arr(v));
                }
                if s[*p] == b',' {
                    *p += 1;
                    continue;
                }
                v.push(pv(s, p)?);
            }
        }
        b'"' => {
            *p += 1;
            let mut b = Vec::new();
            loop {
                match *s.get(*p)? {
                    b'"' => {
                        *p += 1;
                        return Some(J::Str(String::from_utf8_lossy(&b).into_owned()));
                    }
                    b'\\' => {
                        let c = *s.get(*p + 1)?;
                        *p += 2;
                        match c {
                            b'n' => b.push(b'\n'),
                            b't' => b.push(b'\t'),
                            b'r' => b.push(b'\r'),
                            b'u' => {
                                let h = std::str::from_utf8(s.get(*p..*p + 4)?).ok()?;
                                *p += 4;
                                let c = char::from_u32(u32::from_str_radix(h, 16).ok()?)?;
                                b.extend(c.to_string().bytes())
                            }
                            c => b.push(c),
                        }
                    }
                    c => {
                        b.push(c);
                        *p += 1
                    }
                }
            }
        }
        b't' => {
            *p += 4;
            Some(J::Bool(true))
        }
        b'f' => {
            *p += 5;
            Some(J::Bool(false))
        }
        b'n' => {
            *p += 4;
            Some(J::Null)
        }
        _ => {
            let b = *p;
            while *p < s.len() && b"+-0123456789.eE".contains(&s[*p]) {
                *p += 1
            }
            std::str::from_utf8(&s[b..*p]).ok()?.parse().ok().map(J::Num)
        }
    }
}
pub fn q(s: &str) -> String {
    let mut o = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => o.push_str("\\\""),
            '\\' => o.push_str("\\\\"),
            '\n' => o.push_str("\\n"),
            '\r' => o.push_str("\\r"),
            '\t' => o.push_str("\\t"),
            c => o.push(c),
        }
    }
    o.push('"');
    o
}
pub fn b64(b: &[u8]) -> String {
    const A: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut o = String::new();
    for c in b.chunks(3) {
        let n = (c[0] as u32) << 16 | (*c.get(1).unwrap_or(&0) as u32) << 8 | *c.get(2).unwrap_or(&0) as u32;
        for i in 0..4 {
            if i <= c.len() {
                o.push(A[(n >> (18 - 6 * i)) as usize & 63] as char)
            } else {
                o.push('=')
            }
        }
    }
    o
}
// ---------------------------------------------------------------- HTTP
#[derive(Clone, Debug, Default)]
pub struct Msg {
    pub first: String,
    pub heads: Vec<(String, String)>,
    pub body: Vec<u8>,
}
impl Msg {
    pub fn head(&self, n: &str) -> Option<&str> {
        self.heads
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(n))
            .map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}
pub struct Conn {
    pub s: TcpStream,
    pub buf: Vec<u8>,
}
impl Conn {
    pub fn new(s: TcpStream) -> Self {
        let _ = s.set_nodelay(true);
        Conn { s, buf: Vec::new() }
    }
    fn fill(&mut self) -> io::Result<usize> {
        let mut b = [0u8; 16384];
        let n = self.s.read(&mut b)?;
        self.buf.extend_from_slice(&b[..n]);
        Ok(n)
    }
    /// None at the end of the connection before a message.
    pub fn read(&mut self) -> io::Result<Option<Msg>> {
        let end = loop {
            if let Some(i) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break i;
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut l = head.split("\r\n");
        let first = l.next().unwrap_or("").to_string();
        let heads: Vec<(String, String)> = l
            .filter_map(|h| h.split_once(':'))
            .map(|(a, b)| (a.trim().to_string(), b.trim().to_string()))
            .collect();
        let mut m = Msg {
            first,
            heads,
            body: Vec::new(),
        };
        if let Some(n) = m.head("content-length").and_then(|n| n.parse::<usize>().ok()) {
            while self.buf.len() < n {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            m.body = self.buf.drain(..n).collect();
        } else if m.head("transfer-encoding").is_some() {
            loop {
                let i = loop {
                    if let Some(i) = self.buf.windows(2).position(|w| w == b"\r\n") {
                        break i;
                    }
                    if self.fill()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                };
                let n = usize::from_str_radix(std::str::from_utf8(&self.buf[..i]).unwrap_or("0").trim(), 16)
                    .unwrap_or(0);
                while self.buf.len() < i + 4 + n {
                    if self.fill()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                m.body.extend_from_slice(&self.buf[i + 2..i + 2 + n]);
                self.buf.drain(..i + 4 + n);
                if n == 0 {
                    break;
                }
            }
        }
        Ok(Some(m))
    }
    pub fn answer(&mut self, status: &str, heads: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut o = format!("HTTP/1.1 {status}\r\n");
        for (k, v) in heads {
            o += &format!("{k}: {v}\r\n")
        }
        o += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut b = o.into_bytes();
        b.extend_from_slice(body);
        self.s.write_all(&b)
    }
}
pub fn unescape(s: &str) -> String {
    let b = s.as_bytes();
    let mut o = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            o.push(u8::from_str_radix(&s[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3
        } else if b[i] == b'+' {
            o.push(b' ');
            i += 1
        } else {
            o.push(b[i]);
            i += 1
        }
    }
    String::from_utf8_lossy(&o).into_owned()
}
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}
// ---------------------------------------------------------------- record
#[derive(Clone)]
pub struct Rec {
    pub t0: Instant,
    f: Arc<Mutex<std::fs::File>>,
}
impl Rec {
    pub fn new(path: &str) -> Self {
        Rec {
            t0: Instant::now(),
            f: Arc::new(Mutex::new(std::fs::File::create(path).expect("record"))),
        }
    }
    pub fn now(&self) -> f64 {
        self.t0.elapsed().as_secs_f64()
    }
    pub fn say(&self, s: &str) {
        let _ = writeln!(self.f.lock().unwrap(), "{:8.3} {s}", self.now());
    }
}
// ---------------------------------------------------------------- store
type Key = (String, String, String);
#[derive(Default)]
struct StoreState {
    ver: u64,
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, String, bool)>,
}
#[derive(Clone)]
pub struct Store {
    s: Arc<(Mutex<StoreState>, Condvar)>,
    pub t0: Instant,
    pub addr: SocketAddr,
    pub rec: Rec,
    pub lose_writes: Arc<AtomicBool>,
    pub calls: Arc<AtomicUsize>,
    pub verbose: Arc<AtomicBool>,
    pub reads: Arc<(Mutex<HashMap<String, u64>>, Condvar)>,
    pub down: Arc<AtomicBool>,
}
fn row_json(k: &Key, v: &str, ver: u64, removed: bool) -> String {
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Value\":{},\"Ver\":{ver}{}}}",
        q(&k.0),
        q(&k.1),
        q(&k.2),
        q(v),
        if removed { ",\"Removed\":true" } else { "" }
    )
}
impl Store {
    pub fn start(rec: &Rec) -> Store {
        let l = listen();
        let st = Store {
            s: Arc::default(),
            t0: Instant::now(),
            addr: l.local_addr().unwrap(),
            rec: rec.clone(),
            lose_writes: Arc::default(),
            calls: Arc::default(),
            verbose: Arc::default(),
            reads: Arc::default(),
            down: Arc::default(),
        };
        let me = st.clone();
        thread::spawn(move || {
            for c in l.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || {
                    let _ = me.serve(Conn::new(c));
                });
            }
        });
        st
    }
    /// Waits until a table is read once more.
    pub fn wait_read(&self, table: &str) {
        let mut r = self.reads.0.lock().unwrap();
        let n = r.get(table).copied().unwrap_or(0);
        while r.get(table).copied().unwrap_or(0) == n {
            r = self.reads.1.wait(r).unwrap();
        }
    }
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(vec![(
            (table.into(), String::new(), key.into()),
            Some(b64(value.as_bytes())),
        )])
    }
    pub fn drop_row(&self, table: &str, key: &str) -> u64 {
        self.write(vec![((table.into(), String::new(), key.into()), None)])
    }
    fn write(&self, rows: Vec<(Key, Option<String>)>) -> u64 {
        let mut s = self.s.0.lock().unwrap();
        let v = Self::apply(&mut s, rows);
        drop(s);
        self.s.1.notify_all();
        v
    }
    fn apply(s: &mut StoreState, rows: Vec<(Key, Option<String>)>) -> u64 {
        s.ver += 1;
        let ver = s.ver;
        for (k, v) in rows {
            match v {
                Some(v) => {
                    s.rows.insert(k.clone(), (v.clone(), ver));
                    s.log.push((ver, k, v, false))
                }
                None => {
                    if s.rows.remove(&k).is_some() {
                        s.log.push((ver, k, String::new(), true))
                    }
                }
            }
        }
        ver
    }
    fn tail(&self, ver: u64) -> String {
        format!("\"Ver\":{ver},\"NowMs\":{}", self.t0.elapsed().as_millis())
    }
    fn serve(&self, mut c: Conn) -> io::Result<()> {
        while let Some(m) = c.read()? {
            let mut p = m.first.split(' ');
            let (method, target) = (p.next().unwrap_or(""), p.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            if self.verbose.load(SeqCst) {
                self.rec.say(&format!(
                    "store: {} {}",
                    m.first,
                    String::from_utf8_lossy(&m.body[..m.body.len().min(160)])
                ));
            }
            self.calls.fetch_add(1, SeqCst);
            let a: HashMap<String, String> = query
                .split('&')
                .filter_map(|x| x.split_once('='))
                .map(|(k, v)| (k.into(), unescape(v)))
                .collect();
            let g = |n: &str| a.get(n).cloned().unwrap_or_default();
            let json = [("Content-Type", "application/json".to_string())];
            thread::sleep(ms(4));
            match (method, path) {
                ("GET", "/rows-get") => {
                    *self.reads.0.lock().unwrap().entry(g("Table")).or_default() += 1;
                    self.reads.1.notify_all();
                    let s = self.s.0.lock().unwrap();
                    let (t, part) = (g("Table"), g("part"));
                    let mut out = Vec::new();
                    let lim = a
                        .get("Limit")
                        .and_then(|x| x.parse().ok())
                        .unwrap_or(500usize)
                        .min(500);
                    let mut more = false;
                    for (k, (v, ver)) in &s.rows {
                        if k.0 != t
                            || k.1 != part
                            || k.2 < g("From")
                            || a.get("To").is_some_and(|to| &k.2 >= to)
                        {
                            continue;
                        }
                        if out.len() == lim {
                            more = true;
                            break;
                        }
                        out.push(row_json(k, v, *ver, false))
                    }
                    let b = format!(
                        "{{\"Rows\":[{}],\"HasMore\":{more},{}}}",
                        out.join(","),
                        self.tail(s.ver)
                    );
                    drop(s);
                    c.answer("200 OK", &json, b.as_bytes())?;
                }
                ("GET", "/rows-feed") => {
                    let t = g("Table");
                    let after: u64 = g("after").parse().unwrap_or(0);
                    let until = Instant::now() + ms(g("WaitMs").parse().unwrap_or(0).min(30_000));
                    let mut s = self.s.0.lock().unwrap();
                    let b = loop {
                        let out: Vec<String> = s
                            .log
                            .iter()
                            .filter(|(v, k, _, _)| *v > after && k.0 == t)
                            .map(|(v, k, x, r)| row_json(k, x, *v, *r))
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !out.is_empty() || left.is_zero() {
                            break format!("{{\"Rows\":[{}],{}}}", out.join(","), self.tail(s.ver));
                        }
                        s = self.s.1.wait_timeout(s, left).unwrap().0;
                    };
                    drop(s);
                    c.answer("200 OK", &json, b.as_bytes())?;
                }
                ("POST", "/rows-tx") => {
                    let Some(j) = parse(&m.body) else {
                        c.answer("400 Bad Request", &[], b"")?;
                        continue;
                    };
                    let key = |r: &J| -> Key {
                        let f = |n: &str| r.get(n).map(|x| x.str().to_string()).unwrap_or_default();
                        (f("Table"), f("part"), f("Key"))
                    };
                    let list = |n: &str| j.get(n).map(|x| x.arr().to_vec()).unwrap_or_default();
                    let mut s = self.s.0.lock().unwrap();
                    let bad = list("Expected").iter().any(|r| {
                        s.rows.get(&key(r)).map_or(0, |x| x.1) != r.get("Ver").map_or(0.0, |n| n.num()) as u64
                    });
                    if bad {
                        let rows: Vec<String> = list("Expected")
                            .iter()
                            .filter_map(|r| {
                                let k = key(r);
                                s.rows.get(&k).map(|(v, ver)| row_json(&k, v, *ver, false))
                            })
                            .collect();
                        let b = format!("{{\"Rows\":[{}],{}}}", rows.join(","), self.tail(s.ver));
                        drop(s);
                        c.answer("412 Precondition Failed", &json, b.as_bytes())?;
                    } else {
                        let mut w: Vec<(Key, Option<String>)> = list("SetKeys")
                            .iter()
                            .map(|r| {
                                (
                                    key(r),
                                    Some(r.get("Value").map(|x| x.str().to_string()).unwrap_or_default()),
                                )
                            })
                            .collect();
                        w.extend(list("Remove").iter().map(|r| (key(r), None)));
                        let ver = Self::apply(&mut s, w);
                        drop(s);
                        self.s.1.notify_all();
                        if self.lose_writes.load(SeqCst) {
                            self.rec.say("store: a write is done and its answer lost");
                            loop {
                                if c.fill()? == 0 {
                                    return Ok(());
                                }
                            }
                        }
                        let b = format!("{{{}}}", self.tail(ver));
                        c.answer("200 OK", &json, b.as_bytes())?;
                    }
                }
                _ => c.answer("404 Not Found", &[], b"")?,
            }
        }
        Ok(())
    }
}
// ---------------------------------------------------------------- proxy in front of the store, one per instance
/// mode: 0 passes; 1 drops all silently; 2 resets. Connections with a number below `silent_below` have gone silent for good.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    pub mode: Arc<AtomicUsize>,
    pub silent_below: Arc<AtomicU64>,
    pub next: Arc<AtomicU64>,
    pub open: Arc<AtomicUsize>,
}
impl Proxy {
    pub fn start(to: SocketAddr, rec: &Rec, name: &str) -> Proxy {
        let l = listen();
        let p = Proxy {
            addr: l.local_addr().unwrap(),
            mode: Arc::default(),
            silent_below: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            open: Arc::default(),
        };
        let me = p.clone();
        let rec = rec.clone();
        let name = name.to_string();
        thread::spawn(move || {
            for c in l.incoming().flatten() {
                let n = me.next.fetch_add(1, SeqCst);
                let me = me.clone();
                let rec = rec.clone();
                let name = name.clone();
                rec.say(&format!(
                    "{name}: connection {n} is opened, mode {}",
                    me.mode.load(SeqCst)
                ));
                if me.mode.load(SeqCst) == 2 {
                    reset(&c);
                    continue;
                }
                thread::spawn(move || {
                    let Ok(up) = TcpStream::connect(to) else { return };
                    let _ = up.set_nodelay(true);
                    let _ = c.set_nodelay(true);
                    me.open.fetch_add(1, SeqCst);
                    let (c2, u2, me2) = (c.try_clone().unwrap(), up.try_clone().unwrap(), me.clone());
                    let h = thread::spawn(move || me2.pump(u2, c2, n));
                    me.pump(c, up, n);
                    let _ = h.join();
                    me.open.fetch_sub(1, SeqCst);
                });
            }
        });
        p
    }
    fn pump(&self, mut a: TcpStream, mut b: TcpStream, n: u64) {
        let mut buf = [0u8; 16384];
        let mut lost = false;
        let _ = a.set_read_timeout(Some(ms(50)));
        loop {
            if self.mode.load(SeqCst) == 2 {
                reset(&a);
                reset(&b);
                return;
            }
            match a.read(&mut buf) {
                Ok(0) => {
                    if !(lost || n < self.silent_below.load(SeqCst)) {
                        let _ = b.shutdown(Shutdown::Write);
                    }
                    return;
                }
                Ok(k) => {
                    // what a cut holds up is lost with its connection
                    if lost || self.mode.load(SeqCst) == 1 || n < self.silent_below.load(SeqCst) {
                        lost = true;
                        continue;
                    }
                    if b.write_all(&buf[..k]).is_err() {
                        let _ = a.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => {
                    let _ = b.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}
fn reset(s: &TcpStream) {
    let l: [i32; 2] = [1, 0];
    unsafe {
        setsockopt(
            std::os::fd::AsRawFd::as_raw_fd(s),
            1,
            13,
            l.as_ptr() as *const _,
            8,
        );
    }
    let _ = s.shutdown(Shutdown::Both);
}
extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const std::ffi::c_void, len: u32) -> i32;
    fn kill(pid: i32, sig: i32) -> i32;
    fn prctl(option: i32, value: u64, c: u64, d: u64, e: u64) -> i32;
}
/// Has the kernel end a process with the one that starts it.
fn end_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    let set = || {
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
        Ok(())
    };
    unsafe { std::os::unix::process::CommandExt::pre_exec(command, set) }
}
pub fn signal(c: &Child, sig: i32) {
    unsafe {
        kill(c.id() as i32, sig);
    }
}
// ---------------------------------------------------------------- plain replicas
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub state: Arc<Mutex<&'static str>>,
    pub listed: Arc<AtomicBool>,
    pub dead: Arc<AtomicBool>,
    pub work: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<(f64, String)>>>,
    pub seq: Arc<AtomicU64>,
    pub conns: Arc<Mutex<Vec<TcpStream>>>,
    pub keep_alive: u64,
}
impl Replica {
    pub fn start(rec: &Rec, store: &Store, id: &str, service: &str, zone: &str, work_ms: u64) -> Replica {
        let l = listen();
        let r = Replica {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: l.local_addr().unwrap(),
            state: Arc::new(Mutex::new("ready")),
            listed: Arc::new(AtomicBool::new(true)),
            dead: Arc::default(),
            work: Arc::new(AtomicU64::new(work_ms)),
            runs: Arc::default(),
            seq: Arc::default(),
            conns: Arc::default(),
            keep_alive: 15,
        };
        let (me, rc) = (r.clone(), rec.clone());
        thread::spawn(move || {
            for c in l.incoming().flatten() {
                if me.dead.load(SeqCst) {
                    reset(&c);
                    return;
                }
                let (me, rc) = (me.clone(), rc.clone());
                me.conns.lock().unwrap().push(c.try_clone().unwrap());
                thread::spawn(move || {
                    let _ = me.serve(Conn::new(c), &rc);
                });
            }
        });
        let (me, st) = (r.clone(), store.clone());
        me.beat(&st);
        thread::spawn(move || loop {
            thread::sleep(ms(1200));
            if me.dead.load(SeqCst) {
                return;
            }
            me.beat(&st)
        });
        r
    }
    pub fn beat(&self, store: &Store) {
        if !self.listed.load(SeqCst) || store.down.load(SeqCst) {
            return;
        }
        store.put("servers", &self.id, &self.next_entry());
    }
    /// The entry as the next heartbeat writes it.
    pub fn next_entry(&self) -> String {
        let number = self.seq.fetch_add(1, SeqCst);
        let (service, zone, state) = (q(&self.service), q(&self.zone), q(*self.state.lock().unwrap()));
        let rest = format!("\"Zone\":{zone},\"Version\":\"v1\",\"Slots\":16,\"State\":{state},\"ColdRemainingMs\":0,\"Sequence\":{number}");
        format!("{{\"Service\":{service},\"Address\":\"{}\",{rest}}}", self.addr)
    }
    /// Ends at once, as a process that exits.
    pub fn end(&self) {
        self.dead.store(true, SeqCst);
        for c in self.conns.lock().unwrap().drain(..) {
            reset(&c)
        }
        let _ = TcpStream::connect(self.addr);
    }
    fn serve(&self, mut c: Conn, rec: &Rec) -> io::Result<()> {
        while let Some(m) = c.read()? {
            let inst = ("X-Instance-Id", self.id.clone());
            let ka = ("Keep-Alive", format!("timeout={}", self.keep_alive));
            if m.first.contains(" /health ") {
                c.answer(
                    if *self.state.lock().unwrap() == "ready" {
                        "200 OK"
                    } else {
                        "503 Service Unavailable"
                    },
                    &[inst, ka],
                    b"",
                )?;
                continue;
            }
            let id = m.head("x-request-id").unwrap_or("").to_string();
            if let Some(e) = m.head("x-expect-instance") {
                if e != self.id {
                    rec.say(&format!("replica {} answers 421 to {id}", self.id));
                    c.answer(
                        "421 Misdirected Request",
                        &[inst, ("X-Request-Id", id), ("X-Not-Executed", "1".into())],
                        b"",
                    )?;
                    continue;
                }
            }
            rec.say(&format!("replica {} runs {id} ({})", self.id, m.first));
            self.runs.lock().unwrap().push((rec.now(), id.clone()));
            thread::sleep(ms(self.work.load(SeqCst)));
            if self.dead.load(SeqCst) {
                return Ok(());
            }
            c.answer(
                "200 OK",
                &[
                    ("X-Request-Id", id.clone()),
                    ("X-Response-Signature", format!("{}.{id}", self.id)),
                    ka,
                    inst,
                ],
                format!("by {} for {id}", self.id).as_bytes(),
            )?;
        }
        Ok(())
    }
}
// ---------------------------------------------------------------- instances
pub struct Inst {
    pub child: Child,
    pub admin: SocketAddr,
    pub callers: SocketAddr,
    pub name: String,
}
pub struct Site {
    pub dir: String,
    pub bin: String,
    pub zones: Vec<String>,
    pub extra: String,
}
fn free_port(udp: bool) -> u16 {
    if udp {
        std::net::UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .port()
    } else {
        listen().local_addr().unwrap().port()
    }
}
impl Site {
    /// Starts the command of the deploy file with settings as its template gives them.
    pub fn start(&self, name: &str, zone: &str, store: SocketAddr, peers: bool, first: bool) -> Inst {
        let (a, c, p) = (free_port(false), free_port(false), free_port(true));
        self.start_at(name, zone, store, peers, first, a, c, p)
    }
    pub fn start_at(
        &self,
        name: &str,
        zone: &str,
        store: SocketAddr,
        peers: bool,
        first: bool,
        a: u16,
        c: u16,
        p: u16,
    ) -> Inst {
        let zl: Vec<String> = self.zones.iter().map(|z| q(z)).collect();
        let rg: Vec<String> = self
            .zones
            .iter()
            .map(|z| format!("{}: \"cantabrico\"", q(z)))
            .collect();
        let y = format!("instance: {}\nzone: {}\nregion: \"cantabrico\"\nregions: {{{}}}\nfirst_start: {first}\ncapacity:\n  cores: 0.25\n  link_mbps: 1000.0\n  memory_mb: 110\nlisten:\n  admin: \"127.0.0.1:{a}\"\n  callers: \"127.0.0.1:{c}\"\n{}close:\n  grace: 8s\nplatform:\n  address: \"{store}\"\n  list_poll: 900ms\n  poll: 2s\n  timeout: 700ms\norders:\n  checks_fence: true\n  enabled: true\n  lease: 3000ms\nretries:\n  ratio: 0.2\n  slack: 58\n  window: 10s\n  zones: [{}]\nupstreams:\n  heartbeat: 1200ms\nlog:\n  format: json\n  level: info\n{}",
            q(name), q(zone), rg.join(", "), if peers { format!("  peers: \"127.0.0.1:{p}\"\n") } else { String::new() }, zl.join(","),
            if self.extra.is_empty() { "customers:\n  overage: 0\n  revoked_within: null\n  slack: 0\n  window: 1s\n" } else { &self.extra });
        let f = format!("{}/{name}.yaml", self.dir);
        std::fs::write(&f, y).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/{name}.log", self.dir))
            .unwrap();
        let mut command = Command::new(&self.bin);
        let child = end_with_parent(&mut command)
            .args(["relay", "--settings", &f])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the relay starts");
        Inst {
            child,
            admin: format!("127.0.0.1:{a}").parse().unwrap(),
            callers: format!("127.0.0.1:{c}").parse().unwrap(),
            name: name.into(),
        }
    }
}
// Nothing that was started outlives the case, however it ends.
impl Drop for Inst {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
impl Inst {
    pub fn ready(&self) -> bool {
        call(self.admin, "GET /ready HTTP/1.1\r\nHost: x\r\n", b"", ms(500))
            .map(|m| m.status() == 200)
            .unwrap_or(false)
    }
    pub fn stop(self) {}
}
// ---------------------------------------------------------------- client
/// One request on a new connection; `head` without the last empty line.
pub fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Msg> {
    let s = TcpStream::connect_timeout(&to, ms(1000))?;
    s.set_read_timeout(Some(limit))?;
    let mut c = Conn::new(s);
    let mut b = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    b.extend_from_slice(body);
    c.s.write_all(&b)?;
    c.read()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map(|t| t != "0").unwrap_or(true)
}
