//! Serves the requests that other instances forward.

use {
    crate::{
        AnswerHead, ForwardError, ReachQuery, Refusal, RequestHead, WireHeaders,
        forward_error::{EndedEarlySnafu, NoMemorySnafu},
        forward_message::{
            ANSWER_FRAME, BODY_FRAME, MAX_PART_BYTES, REFUSAL_FRAME, REQUEST_FRAME, decode, encode,
            garbled,
        },
    },
    bytes::BytesMut,
    http::{HeaderMap, Method, Response, Uri},
    http_body_util::BodyExt,
    hyper::body::Body,
    kernel::{InstanceId, ResultCode},
    peer::{CallReply, PeerIncoming, SessionReceiver, SessionSender},
    policy::ReachReport,
    relay::{
        BufferedBody, CallerDialect, ErrorResponse, ForwardedRequest, RelayBody, RelayCore,
        RequestHandler, UpstreamDialect,
    },
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time},
    tokio_util::task::TaskTracker,
};

/// How many forwarded requests may be open at once; further ones are refused.
const MAX_OPEN: usize = 256;
/// How long a request may take to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay while too many forwarded requests are open.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves forwarded requests. Clones share their state.
#[derive(Debug)]
pub struct ForwardServer<D> {
    core: Arc<RelayCore<D>>,
    handler: RequestHandler<D>,
    open: TaskTracker,
}

impl<D> Clone for ForwardServer<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            handler: self.handler.clone(),
            open: self.open.clone(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> ForwardServer<D> {
    /// A server of requests for the upstreams of this instance.
    pub fn new(core: Arc<RelayCore<D>>) -> Self {
        Self {
            handler: RequestHandler::new(core.clone()),
            core,
            open: TaskTracker::new(),
        }
    }

    /// Waits until no new request is accepted any more and the open ones have ended, at most for `limit`. Returns how many
    /// were cut off.
    pub async fn close(self, limit: Duration) -> usize {
        let ending = async {
            self.core.closing.raised().await;
            self.open.close();
            self.open.wait().await;
        };
        match time::timeout(limit, ending).await {
            Ok(()) => 0,
            Err(_) => self.open.len(),
        }
    }

    /// Serves until the endpoint closes.
    pub async fn run(self, incoming: mpsc::Receiver<PeerIncoming>) {
        let mut incoming = incoming;
        while let Some(message) = incoming.recv().await {
            match message {
                PeerIncoming::Call { body, reply, .. } => self.report(&body, reply),
                PeerIncoming::Message { .. } => {}
                PeerIncoming::Session {
                    from,
                    receiver,
                    sender,
                } => {
                    let server = self.clone();
                    self.open
                        .spawn(server.serve(from.instance, receiver, sender));
                }
            }
        }
    }

    /// Says whether this instance reaches a service.
    fn report(&self, body: &[u8], reply: CallReply) {
        let query: ReachQuery = match decode(body) {
            Ok(query) => query,
            Err(error) => {
                tracing::warn!(%error, "failed to decode a question about a service");
                return;
            }
        };
        let reach = &self.core.reach;
        let report = ReachReport {
            contact_age: reach.contact_age(&query.service),
            is_lost: reach.is_lost(&query.service) || self.core.closing.is_raised(),
            open_requests: u32::try_from(self.open.len()).unwrap_or(u32::MAX),
        };
        match encode(&report) {
            Ok(body) => reply.send(body.into()),
            Err(error) => tracing::warn!(%error, "failed to encode a report"),
        }
    }

    async fn serve(self, from: InstanceId, receiver: SessionReceiver, sender: SessionSender) {
        let mut receiver = receiver;
        let reading = self.read(from.clone(), &mut receiver);
        let request = match time::timeout(READ_TIMEOUT, reading).await {
            Ok(Ok(request)) => request,
            Ok(Err(error)) => {
                tracing::info!(instance = %from, %error, "a forwarded request did not arrive");
                return;
            }
            Err(_) => {
                tracing::info!(instance = %from, "a forwarded request did not arrive in time");
                return;
            }
        };
        let answering = self.answer(request, sender);
        tokio::select! {
            // Nothing follows a request but the end of its session.
            _ = receiver.receive() => {}
            outcome = answering => {
                if let Err(error) = outcome {
                    tracing::debug!(instance = %from, %error, "an answer could not be passed on");
                }
            }
        }
    }

    async fn read(
        &self,
        from: InstanceId,
        receiver: &mut SessionReceiver,
    ) -> Result<ForwardedRequest, ForwardError> {
        let Some(frame) = receiver.receive().await? else {
            return EndedEarlySnafu.fail();
        };
        if frame.tag != REQUEST_FRAME {
            return Err(garbled(format_args!("unexpected frame {}", frame.tag)));
        }
        let head: RequestHead = decode(&frame.body)?;
        let bytes = head.body_bytes;
        let share = self.core.buffers.reserve(bytes);
        let share = share.map_err(|_| NoMemorySnafu { bytes }.build())?;
        let mut body = BytesMut::with_capacity(bytes);
        while body.len() < bytes {
            let Some(frame) = receiver.receive().await? else {
                return EndedEarlySnafu.fail();
            };
            if frame.tag != BODY_FRAME || body.len() + frame.body.len() > bytes {
                return Err(garbled("the body is not as long as stated"));
            }
            body.extend_from_slice(&frame.body);
        }
        Ok(ForwardedRequest {
            body: BufferedBody {
                bytes: body.freeze(),
                share,
            },
            customer: head.customer,
            elapsed: head.elapsed,
            from,
            headers: HeaderMap::try_from(head.headers)?,
            left: head.left,
            method: Method::from_bytes(head.method.as_bytes()).map_err(garbled)?,
            repeat: head.repeat,
            runs: head.runs,
            target: Uri::try_from(head.target).map_err(garbled)?,
            tries: head.tries,
        })
    }

    async fn answer(
        &self,
        request: ForwardedRequest,
        sender: SessionSender,
    ) -> Result<(), ForwardError> {
        let outcome = match self.open.len() > MAX_OPEN {
            true => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamRefused,
                FULL_RETRY_AFTER,
            )),
            false => self.handler.serve_forwarded(request).await,
        };
        match outcome {
            Ok(response) => pass_on(response, sender).await,
            Err(error) => refuse(error, sender).await,
        }
    }
}

async fn refuse(error: ErrorResponse, sender: SessionSender) -> Result<(), ForwardError> {
    let mut sender = sender;
    let refusal = Refusal {
        code: error.code,
        retry_after: error.retry_after,
    };
    sender.send(REFUSAL_FRAME, &encode(&refusal)?).await?;
    sender.close().await;
    Ok(())
}

/// Passes an answer on. A sender that is dropped before the end tells the other instance that the answer was cut.
async fn pass_on(response: Response<RelayBody>, sender: SessionSender) -> Result<(), ForwardError> {
    let mut sender = sender;
    let (parts, body) = response.into_parts();
    let head = AnswerHead {
        body_bytes: body.size_hint().exact(),
        headers: WireHeaders::from(&parts.headers),
        status: parts.status.as_u16(),
    };
    sender.send(ANSWER_FRAME, &encode(&head)?).await?;
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(garbled)?.into_data() else {
            continue;
        };
        for part in part.chunks(MAX_PART_BYTES) {
            sender.send(BODY_FRAME, part).await?;
        }
    }
    sender.close().await;
    Ok(())
}
