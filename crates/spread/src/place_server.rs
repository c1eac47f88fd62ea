//! Answers the instances that ask the schedulers of this one.

use {
    crate::{PlaceCall, PlaceResult},
    kernel::InstanceId,
    peer::{CallReply, PeerIncoming},
    relay::{AskOutcome, SchedulerHost, SchedulerLife},
    sched::PlaceReply,
    std::time::Duration,
    tokio::sync::mpsc,
};

/// The longest time that a call is kept.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Answers the calls of other instances.
#[derive(Clone, Debug)]
pub struct PlaceServer {
    /// The schedulers of this instance.
    pub host: SchedulerHost,
}

impl PlaceServer {
    /// Answers until the endpoint closes.
    pub async fn run(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            match incoming {
                PeerIncoming::Call { body, from, reply } => {
                    let Some(call) = read(&from.instance, &body) else {
                        continue;
                    };
                    match answer(&self.host, &from.instance, call) {
                        AskOutcome::Decided(life, decision) => send(reply, life, decision),
                        // The host bounds how many of them there are.
                        AskOutcome::Kept(call) => {
                            tokio::spawn(async move {
                                let (life, decision) = call.decision().await;
                                send(reply, life, decision);
                            });
                        }
                    }
                }
                PeerIncoming::Message { body, from } => {
                    if let Some(PlaceCall::Spare { scope, spare }) = read(&from.instance, &body) {
                        self.host.note_spare(&scope, spare);
                    }
                }
                PeerIncoming::Session { .. } => {}
            }
        }
    }
}

fn answer(host: &SchedulerHost, from: &InstanceId, call: PlaceCall) -> AskOutcome {
    let life = match call {
        PlaceCall::Submit {
            scope,
            request,
            wait,
        } => return host.ask(from, &scope, request, wait.min(MAX_WAIT)),
        PlaceCall::Notes { scope, notes } => host.note(from, &scope, notes),
        PlaceCall::Probe => 0,
        PlaceCall::Spare { scope, spare } => {
            host.note_spare(&scope, spare);
            0
        }
    };
    AskOutcome::Decided(life, PlaceReply::Unknown)
}

fn send(to: CallReply, life: SchedulerLife, reply: PlaceReply) {
    // Strings and numbers always serialise.
    if let Ok(body) = postcard::to_stdvec(&PlaceResult { life, reply }) {
        to.send(body.into());
    }
}

fn read(from: &InstanceId, body: &[u8]) -> Option<PlaceCall> {
    let call = postcard::from_bytes(body);
    call.inspect_err(
        |error| tracing::warn!(instance = %from, %error, "failed to decode a call about places"),
    )
    .ok()
}
