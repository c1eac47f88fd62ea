//! One forwarded request, seen from the instance of its caller.

use {
    crate::{
        AnswerHead, ForwardError, Refusal, RequestHead,
        forward_error::{EndedEarlySnafu, GarbledSnafu},
        forward_message::{
            ANSWER_FRAME, BODY_FRAME, MAX_PART_BYTES, REFUSAL_FRAME, REQUEST_FRAME, decode, encode,
        },
    },
    bytes::Bytes,
    peer::{SessionReceiver, SessionSender},
};

/// How the other instance replies to a request.
#[derive(Debug)]
pub enum ForwardReply {
    /// The head of an upstream's answer.
    Answer(AnswerHead),
    /// It has no answer of an upstream.
    Refusal(Refusal),
}

/// An open session. Dropping it tells the other instance that the caller has left.
#[derive(Debug)]
pub struct ForwardSession {
    receiver: SessionReceiver,
    sender: SessionSender,
}

impl ForwardSession {
    /// A session in which nothing has been sent.
    pub fn new(sender: SessionSender, receiver: SessionReceiver) -> Self {
        Self { receiver, sender }
    }

    /// Sends the request and waits for the other instance's reply, which may come before the request has been read.
    ///
    /// # Errors
    ///
    /// The session is lost or declined, or the message can't be read. Unless it was declined, the other instance may have
    /// received the request.
    pub async fn exchange(
        &mut self,
        head: &RequestHead,
        body: &Bytes,
    ) -> Result<ForwardReply, ForwardError> {
        let lost = match self.send(head, body).await {
            Ok(()) => return self.reply().await,
            Err(error) if error.is_lost() => error,
            Err(error) => return Err(error),
        };
        // It may be a refusal of a request that was not read to its end.
        match self.reply().await {
            Err(error) if !error.is_declined() => Err(lost),
            reply => reply,
        }
    }

    async fn send(&mut self, head: &RequestHead, body: &Bytes) -> Result<(), ForwardError> {
        self.sender.send(REQUEST_FRAME, &encode(head)?).await?;
        for part in body.chunks(MAX_PART_BYTES) {
            self.sender.send(BODY_FRAME, part).await?;
        }
        Ok(())
    }

    async fn reply(&mut self) -> Result<ForwardReply, ForwardError> {
        let Some(frame) = self.receiver.receive().await? else {
            return EndedEarlySnafu.fail();
        };
        match frame.tag {
            ANSWER_FRAME => Ok(ForwardReply::Answer(decode(&frame.body)?)),
            REFUSAL_FRAME => Ok(ForwardReply::Refusal(decode(&frame.body)?)),
            tag => unexpected(tag),
        }
    }

    /// The next part of the answer's body; `None` after the last one.
    ///
    /// # Errors
    ///
    /// The answer ended early.
    pub async fn part(&mut self) -> Result<Option<Bytes>, ForwardError> {
        match self.receiver.receive().await? {
            None => Ok(None),
            Some(frame) if frame.tag == BODY_FRAME => Ok(Some(frame.body)),
            Some(frame) => unexpected(frame.tag),
        }
    }
}

fn unexpected<T>(tag: u16) -> Result<T, ForwardError> {
    GarbledSnafu {
        detail: format!("unexpected frame {tag}"),
    }
    .fail()
}
