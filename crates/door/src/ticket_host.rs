//! Serves ticket queries, forwarded requests and hand-overs from other instances.

use {
    crate::{
        ticket_dispatcher::{LocalOutcome, TicketDispatcher},
        ticket_frame::{
            BODY_FRAME, ELSEWHERE_FRAME, END_FRAME, ElsewhereReply, FINAL_RECORDS_FRAME,
            ForwardHead, HAND_OVER_FRAME, HAND_OVER_REPLY_FRAME, HEAD_FRAME, HandOverAnswer,
            MAX_CHUNK_BYTES, ReplyHead, SuccessorNotice, TicketHandOver, TicketQuery, read_body,
            read_value, send_value,
        },
        ticket_metrics::ticket_event,
        ticket_registry::TicketRegistry,
        ticket_request::TicketRequest,
    },
    axum::{body::Body, response::Response},
    claim::{HandOverReply, IncarnationKey, Ticket, UnsentRequest},
    http_body_util::BodyExt,
    kernel::WorkerPool,
    peer::{PeerIncoming, SessionReceiver, SessionSender, wire},
    plat::RowStore,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// The maximum size of a hand-over. Larger ones are dropped.
const MAX_HAND_OVER_BYTES: usize = 64 << 20;

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// Serves other instances until `incoming` is closed.
    pub async fn serve_peers(
        self: Arc<Self>,
        mut incoming: mpsc::Receiver<PeerIncoming>,
        pool: WorkerPool,
    ) {
        while let Some(incoming) = incoming.recv().await {
            match incoming {
                PeerIncoming::Call { body, reply, .. } => {
                    let answer = read_value(&body).and_then(|query| self.registry.answer(&query));
                    let Ok(answer) = wire::encode(&answer) else {
                        continue;
                    };
                    reply.send(answer);
                }
                PeerIncoming::Message { body, .. } => self.registry.apply_notice(&body),
                PeerIncoming::Session {
                    receiver, sender, ..
                } => {
                    let dispatcher = self.clone();
                    pool.spawn(async move { dispatcher.serve_session(receiver, sender).await });
                }
            }
        }
    }

    async fn serve_session(&self, mut receiver: SessionReceiver, mut sender: SessionSender) {
        // Held until the last frame is acknowledged, so that a shutdown waits for it.
        let _pass = self.gate.enter().ok();
        let Ok(Some(first)) = receiver.receive().await else {
            return;
        };
        match first.tag {
            FINAL_RECORDS_FRAME => self.accept_final_records(&mut receiver, &mut sender).await,
            HAND_OVER_FRAME => self.accept_hand_over(&mut receiver, &mut sender).await,
            HEAD_FRAME => {
                let Some(head) = read_value(&first.body) else {
                    return;
                };
                self.serve_request(head, &mut receiver, &mut sender).await
            }
            _ => return,
        };
        sender.close().await;
    }

    /// Runs a forwarded request. It is cancelled if the peer closes the session.
    async fn serve_request(
        &self,
        head: ForwardHead,
        receiver: &mut SessionReceiver,
        sender: &mut SessionSender,
    ) {
        let ticket = head.ticket.clone();
        let Some(body) = read_body(receiver, self.limit).await else {
            return;
        };
        let Some(request) = TicketRequest::from_parts(head, body.into()) else {
            return;
        };
        self.registry.metrics.count(ticket_event::SERVED_FOR_PEER);
        let unsent = UnsentRequest::from_caller(request);
        // The peer sends nothing after its request. Any further frame, or the end, means that its caller has
        // disconnected.
        let disconnected = receiver.receive();
        let answering = self.answer_peer(&ticket, unsent, sender);
        tokio::select! {
            () = answering => {}
            _ = disconnected => {}
        }
    }

    async fn answer_peer(
        &self,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
        sender: &mut SessionSender,
    ) {
        match self.submit_here(ticket, unsent).await {
            LocalOutcome::Answered(response, _) => send_response(sender, response).await,
            LocalOutcome::Elsewhere(_, life) => {
                let holder = Some(life).filter(|life| *life != ticket.life);
                // A peer that has closed the session needs no answer.
                let _ = send_value(sender, ELSEWHERE_FRAME, &ElsewhereReply { holder }).await;
            }
        }
    }

    async fn accept_final_records(
        &self,
        receiver: &mut SessionReceiver,
        sender: &mut SessionSender,
    ) {
        let Some(content) = read_body(receiver, MAX_HAND_OVER_BYTES).await else {
            return;
        };
        let Some(message) = read_value::<TicketHandOver>(&content) else {
            return;
        };
        self.registry.learn_final_records(message);
        self.answer_hand_over(sender, HandOverReply::Accepted).await;
    }

    async fn answer_hand_over(&self, sender: &mut SessionSender, reply: HandOverReply) {
        let answer = HandOverAnswer {
            from: self.registry.life.clone(),
            reply,
        };
        // The sender retries if the reply is lost.
        let _ = send_value(sender, HAND_OVER_REPLY_FRAME, &answer).await;
    }

    async fn accept_hand_over(&self, receiver: &mut SessionReceiver, sender: &mut SessionSender) {
        let Some(content) = read_body(receiver, MAX_HAND_OVER_BYTES).await else {
            return;
        };
        let Some(message) = read_value::<TicketHandOver>(&content) else {
            return;
        };
        let lives: Vec<IncarnationKey> =
            message.lives.iter().map(|life| life.life.clone()).collect();
        let reply = self.registry.accept_hand_over(message);
        if reply == HandOverReply::Accepted {
            tracing::info!(lives = lives.len(), "tickets taken over");
            self.registry.metrics.count(ticket_event::TAKEN_OVER);
            let successor = self.registry.life.clone();
            self.peers.notify(&SuccessorNotice { lives, successor });
        }
        self.answer_hand_over(sender, reply).await;
    }
}

impl TicketRegistry {
    fn answer(&self, query: &TicketQuery) -> Option<IncarnationKey> {
        match query {
            TicketQuery::Holder(life) => self.holder(life),
            TicketQuery::Life => self.is_open().then(|| self.life.clone()),
        }
    }

    fn apply_notice(&self, body: &[u8]) {
        let Some(notice) = read_value::<SuccessorNotice>(body) else {
            return;
        };
        for life in notice.lives {
            if life == self.life {
                continue;
            }
            self.record_successor(life, notice.successor.clone());
        }
    }
}

/// Sends an answer with its body. If the peer has closed the session, the body is dropped, which cancels the run.
async fn send_response(sender: &mut SessionSender, response: Response) {
    let head = ReplyHead::of(&response);
    if send_value(sender, HEAD_FRAME, &head).await.is_err() {
        return;
    }
    let Some(()) = send_frames(sender, response.into_body()).await else {
        return;
    };
    let _ = sender.send(END_FRAME, &[]).await;
}

/// Sends a body in chunks. Returns `None` if the body or the session breaks off.
async fn send_frames(sender: &mut SessionSender, mut body: Body) -> Option<()> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        for chunk in data.chunks(MAX_CHUNK_BYTES) {
            sender.send(BODY_FRAME, chunk).await.ok()?;
        }
    }
    Some(())
}
