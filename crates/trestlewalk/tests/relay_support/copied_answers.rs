//! Answers that an upstream sends more than once.

use {
    super::{
        upstream::{UpstreamKind, UpstreamStandIn, refusal_text},
        wire_text::WireMessage,
    },
    std::time::Duration,
    tokio::{io::AsyncWriteExt, net::TcpStream, time},
};

/// The pause between a copy and the answer before or after it.
const COPY_PAUSE: Duration = Duration::from_millis(5);

/// Keeps a connection longer than an upstream is avoided after a rejection.
const KEPT: &str = "Keep-Alive: timeout=10\r\n";

/// The answer that is copied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopiedAnswer {
    /// A signed error of the upstream's own.
    Failure,
    /// 421 as not run.
    Misdirected,
    /// 503 as not run.
    Refusal,
    /// A signed success.
    Success,
    /// 503 as not run, of which the copies name no request.
    UnnamedRefusal,
}

/// When the copies are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyTime {
    /// In the same segment as the answer.
    Attached,
    /// While the next request on the connection waits.
    BeforeNext,
    /// While the connection is idle.
    Idle,
    /// In the same segment as the next answer on the connection.
    WithNext,
}

/// How an upstream copies its answers. Every other request on a connection is answered with the copied answer, up to the
/// limit, and the others run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyPlan {
    pub answer: CopiedAnswer,
    /// How many copies are sent.
    pub count: usize,
    /// Whether an interim answer precedes each copy.
    pub has_interim: bool,
    /// How many answers are copied; `None` for all that are due.
    pub limit: Option<usize>,
    pub time: CopyTime,
}

impl CopyPlan {
    /// All of them, with up to two copies.
    pub fn all() -> Vec<Self> {
        let mut plans = Vec::new();
        for answer in [
            CopiedAnswer::Failure,
            CopiedAnswer::Misdirected,
            CopiedAnswer::Refusal,
            CopiedAnswer::Success,
            CopiedAnswer::UnnamedRefusal,
        ] {
            for time in [
                CopyTime::Attached,
                CopyTime::BeforeNext,
                CopyTime::Idle,
                CopyTime::WithNext,
            ] {
                for (count, has_interim) in [(1, false), (1, true), (2, false)] {
                    plans.push(Self {
                        answer,
                        count,
                        has_interim,
                        limit: None,
                        time,
                    });
                }
            }
        }
        plans
    }

    /// Answers a request; returns whether the connection continues.
    pub async fn answer(
        self,
        upstream: &UpstreamStandIn,
        stream: &mut TcpStream,
        message: WireMessage,
    ) -> bool {
        let id = message
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let success = answer_text(CopiedAnswer::Success, upstream, &id);
        let Some(copies) = upstream.take_late_refusal(stream) else {
            if !self.takes_answer(upstream) {
                upstream.note(message, true);
                return send(stream, &success).await;
            }
            let ran = matches!(self.answer, CopiedAnswer::Failure | CopiedAnswer::Success);
            upstream.note(message, ran);
            return self.answer_first(upstream, stream, &id).await;
        };
        upstream.note(message, true);
        match self.time {
            CopyTime::Attached | CopyTime::Idle => send(stream, &success).await,
            CopyTime::BeforeNext => {
                let is_sent = send(stream, &copies).await;
                time::sleep(COPY_PAUSE).await;
                is_sent && send(stream, &success).await
            }
            CopyTime::WithNext => send(stream, &format!("{copies}{success}")).await,
        }
    }

    /// Whether a further answer is copied.
    fn takes_answer(self, upstream: &UpstreamStandIn) -> bool {
        let mut state = upstream.state.lock().unwrap();
        state.copied_answers += 1;
        self.limit.is_none_or(|limit| state.copied_answers <= limit)
    }

    async fn answer_first(
        self,
        upstream: &UpstreamStandIn,
        stream: &mut TcpStream,
        id: &str,
    ) -> bool {
        let text = answer_text(self.answer, upstream, id);
        let copies = self.copies(&text, id);
        upstream.keep_late_refusal(stream, &copies);
        match self.time {
            CopyTime::Attached => {
                upstream.note_copy();
                send(stream, &format!("{text}{copies}")).await
            }
            CopyTime::BeforeNext | CopyTime::WithNext => send(stream, &text).await,
            CopyTime::Idle => {
                let is_sent = send(stream, &text).await;
                time::sleep(COPY_PAUSE).await;
                upstream.note_copy();
                is_sent && send(stream, &copies).await
            }
        }
    }

    fn copies(self, text: &str, id: &str) -> String {
        let copy = match self.answer {
            CopiedAnswer::UnnamedRefusal => text.replace(&format!("X-Request-Id: {id}\r\n"), ""),
            _ => text.to_owned(),
        };
        let interim = match self.has_interim {
            true => format!(
                "HTTP/1.1 103 Early Hints\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\r\n"
            ),
            false => String::new(),
        };
        format!("{interim}{copy}").repeat(self.count)
    }
}

async fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// An answer to a request. Those to prefills have no signature.
fn answer_text(answer: CopiedAnswer, upstream: &UpstreamStandIn, id: &str) -> String {
    let body = match answer {
        CopiedAnswer::Failure => format!("answer to {id}"),
        _ => upstream.body_text(id),
    };
    let is_signed = upstream.state.lock().unwrap().kind != UpstreamKind::Prefill;
    let signature = match is_signed {
        true => format!("X-Response-Signature: sig-{}\r\n", upstream.id),
        false => String::new(),
    };
    let own = |status: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{KEPT}X-Request-Id: {id}\r\n{signature}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    match answer {
        CopiedAnswer::Failure => own("500 Failed"),
        CopiedAnswer::Misdirected => {
            refusal_text(id, KEPT).replace("503 Full", "421 Misdirected Request")
        }
        CopiedAnswer::Refusal | CopiedAnswer::UnnamedRefusal => refusal_text(id, KEPT),
        CopiedAnswer::Success => own("200 OK"),
    }
}
