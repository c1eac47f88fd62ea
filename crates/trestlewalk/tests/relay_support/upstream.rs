//! A stand-in for an upstream that can misbehave in each documented way.

use {
    super::{
        contradiction::Contradiction,
        copied_answers::CopyPlan,
        crash_trigger::CrashTrigger,
        endless::{EndlessAnswer, EndlessPart, EndlessRecord},
        engine_answers::answer_engine,
        wire_text::{WireMessage, read_body, read_head},
    },
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time,
    },
    tokio_util::sync::CancellationToken,
};

/// How long the crashing request runs before its upstream crashes.
const RUN_BEFORE_CRASH: Duration = Duration::from_millis(60);

/// A refusal that names no request.
const UNNAMED_REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The pause between a late copy of an answer and the next answer.
const BETWEEN_ANSWERS: Duration = Duration::from_millis(5);

/// The pause between an early refusal and the reading of the body.
const BEFORE_BODY: Duration = Duration::from_millis(20);

/// The memory of an engine, tokens: more than the tests use.
const ENGINE_TOKENS: u64 = 90_000;

/// The kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    Decode,
    Plain,
    Prefill,
}

/// How an upstream behaves towards calls with a request id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamMode {
    /// A complete answer with status 200.
    Answer,
    /// This status without a statement on whether the request ran.
    BareRefusal(u16),
    /// A rejection that contradicts itself.
    Contradicts(Contradiction),
    /// Answers that come twice, or as often as the plan says.
    Copies(CopyPlan),
    /// The first part of a whole answer. The connection ends with it.
    Cut(AnswerCut),
    /// A stream that stops in the middle of an event, after this many events.
    CutAfter(usize),
    /// A stream that breaks after this one event, which need not be valid.
    CutAfterEvent(&'static [u8]),
    /// A truncated answer.
    CutBody,
    /// An encoding that was not requested.
    Encoded,
    /// An answer without end.
    Endless(EndlessAnswer),
    /// A second answer right after the first.
    Extra,
    /// A signed error of its own.
    Fail,
    /// A stream of this many bytes, in events of 1 KB each.
    Flood(usize),
    /// An answer with the id of another request.
    Foreign,
    /// A complete answer with a body of this many bytes.
    Large(usize),
    /// Refuses a request as not run. A second copy of the refusal comes right before the answer to the next request on the
    /// connection, which runs.
    LateRefusal,
    /// A complete answer. Before the next one on the connection comes a refusal that names no request.
    LateUnnamedRefusal,
    /// No answer.
    Mute,
    /// A stream that pauses after this many events.
    PauseAfter(usize, Duration),
    /// Sends this text as the answer to a request, with `{id}` for its id, and closes the connection if the text says so.
    Raw(&'static str),
    /// Sends this text as the answer to reservations, reports and other calls that run no request.
    RawToOwnCalls(&'static str),
    /// Reads the request and resets the connection.
    Reset,
    /// 503 as not run; an engine refuses reservations as well.
    Shed,
    /// A complete answer with status 200, after a delay.
    Slow(Duration),
    /// An engine accepts a reservation and then refuses the request: 503 as not run.
    TurnAway,
    /// No length; the connection is closed in order.
    Unframed,
    /// No length; the connection is reset.
    UnframedReset,
    /// 503 as not run, after a delay.
    SlowRefusal(Duration),
    /// 200 without a signature.
    Unsigned,
}

/// Where an answer ends too early, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerCut {
    /// How much of the answer is sent.
    pub bytes: usize,
    /// Whether calls that run no request are answered so; requests otherwise.
    pub of_own_calls: bool,
    /// Whether the connection is reset; it is closed in order otherwise.
    pub resets: bool,
}

impl AnswerCut {
    /// Sends the part; returns whether the connection continues.
    pub async fn send(self, stream: &mut TcpStream, answer: &str) -> bool {
        let part = &answer.as_bytes()[..self.bytes.min(answer.len())];
        let is_sent = stream.write_all(part).await.is_ok();
        if is_sent && self.resets {
            // The part has to be read before the reset discards it.
            time::sleep(Duration::from_millis(5)).await;
            reset(stream);
        }
        false
    }
}

/// A call as the upstream received it.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub at: Instant,
    pub message: WireMessage,
    pub ran: bool,
}

#[derive(Debug)]
pub struct UpstreamState {
    /// The pause that its refusals ask for.
    pub backoff: Option<String>,
    /// Whether second copies come before answers to requests alone, and not before those to reservations.
    pub copies_to_requests_only: bool,
    /// How many answers were due to be copied.
    pub copied_answers: usize,
    /// The requests that crash the upstream.
    pub crashes_on: Option<CrashTrigger>,
    pub held: usize,
    /// How long it keeps idle connections, as its answers state it.
    pub idle_timeout: Option<String>,
    pub kind: UpstreamKind,
    /// How many second copies were sent.
    pub late_answers: usize,
    /// Second copies of refusals that are still to be sent, by the caller of the connection.
    pub late_refusals: HashMap<SocketAddr, String>,
    /// The statement in its answers that it leaves.
    pub leaving: Option<String>,
    /// How long the listener stays open after the connections are reset by a crash.
    pub linger: Duration,
    /// The prompt parts that an engine lists as cached.
    pub listed: Vec<String>,
    /// How long an engine takes to list them.
    pub list_pause: Duration,
    /// The memory that an engine reports, tokens.
    pub memory_tokens: u64,
    pub mode: UpstreamMode,
    pub orders: u64,
    /// The rate limit that its answers state.
    pub rate_limit: Option<String>,
    pub received: Vec<ReceivedCall>,
    /// The software version that its row in the list states.
    pub software: String,
    /// How many further reservations an engine leaves without an answer.
    pub unanswered_holds: usize,
    /// Streams have neither a length nor chunks and end with their connection, which is closed in order also by a crash.
    pub unframed: bool,
}

/// The upstream. Clones share it.
#[derive(Clone, Debug)]
pub struct UpstreamStandIn {
    pub address: SocketAddr,
    /// Cancelled when the upstream crashes.
    crashed: CancellationToken,
    pub endless: EndlessRecord,
    pub id: String,
    pub service: String,
    pub state: Arc<Mutex<UpstreamState>>,
    pub zone: String,
}

impl UpstreamStandIn {
    pub async fn start(id: &str, service: &str, zone: &str, kind: UpstreamKind) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            crashed: CancellationToken::new(),
            endless: EndlessRecord::default(),
            id: id.to_owned(),
            service: service.to_owned(),
            state: Arc::new(Mutex::new(UpstreamState {
                backoff: None,
                copies_to_requests_only: false,
                copied_answers: 0,
                crashes_on: None,
                held: 0,
                idle_timeout: None,
                kind,
                late_answers: 0,
                late_refusals: HashMap::new(),
                leaving: None,
                linger: Duration::ZERO,
                listed: Vec::new(),
                list_pause: Duration::ZERO,
                memory_tokens: ENGINE_TOKENS,
                mode: UpstreamMode::Answer,
                orders: 0,
                rate_limit: None,
                received: Vec::new(),
                software: "v1".to_owned(),
                unanswered_holds: 0,
                unframed: false,
            })),
            zone: zone.to_owned(),
        };
        tokio::spawn(upstream.clone().accept(listener));
        upstream
    }

    /// Its row in the list of upstreams.
    pub fn report(&self, state: &str) -> Value {
        let software = self.software();
        let mut report = json!({
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": software,
            "Slots": 8, "State": state, "ColdRemainingMs": 0, "Sequence": 4, "NewField": [1],
        });
        match self.state.lock().unwrap().kind {
            UpstreamKind::Decode => report["Stage"] = json!("decode"),
            UpstreamKind::Plain => {}
            UpstreamKind::Prefill => report["Stage"] = json!("prefill"),
        }
        report
    }

    pub fn kind(&self) -> UpstreamKind {
        self.state.lock().unwrap().kind
    }

    pub fn software(&self) -> String {
        self.state.lock().unwrap().software.clone()
    }

    /// The calls that ran, in order.
    pub fn runs(&self) -> Vec<ReceivedCall> {
        let state = self.state.lock().unwrap();
        let runs = state.received.iter().filter(|received| received.ran);
        runs.cloned().collect()
    }

    pub fn received(&self) -> Vec<ReceivedCall> {
        self.state.lock().unwrap().received.clone()
    }

    /// States a rate limit in its answers, or none.
    pub fn state_rate_limit(&self, rate: Option<&str>) {
        self.state.lock().unwrap().rate_limit = rate.map(str::to_owned);
    }

    /// Asks for a pause in its refusals.
    pub fn state_backoff(&self, value: Option<&str>) {
        self.state.lock().unwrap().backoff = value.map(str::to_owned);
    }

    /// The header line of the pause that a refusal asks for; empty without one.
    pub fn backoff_line(&self) -> String {
        let backoff = self.state.lock().unwrap().backoff.clone();
        backoff.map_or_else(String::new, |value| format!("Retry-After: {value}\r\n"))
    }

    /// The header lines of what its answers state; empty if that is nothing.
    pub fn statement_lines(&self) -> String {
        let state = self.state.lock().unwrap();
        let mut lines = String::new();
        if let Some(rate) = &state.rate_limit {
            lines += &format!("Server-Limit: {rate}\r\n");
        }
        if let Some(leaving) = &state.leaving {
            lines += &format!("Server-Leaving: {leaving}\r\n");
        }
        if let Some(seconds) = &state.idle_timeout {
            lines += &format!("Keep-Alive: timeout={seconds}\r\n");
        }
        lines
    }

    /// States in its answers how many seconds it keeps idle connections.
    pub fn state_idle_timeout(&self, seconds: &str) {
        self.state.lock().unwrap().idle_timeout = Some(seconds.to_owned());
    }

    /// States in its answers that it leaves; its row in the list stays as it is.
    pub fn state_leaving(&self, value: &str) {
        self.state.lock().unwrap().leaving = Some(value.to_owned());
    }

    /// Whether it sends answers of which this part has no end.
    pub fn answers_without_end(&self, part: EndlessPart) -> bool {
        let mode = self.state.lock().unwrap().mode;
        matches!(mode, UpstreamMode::Endless(answer) if answer.part == part)
    }

    pub fn set(&self, mode: UpstreamMode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Crashes the upstream at once: its connections are reset and its listener is closed.
    pub fn crash(&self) {
        self.crashed.cancel();
    }

    pub fn has_crashed(&self) -> bool {
        self.crashed.is_cancelled()
    }

    pub async fn wait_crashed(&self) {
        self.crashed.cancelled().await;
    }

    /// Whether a request crashes the upstream; it does so shortly after it started to run.
    pub fn crashes_on(&self, message: &WireMessage) -> bool {
        let trigger = self.state.lock().unwrap().crashes_on.clone();
        let is_poison = trigger.is_some_and(|trigger| trigger.matches(message));
        if is_poison {
            let crashed = self.crashed.clone();
            tokio::spawn(async move {
                time::sleep(RUN_BEFORE_CRASH).await;
                crashed.cancel();
            });
        }
        is_poison
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let stream = tokio::select! {
                () = self.crashed.cancelled() => break,
                accepted = listener.accept() => accepted.unwrap().0,
            };
            stream.set_nodelay(true).unwrap();
            tokio::spawn(self.clone().serve_until_crash(stream));
        }
        // Connections made meanwhile wait in the backlog and are reset with it.
        let linger = self.state.lock().unwrap().linger;
        time::sleep(linger).await;
    }

    /// Serves a connection until it ends, or resets it when the upstream crashes.
    async fn serve_until_crash(self, mut stream: TcpStream) {
        tokio::select! {
            () = self.crashed.cancelled() => {
                if !self.state.lock().unwrap().unframed {
                    reset(&stream);
                }
            }
            () = self.serve(&mut stream) => {}
        }
    }

    async fn serve(&self, stream: &mut TcpStream) {
        let mut rest = Vec::new();
        while let Some(mut message) = read_head(stream, &mut rest).await {
            let mode = self.state.lock().unwrap().mode;
            let is_early = mode == UpstreamMode::Contradicts(Contradiction::BeforeBody)
                && message.header("x-request-id").is_some()
                && self.take_late_refusal(stream).is_none();
            if is_early {
                self.keep_late_refusal(stream, "");
                if !refuse_early(stream, &message).await {
                    return;
                }
            }
            if !read_body(stream, &mut rest, &mut message).await {
                return;
            }
            if is_early {
                self.note(message, false);
                continue;
            }
            let expected = message.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(answer.as_bytes()).await.unwrap();
                continue;
            }
            let kind = self.state.lock().unwrap().kind;
            let goes_on = match kind {
                UpstreamKind::Plain => self.answer_plain(stream, message).await,
                _ => answer_engine(self, stream, message).await,
            };
            if !goes_on {
                return;
            }
        }
    }

    /// The body of its answer to a request; one event if it is an engine.
    pub fn body_text(&self, id: &str) -> String {
        match self.state.lock().unwrap().kind {
            UpstreamKind::Plain => format!("answer to {id}"),
            UpstreamKind::Decode => format!("id: 1\ndata: answer to {id}\n\n"),
            UpstreamKind::Prefill => {
                json!({"Handle": format!("kv-{id}"), "Tokens": 1460, "Version": 1}).to_string()
            }
        }
    }

    pub fn note(&self, message: WireMessage, ran: bool) {
        self.state.lock().unwrap().received.push(ReceivedCall {
            at: Instant::now(),
            message,
            ran,
        });
    }

    /// Counts a copy that is sent before another request is.
    pub fn note_copy(&self) {
        self.state.lock().unwrap().late_answers += 1;
    }

    pub fn keep_late_refusal(&self, stream: &TcpStream, refusal: &str) {
        let caller = stream.peer_addr().unwrap();
        let mut state = self.state.lock().unwrap();
        state.late_refusals.insert(caller, refusal.to_owned());
    }

    pub fn take_late_refusal(&self, stream: &TcpStream) -> Option<String> {
        let caller = stream.peer_addr().ok()?;
        let mut state = self.state.lock().unwrap();
        let copy = state.late_refusals.remove(&caller)?;
        state.late_answers += 1;
        Some(copy)
    }

    /// Sends the second copy of a refusal that is due before the answer to an own call of the caller, if there is one;
    /// returns whether the connection continues.
    pub async fn send_late_refusal(&self, stream: &mut TcpStream) -> bool {
        if self.state.lock().unwrap().copies_to_requests_only {
            return true;
        }
        let copy = self.take_late_refusal(stream);
        send_copy(stream, copy).await
    }

    /// Answers by the mode; returns whether the connection continues.
    pub async fn answer_plain(&self, stream: &mut TcpStream, message: WireMessage) -> bool {
        let id = message
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if self.crashes_on(&message) {
            self.note(message, true);
            return std::future::pending().await;
        }
        let mode = self.state.lock().unwrap().mode;
        match mode {
            UpstreamMode::Contradicts(contradiction) => {
                return contradiction.answer(self, stream, message).await;
            }
            UpstreamMode::Copies(plan) => return plan.answer(self, stream, message).await,
            _ => {}
        }
        let late_refusal = self.take_late_refusal(stream);
        let is_refused = match mode {
            UpstreamMode::LateRefusal => late_refusal.is_none(),
            mode => matches!(
                mode,
                UpstreamMode::Shed | UpstreamMode::SlowRefusal(_) | UpstreamMode::TurnAway
            ),
        };
        self.note(message, !is_refused);
        let body = format!("answer to {id}");
        let limit = self.statement_lines();
        let head = format!("HTTP/1.1 200 OK\r\n{limit}X-Request-Id: {id}\r\n");
        let signed = format!("{head}X-Response-Signature: sig-{}\r\n", self.id);
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let text = match mode {
            UpstreamMode::Answer | UpstreamMode::PauseAfter(..) => {
                format!("{signed}X-Kept: yes\r\n{length}{body}")
            }
            UpstreamMode::BareRefusal(status) => format!(
                "HTTP/1.1 {status} Busy\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
            ),
            UpstreamMode::Contradicts(_) | UpstreamMode::Copies(_) => {
                unreachable!("answered above")
            }
            UpstreamMode::Cut(cut) => {
                let text = format!("{signed}{length}{body}");
                return cut.send(stream, &text).await;
            }
            UpstreamMode::CutAfterEvent(event) => {
                let head = format!(
                    "{signed}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n",
                    event.len()
                );
                let text = [head.as_bytes(), event, b"\r\n"].concat();
                stream.write_all(&text).await.unwrap();
                // The caller has to read the event before the connection ends.
                time::sleep(Duration::from_millis(50)).await;
                return false;
            }
            UpstreamMode::CutAfter(_) | UpstreamMode::CutBody => {
                let text = format!("{signed}{length}{}", &body[..4]);
                stream.write_all(text.as_bytes()).await.unwrap();
                return false;
            }
            UpstreamMode::Encoded => format!("{signed}Content-Encoding: gzip\r\n{length}{body}"),
            UpstreamMode::Endless(answer) => {
                answer.send(stream, &id, &self.endless).await;
                return false;
            }
            UpstreamMode::Extra => format!(
                "{signed}{length}{body}{}Content-Length: 5\r\n\r\nextra",
                signed.replace(&id, "0000000000000bad")
            ),
            UpstreamMode::Fail => format!(
                "HTTP/1.1 500 Failed\r\nX-Request-Id: {id}\r\nX-Response-Signature: sig-{}\r\nContent-Length: 4\r\n\r\noops",
                self.id
            ),
            UpstreamMode::Foreign => {
                let foreign = signed.replace(&id, "0000000000000bad");
                format!("{foreign}{length}{body}")
            }
            UpstreamMode::Large(bytes) => format!(
                "{signed}Content-Length: {bytes}\r\n\r\n{}",
                "x".repeat(bytes)
            ),
            UpstreamMode::LateRefusal => match late_refusal {
                Some(copy) => {
                    if !send_copy(stream, Some(copy)).await {
                        return false;
                    }
                    format!("{signed}{length}{body}")
                }
                None => {
                    let refusal = refusal_text(&id, &limit);
                    self.keep_late_refusal(stream, &refusal);
                    refusal
                }
            },
            UpstreamMode::LateUnnamedRefusal => {
                if !send_copy(stream, late_refusal).await {
                    return false;
                }
                self.keep_late_refusal(stream, UNNAMED_REFUSAL);
                format!("{signed}{length}{body}")
            }
            UpstreamMode::Flood(_) => format!("{signed}{length}{body}"),
            UpstreamMode::Mute => {
                time::sleep(Duration::from_secs(3600)).await;
                return false;
            }
            UpstreamMode::Raw(text) | UpstreamMode::RawToOwnCalls(text) => {
                text.replace("{id}", &id)
            }
            UpstreamMode::Reset => {
                reset(stream);
                return false;
            }
            UpstreamMode::Shed | UpstreamMode::TurnAway => {
                refusal_text(&id, &format!("{limit}{}", self.backoff_line()))
            }
            UpstreamMode::SlowRefusal(pause) => {
                time::sleep(pause).await;
                refusal_text(&id, &limit)
            }
            UpstreamMode::Slow(pause) => {
                time::sleep(pause).await;
                format!("{signed}{length}{body}")
            }
            UpstreamMode::Unframed | UpstreamMode::UnframedReset => {
                let text = format!("{signed}\r\n{body}");
                stream.write_all(text.as_bytes()).await.unwrap();
                if mode == UpstreamMode::UnframedReset {
                    // The caller has to read the bytes before the reset discards them.
                    time::sleep(Duration::from_millis(100)).await;
                    reset(stream);
                }
                return false;
            }
            UpstreamMode::Unsigned => format!("{head}{length}{body}"),
        };
        let closes = matches!(mode, UpstreamMode::Raw(text) if text.contains("Connection: close"));
        stream.write_all(text.as_bytes()).await.is_ok() && !closes
    }
}

async fn send_copy(stream: &mut TcpStream, copy: Option<String>) -> bool {
    let Some(copy) = copy else {
        return true;
    };
    let is_sent = stream.write_all(copy.as_bytes()).await.is_ok();
    time::sleep(BETWEEN_ANSWERS).await;
    is_sent
}

/// Refuses a request of which only the head has been read; returns whether the connection continues.
async fn refuse_early(stream: &mut TcpStream, message: &WireMessage) -> bool {
    let id = message.header("x-request-id").unwrap_or_default();
    let refusal = refusal_text(id, "");
    let is_sent = stream.write_all(refusal.as_bytes()).await.is_ok();
    time::sleep(BEFORE_BODY).await;
    is_sent
}

/// A refusal that states that the request did not run.
pub fn refusal_text(id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\n{more}X-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Makes the connection reset when it is dropped.
pub fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}
