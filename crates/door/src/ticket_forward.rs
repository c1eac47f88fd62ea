//! Forwards a request to the instance that holds its ticket and streams the answer back.

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
    claim::{IncarnationKey, NotRunEvidence, OriginReply, SentRequest, Ticket, UnsentRequest},
    futures_util::stream,
    kernel::ResultCode,
    peer::{PeerEndpoint, PeerError, SessionReceiver, SessionSender, peer_error::LostSnafu},
    std::time::Duration,
};

/// `Retry-After` for a request whose origin does not answer.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The outcome of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// The origin's answer, and the request if the origin confirmed that it did not run.
    Answered(Response, Option<UnsentRequest<TicketRequest>>),
    /// The ticket is not held there. The incarnation that holds it, or `None` if that is unknown.
    Elsewhere(UnsentRequest<TicketRequest>, Option<IncarnationKey>),
    /// The request was sent, but no answer arrived, so it may have run.
    Lost(Response),
    /// The request was never sent.
    Unreachable(UnsentRequest<TicketRequest>),
}

/// The session that carries the answer back. Dropping it signals to the origin that the caller has disconnected.
struct ReplyStream {
    _pass: Option<GatePass>,
    receiver: SessionReceiver,
    sender: SessionSender,
}

/// Forwards a request to `holder`, which holds the tickets issued by the incarnation in `ticket`.
pub(crate) async fn forward(
    endpoint: &PeerEndpoint,
    holder: &IncarnationKey,
    ticket: &Ticket,
    unsent: UnsentRequest<TicketRequest>,
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
            let unsent = sent.into_unsent(NotRunEvidence::not_held(), request);
            ForwardOutcome::Elsewhere(unsent, reply.and_then(|reply| reply.holder))
        }
        HEAD_FRAME => match read_value(&frame.body) {
            Some(head) => answered(stream.into_response(head), sent, request),
            None => lost(sent),
        },
        _ => lost(sent),
    }
}

/// The answer if no instance that knows the ticket can be reached. An earlier submission of it may have run.
pub(crate) fn origin_gone(detail: &str) -> Response {
    ErrorAnswer::of(ResultCode::OriginGone)
        .with_detail(detail)
        .with_retry_after(GONE_RETRY_AFTER)
        .into_response()
}

/// Returns the request as unsent if the origin confirmed that it did not run and never will under its ticket.
fn answered(response: Response, sent: SentRequest, request: TicketRequest) -> ForwardOutcome {
    let reply = origin_reply(&response);
    let unsent = match NotRunEvidence::from_origin(&reply) {
        Some(evidence) => Some(sent.into_unsent(evidence, request)),
        None => {
            let _ = sent.relay(reply);
            None
        }
    };
    ForwardOutcome::Answered(response, unsent)
}

fn lost(sent: SentRequest) -> ForwardOutcome {
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
    /// Builds the response with a streamed body.
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
