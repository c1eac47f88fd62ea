//! A stand-in for an upstream of a plain service with few places, which sends a part of its answers twice.

use {
    super::wire_text::{WireMessage, read_body, read_head},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncWriteExt, ReadHalf, WriteHalf},
        net::{TcpListener, TcpStream},
        sync::{Mutex as AsyncMutex, Semaphore},
        time,
    },
};

/// How many requests it runs at once.
const PLACES: usize = 4;
/// How many requests it holds, running and waiting.
const MAX_OPEN: usize = 8;
const WORK: Duration = Duration::from_millis(10);
const COPIED_SHARE: f64 = 0.3;
const LOST_SHARE: f64 = 0.02;
/// A copy on an idle connection comes at most this long after its answer.
const IDLE_WAIT_MS: u64 = 30;

type Writer = Arc<AsyncMutex<WriteHalf<TcpStream>>>;

/// The upstream. Clones share it.
#[derive(Clone, Debug)]
pub struct CopyingUpstream {
    pub address: SocketAddr,
    pub id: String,
    copies: Arc<AtomicUsize>,
    draw: Arc<Mutex<Pcg64Mcg>>,
    lines: Arc<Mutex<Vec<String>>>,
    open: Arc<AtomicUsize>,
    places: Arc<Semaphore>,
    runs: Arc<Mutex<HashMap<String, usize>>>,
    zone: String,
}

impl CopyingUpstream {
    pub async fn start(id: &str, zone: &str, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            id: id.to_owned(),
            copies: Arc::default(),
            draw: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed))),
            lines: Arc::default(),
            open: Arc::default(),
            places: Arc::new(Semaphore::new(PLACES)),
            runs: Arc::default(),
            zone: zone.to_owned(),
        };
        tokio::spawn(upstream.clone().accept(listener));
        upstream
    }

    /// How many copies of refusals it has sent.
    pub fn copies(&self) -> usize {
        self.copies.load(Ordering::Relaxed)
    }

    /// What it did that concerns a request.
    pub fn lines_of(&self, request: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line.contains(request));
        lines.cloned().collect()
    }

    /// Its row in the list of upstreams.
    pub fn report(&self) -> Value {
        json!({
            "Service": "carta", "Address": self.address, "Zone": self.zone, "Version": "1",
            "Slots": PLACES, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
        })
    }

    /// How often each request ran.
    pub fn runs(&self) -> HashMap<String, usize> {
        self.runs.lock().unwrap().clone()
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let (reader, writer) = tokio::io::split(stream);
            let writer = Arc::new(AsyncMutex::new(writer));
            tokio::spawn(self.clone().serve(reader, writer));
        }
    }

    async fn serve(self, mut reader: ReadHalf<TcpStream>, writer: Writer) {
        let mut rest = Vec::new();
        let mut late: Option<(String, String)> = None;
        while let Some(mut message) = read_head(&mut reader, &mut rest).await {
            if !read_body(&mut reader, &mut rest, &mut message).await {
                return;
            }
            let request = message.header("x-request-id").unwrap_or_default();
            if self.hits(0.5) && !self.send_copy(&writer, &mut late, request).await {
                return;
            }
            let (is_refusal, answer) = self.answer(&message, request).await;
            if !self.send_copy(&writer, &mut late, request).await {
                return;
            }
            if self.hits(LOST_SHARE) {
                self.note(format!("no answer to {request}"));
                return;
            }
            if writer
                .lock()
                .await
                .write_all(answer.as_bytes())
                .await
                .is_err()
            {
                return;
            }
            if !self.hits(COPIED_SHARE) {
                continue;
            }
            self.copies
                .fetch_add(usize::from(is_refusal), Ordering::Relaxed);
            if self.hits(0.8) {
                late = Some((request.to_owned(), answer));
                continue;
            }
            let wait =
                Duration::from_millis(self.draw.lock().unwrap().random_range(0..IDLE_WAIT_MS));
            let (upstream, request, writer) = (self.clone(), request.to_owned(), writer.clone());
            tokio::spawn(async move {
                time::sleep(wait).await;
                let mut late = Some((request, answer));
                upstream.send_copy(&writer, &mut late, "none").await
            });
        }
    }

    /// Returns whether the connection continues.
    async fn send_copy(
        &self,
        writer: &Writer,
        late: &mut Option<(String, String)>,
        before: &str,
    ) -> bool {
        let Some((of, copy)) = late.take() else {
            return true;
        };
        self.note(format!("second answer to {of}, before that to {before}"));
        let is_sent = writer.lock().await.write_all(copy.as_bytes()).await.is_ok();
        time::sleep(Duration::from_millis(2)).await;
        is_sent
    }

    /// Whether it is a refusal, and the answer.
    async fn answer(&self, message: &WireMessage, request: &str) -> (bool, String) {
        let head = format!("X-Request-Id: {request}\r\n");
        let not_run = format!("{head}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return (true, format!("HTTP/1.1 421 Misdirected\r\n{not_run}"));
        }
        if self.open.fetch_add(1, Ordering::Relaxed) >= MAX_OPEN {
            self.open.fetch_sub(1, Ordering::Relaxed);
            self.note(format!("refuses {request}"));
            return (true, format!("HTTP/1.1 503 Full\r\n{not_run}"));
        }
        let place = self.places.acquire().await.unwrap();
        self.note(format!("runs {request}"));
        self.count_run(request);
        time::sleep(WORK).await;
        drop(place);
        self.open.fetch_sub(1, Ordering::Relaxed);
        let body = format!("answer to {request}");
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{head}X-Response-Signature: s\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        (false, answer)
    }

    fn count_run(&self, request: &str) {
        let mut runs = self.runs.lock().unwrap();
        *runs.entry(request.to_owned()).or_default() += 1;
    }

    fn hits(&self, share: f64) -> bool {
        self.draw.lock().unwrap().random_bool(share)
    }

    fn note(&self, line: String) {
        self.lines
            .lock()
            .unwrap()
            .push(format!("{}: {line}", self.id));
    }
}
