//! What the request path asks of the exchange with schedulers.

use {
    crate::PlaceScope,
    kernel::InstanceId,
    sched::{PlaceNote, PlaceReply, PlaceRequest},
    std::time::Duration,
    tokio::sync::oneshot,
};

/// A job for the exchange.
#[derive(Debug)]
pub enum PlaceJob {
    /// Passes a report to the scheduler.
    Note {
        /// The report.
        note: PlaceNote,
        /// The cell of the place.
        scope: PlaceScope,
    },
    /// Asks the scheduler for a place.
    Submit {
        /// Takes the answer.
        reply: oneshot::Sender<PlaceAnswer>,
        /// The request.
        request: PlaceRequest,
        /// The cell that is asked.
        scope: PlaceScope,
        /// How long the scheduler may keep the call while the request is queued.
        wait: Duration,
    },
}

/// The answer to a request for a place.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceAnswer {
    /// What was decided; unknown when no scheduler answered.
    pub reply: PlaceReply,
    /// The scheduler that was asked; `None` when there is none.
    pub scheduler: Option<InstanceId>,
}

impl PlaceAnswer {
    /// The answer when no scheduler can be asked.
    pub fn none() -> Self {
        Self {
            reply: PlaceReply::Unknown,
            scheduler: None,
        }
    }
}
