//! Passing a request on to the instance that holds its ticket, and its answer back.

use {
    crate::{
        admission_gate::GatePass,
        error_answer::ErrorAnswer,
        ticket_answer::result_code,
        ticket_frame::{
            BODY_FRAME, ELSEWHERE_FRAME, END_FRAME, ElsewhereReply, HEAD_FRAME, ReplyHead,
            TICKET_TAG, read_value, send_body, send_value,
        },
        ticket_request::TicketRequest,
    },
    axum::{
        body::Body,
        response::{IntoResponse, Response},
    },
    bytes::Bytes,
    claim::{LifeKey, OriginReply, Sent, Ticket, UndoneDispatch, Unsent},
    futures_util::stream,
    kernel::ResultCode,
    peer::{PeerEndpoint, PeerError, SessionReceiver, SessionSender, peer_error::LostSnafu},
    std::time::Duration,
};

/// When to ask again for the outcome of a request whose origin is silent.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What passing a request on came to.
pub(crate) enum ForwardOutcome {
    /// The origin's answer. The request comes back when the origin said that it did not run.
    Answered(Response, Option<Unsent<TicketRequest>>),
    /// The tickets are not held there, but by the named life, if that is known.
    Elsewhere(Unsent<TicketRequest>, Option<LifeKey>),
    /// It left this instance, and no answer came.
    Lost(Response),
    /// It never left this instance.
    Unreachable(Unsent<TicketRequest>),
}

/// A session on which an answer comes back. Dropping it tells the origin that the caller is gone.
struct ReplyStream {
    _pass: Option<GatePass>,
    receiver: SessionReceiver,
    sender: SessionSender,
}

/// Passes a request on to `holder`, which holds the life of `ticket`.
pub(crate) async fn forward(
    endpoint: &PeerEndpoint,
    holder: &LifeKey,
    ticket: &Ticket,
    unsent: Unsent<TicketRequest>,
    pass: Option<GatePass>,
) -> ForwardOutcome {
    let session = endpoint.open_session(&holder.instance, TICKET_TAG).await;
    let Ok((sender, receiver)) = session else {
        return ForwardOutcome::Unreachable(unsent);
    };
    let (request, sent) = unsent.dispatch();
    let mut stream = ReplyStream {
        _pass: pass,
        receiver,
        sender,
    };
    if stream.send(&request, ticket).await.is_err() {
        return lost(sent);
    }
    let Ok(Some(frame)) = stream.receiver.receive().await else {
        return lost(sent);
    };
    match frame.tag {
        ELSEWHERE_FRAME => {
            let reply: Option<ElsewhereReply> = read_value(&frame.body);
            let unsent = sent.undone(UndoneDispatch::not_held(), request);
            ForwardOutcome::Elsewhere(unsent, reply.and_then(|reply| reply.holder))
        }
        HEAD_FRAME => match read_value(&frame.body) {
            Some(head) => answered(stream.into_response(head), sent, request),
            None => lost(sent),
        },
        _ => lost(sent),
    }
}

/// The answer when nobody who knows the ticket can be asked: an earlier submission of it may have run.
pub(crate) fn origin_gone(detail: &str) -> Response {
    ErrorAnswer::of(ResultCode::OriginGone)
        .with_detail(detail)
        .with_retry_after(GONE_RETRY_AFTER)
        .into_response()
}

/// The request is unsent again when its origin said that it did not run, and never will by its ticket.
fn answered(response: Response, sent: Sent, request: TicketRequest) -> ForwardOutcome {
    let reply = origin_reply(&response);
    let unsent = match UndoneDispatch::from_origin(&reply) {
        Some(evidence) => Some(sent.undone(evidence, request)),
        None => {
            let _ = sent.relay(reply);
            None
        }
    };
    ForwardOutcome::Answered(response, unsent)
}

fn lost(sent: Sent) -> ForwardOutcome {
    let outcome = sent.unknown::<()>(ResultCode::OriginGone);
    debug_assert_eq!(outcome.code(), ResultCode::OriginGone);
    ForwardOutcome::Lost(origin_gone(
        "the instance that holds the ticket took the request and gave no answer",
    ))
}

fn origin_reply(response: &Response) -> OriginReply<()> {
    match result_code(response) {
        Some(ResultCode::Answered) => OriginReply::Answered(()),
        Some(ResultCode::TicketUsed) => OriginReply::Used,
        Some(code) if code.not_run() => OriginReply::NotRun(code),
        Some(code) => OriginReply::Unknown(code),
        None => OriginReply::Unknown(ResultCode::UpstreamGarbled),
    }
}

impl ReplyStream {
    /// The answer with its body, which streams.
    fn into_response(self, head: ReplyHead) -> Response {
        let chunks = stream::unfold(Some(self), |stream| async {
            let mut stream = stream?;
            match stream.next_chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(stream))),
                Ok(None) => {
                    tokio::spawn(stream.sender.close());
                    None
                }
                Err(error) => Some((Err(error), None)),
            }
        });
        head.into_response(Body::from_stream(chunks))
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, PeerError> {
        let broken = LostSnafu {
            detail: "the answer broke off",
            instance: self.receiver.instance().clone(),
        };
        let Some(frame) = self.receiver.receive().await? else {
            return broken.fail();
        };
        match frame.tag {
            BODY_FRAME => Ok(Some(frame.body)),
            END_FRAME => Ok(None),
            _ => broken.fail(),
        }
    }

    async fn send(&mut self, request: &TicketRequest, ticket: &Ticket) -> Result<(), PeerError> {
        send_value(&mut self.sender, HEAD_FRAME, &request.head(ticket)).await?;
        send_body(&mut self.sender, &request.body).await
    }
}
