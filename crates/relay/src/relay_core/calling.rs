//! Calls to upstreams, and what the heads of their answers say about them.

use {
    super::RelayCore,
    crate::{
        AnswerOwner, BodyAllowance, BufferedBody, CallEnd, CallPurpose, CallerRequest,
        ConnectionError, ErrorResponse, NotRunReason, OpenCall, OpenConnection, ReplyFacts,
        UpstreamAnswer, UpstreamCall, UpstreamDialect, WorkRoute,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    kernel::{ResultCode, steady_clock},
    policy::{CallBlock, CallVerdict, UpstreamRecord},
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::time::{self, error::Elapsed},
};

/// An upstream that has sent nothing for this long may be unreachable.
const SILENCE_AFTER: Duration = Duration::from_millis(200);

/// A call for which no upstream has been chosen yet.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan<'a> {
    /// What the upstream is asked to do.
    pub purpose: &'a CallPurpose,
    /// The request.
    pub request: &'a CallerRequest,
    /// The route of the request.
    pub route: &'a WorkRoute,
    /// Timeout for the head of the answer; `None` leaves it to the deadline of the request.
    pub head_timeout: Option<Duration>,
}

impl<D: UpstreamDialect> RelayCore<D> {
    /// Sends a request of the system's own to an upstream and reads the whole answer; `None` when there is no answer,
    /// or one of more than `largest` bytes or of a request. Nothing is sent to an upstream that asked for a pause: reservations and KV caches
    /// that are not released end by themselves.
    pub async fn ask(
        &self,
        upstream: &UpstreamRecord,
        request: Request<Full<Bytes>>,
        largest: usize,
    ) -> Option<(StatusCode, BufferedBody)> {
        let began = steady_clock::now();
        let block = self.upstreams.lock().call_block(&upstream.id, began);
        if let Some(block @ CallBlock::BackingOff(_)) = block {
            tracing::debug!(upstream = %upstream.id, %block, "an upstream is not called");
            return None;
        }
        let sending = self.pool.send(&upstream.id, upstream.address, request, &[]);
        let (response, connection) = match sending.await {
            Ok(answer) => answer,
            Err(error) => {
                if matches!(error, ConnectionError::Unsent { .. }) {
                    self.reach.note_silence(upstream);
                }
                tracing::debug!(upstream = %upstream.id, %error, "an upstream gave no answer");
                return None;
            }
        };
        self.reach.note_contact(&upstream.service);
        let status = response.status();
        // Answers to own calls name no request. One that does is the copy of an earlier answer.
        let owner = AnswerOwner::new(response.headers().get_all(D::REQUEST_ID), None);
        if owner != AnswerOwner::Unnamed {
            self.counts.note_owner(&owner);
            tracing::debug!(upstream = %upstream.id, %status, "an own call was answered{owner}");
            return None;
        }
        let idle_timeout = self.dialect.idle_timeout(response.headers());
        self.note_headers(upstream, response.headers());
        let statement = self.dialect.statement(status, response.headers());
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.note_statement(upstream, statement, false, began);
        }
        let allowance = BodyAllowance::new(largest);
        match self.buffers.collect(response.into_body(), allowance).await {
            Ok(body) => {
                self.pool.keep(&upstream.id, connection, idle_timeout);
                Some((status, body))
            }
            Err(error) => {
                tracing::debug!(upstream = %upstream.id, %error, "an answer was truncated or too long");
                None
            }
        }
    }

    /// Calls an upstream and reads the head of its answer. The charge to the customer's quota stands unless the request
    /// is known not to have run.
    pub async fn call(&self, plan: CallPlan<'_>, upstream: Arc<UpstreamRecord>) -> CallEnd {
        if matches!(plan.purpose, CallPurpose::Prefill) {
            return self.send(plan, upstream).await;
        }
        plan.request.begin_run();
        let end = self.send(plan, upstream).await;
        let has_run = matches!(end, CallEnd::Answer(_) | CallEnd::Lost(_));
        plan.request.end_run(has_run);
        end
    }

    async fn send(&self, plan: CallPlan<'_>, upstream: Arc<UpstreamRecord>) -> CallEnd {
        if let Some(refusal) = self.refusal_before(plan, &upstream) {
            self.note_not_run(plan, NotRunReason::Blocked);
            return refusal;
        }
        let left = plan.request.left();
        let tokens = match plan.purpose {
            CallPurpose::Prefill => plan.request.prompt_tokens(),
            CallPurpose::Run { .. } => plan.request.kv_tokens(),
        };
        let call = OpenCall::new(&self.upstreams, &self.counts, upstream.clone(), tokens);
        let trace = &plan.request.trace;
        let verb = plan.purpose.verb();
        let id = upstream.id.clone();
        let request = self.dialect.call(&UpstreamCall {
            left,
            purpose: plan.purpose,
            rank: plan.request.rank,
            request: plan.request,
            upstream: &upstream,
        });
        if let CallPurpose::Run { slot, .. } = plan.purpose {
            trace.note_sent();
            if slot.is_some() {
                // The choice of the engine counted the reservation only.
                self.count_call(&id);
            }
        }
        let wait = plan.head_timeout.map_or(left, |timeout| timeout.min(left));
        // The copy of an earlier answer to this request would be believed, since it names the request.
        let used = plan.request.connections.list();
        let sending = self
            .pool
            .send(&upstream.id, upstream.address, request, &used);
        let (response, connection) = match self.await_head(&upstream, wait, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ConnectionError::Unsent { detail })) => {
                self.reach.note_silence(&upstream);
                call.close(CallVerdict::Unreachable);
                self.note_not_run(plan, NotRunReason::Unsent);
                trace.note(format_args!("{verb} {id} not sent: {detail}"));
                return CallEnd::Unreachable;
            }
            Ok(Err(ConnectionError::Lost { detail, place })) => {
                trace.note(format_args!("{verb} {id} lost: {detail}, {place} missing"));
                self.crashes.note_loss(plan.request, &call, false);
                call.close(CallVerdict::Lost);
                return CallEnd::Lost(ResultCode::UpstreamLost);
            }
            Ok(Err(error @ ConnectionError::Garbled { .. })) => {
                trace.note(format_args!("{verb} {id} garbled: {error}"));
                call.close(CallVerdict::Lost);
                return CallEnd::Lost(ResultCode::UpstreamGarbled);
            }
            Err(_) => {
                trace.note(format_args!(
                    "{verb} {id} silent for {} ms",
                    wait.as_millis()
                ));
                call.close(CallVerdict::Lost);
                return CallEnd::Lost(ResultCode::UpstreamSilent);
            }
        };
        self.reach.note_contact(&upstream.service);
        plan.request.connections.note(connection.serial());
        self.judge(plan, call, response, connection)
    }

    /// The reason not to send a call, checked right before it, since updates may have arrived while the request waited.
    fn refusal_before(&self, plan: CallPlan<'_>, upstream: &UpstreamRecord) -> Option<CallEnd> {
        let trace = &plan.request.trace;
        if let Some(left) = self.crashes.quarantine_left(plan.request) {
            trace.note(format_args!("in quarantine"));
            return Some(CallEnd::Denied(ErrorResponse::with_retry_after(
                ResultCode::RequestQuarantined,
                left,
            )));
        }
        if let Some(access) = &plan.request.access
            && let Some(refusal) = self.recheck_access(access, plan.route)
        {
            trace.note(format_args!("{}", refusal.reason));
            return Some(CallEnd::Denied(refusal.error));
        }
        let now = steady_clock::now();
        let block = self.upstreams.lock().call_block(&upstream.id, now);
        if let Some(block) = block {
            trace.note(format_args!("{} {block}", upstream.id));
            return Some(CallEnd::Unsent);
        }
        plan.request.left().is_zero().then_some(CallEnd::Unsent)
    }

    /// Decides what the head of an answer says about a call.
    fn judge(
        &self,
        plan: CallPlan<'_>,
        call: OpenCall,
        response: Response<Incoming>,
        connection: OpenConnection,
    ) -> CallEnd {
        let trace = &plan.request.trace;
        let verb = plan.purpose.verb();
        let upstream = &call.upstream.clone();
        let id = &upstream.id;
        let place = connection.last_place();
        let (head, body) = response.into_parts();
        let facts = self.dialect.reply_facts(&head);
        let named = head.headers.get_all(D::REQUEST_ID);
        let owner = AnswerOwner::new(named, Some(&plan.request.head.id));
        self.counts.note_owner(&owner);
        if owner != AnswerOwner::Own {
            trace.note_foreign_answer();
        }
        self.note_headers(upstream, &head.headers);
        if owner == AnswerOwner::Own {
            self.note_facts(upstream, &facts, call.since);
        }
        let is_first = connection.is_at_first_answer();
        if let Some(reason) = rejection_reason(&facts, head.status, &owner, is_first) {
            trace.note(format_args!(
                "{verb} {id} not run: {}{owner}, {place}",
                head.status.as_u16(),
            ));
            self.note_not_run(plan, reason);
            if owner == AnswerOwner::Own && !facts.closes_connection {
                self.pool.keep(&upstream.id, connection, facts.idle_timeout);
            }
            call.close(match facts.is_misdirected {
                true => CallVerdict::Misdirected,
                false => CallVerdict::Full,
            });
            return CallEnd::NotRun;
        }
        let unsigned = head.status.is_success() && !facts.is_signed;
        let is_prefill = matches!(plan.purpose, CallPurpose::Prefill);
        let is_foreign = owner != AnswerOwner::Own;
        if is_foreign || facts.is_encoded || unsigned && !is_prefill {
            trace.note(format_args!(
                "{verb} {id} garbled: {}{owner}, {place}",
                head.status.as_u16(),
            ));
            call.close(CallVerdict::Lost);
            return CallEnd::Lost(ResultCode::UpstreamGarbled);
        }
        trace.note(format_args!("{verb} {id} answers {}", head.status.as_u16()));
        CallEnd::Answer(Box::new(UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        }))
    }

    /// Counts a call that might have run its request, and did not.
    fn note_not_run(&self, plan: CallPlan<'_>, reason: NotRunReason) {
        if matches!(plan.purpose, CallPurpose::Run { .. }) {
            self.counts.note_not_run(reason);
            if reason == NotRunReason::Unsent {
                plan.request.trace.note_unsent();
            }
        }
    }

    /// Waits for the head of an answer. One that takes long is no fault, but counts if other upstreams are silent too.
    async fn await_head<T>(
        &self,
        upstream: &UpstreamRecord,
        limit: Duration,
        sending: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut sending = pin!(sending);
        let patience = SILENCE_AFTER.min(limit);
        if let Ok(answer) = time::timeout(patience, sending.as_mut()).await {
            return Ok(answer);
        }
        self.reach.note_silence(upstream);
        time::timeout(limit - patience, sending).await
    }
}

/// How an answer shows that the call did not run; `None` when it may be running or have run. An answer that names another
/// request shows nothing, nor does a success, which no upstream gives without a run. One that names no request may be the copy
/// of an answer to another call, unless it is the first of its connection.
fn rejection_reason(
    facts: &ReplyFacts,
    status: StatusCode,
    owner: &AnswerOwner,
    is_first: bool,
) -> Option<NotRunReason> {
    if !facts.is_not_run || status.is_success() {
        return None;
    }
    match owner {
        AnswerOwner::Own => Some(NotRunReason::Rejected),
        AnswerOwner::Unnamed if is_first => Some(NotRunReason::RejectedUnnamed),
        AnswerOwner::Other(_) | AnswerOwner::Unnamed => None,
    }
}
