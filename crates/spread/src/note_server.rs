//! Keeps the software versions at which streams of other instances began.

use {
    crate::{NoteReply, NoteRequest, NoteStore},
    peer::{CallReply, PeerIncoming},
    relay::SoftwareNotes,
    tokio::sync::mpsc,
};

/// Answers the calls of other instances.
#[derive(Clone, Debug)]
pub struct NoteServer {
    /// The notes of this instance.
    pub notes: SoftwareNotes,
    /// The streams in the store.
    pub stored: NoteStore,
}

impl NoteServer {
    /// Answers until the endpoint closes.
    pub async fn run(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            let PeerIncoming::Call { body, from, reply } = incoming else {
                continue;
            };
            let request = match postcard::from_bytes::<NoteRequest>(&body) {
                Ok(request) => request,
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "failed to decode a call about streams");
                    continue;
                }
            };
            if let NoteRequest::AskStored(stream) = request {
                let stored = self.stored.clone();
                tokio::spawn(async move {
                    let answer = NoteReply::Stored(stored.find(stream).await);
                    send_reply(reply, &answer);
                });
                continue;
            }
            if let Some(answer) = self.answer(request) {
                send_reply(reply, &answer);
            }
        }
    }

    /// Answers a request; `None` for one that this instance can't carry out now.
    fn answer(&self, request: NoteRequest) -> Option<NoteReply> {
        match request {
            NoteRequest::AskStored(_) => None,
            NoteRequest::Store(notes) => self.stored.write(notes).then_some(NoteReply::Told),
            NoteRequest::Ask { service, stream } => {
                Some(NoteReply::Report(self.notes.report(&service, stream)))
            }
            NoteRequest::Tell(notes) => {
                self.notes.add_told(notes);
                Some(NoteReply::Told)
            }
        }
    }
}

fn send_reply(reply: CallReply, answer: &NoteReply) {
    // Strings and numbers always serialise.
    if let Ok(body) = postcard::to_stdvec(answer) {
        reply.send(body.into());
    }
}
