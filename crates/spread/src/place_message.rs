//! Messages between instances and the schedulers of decode places. The order of fields and variants is the wire format.

use {
    peer::ProtocolTag,
    relay::{PlaceScope, SchedulerLife},
    sched::{PlaceNote, PlaceReply, PlaceRequest, ZoneSpare},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// Protocol tag of calls about decode places.
pub const PLACE_TAG: ProtocolTag = 0x44;

/// A call to a scheduler.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceCall {
    /// Asks for a place.
    Submit {
        /// The cell.
        scope: PlaceScope,
        /// The request.
        request: PlaceRequest,
        /// How long the call may be kept while the request is queued.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
    },
    /// Reports what became of places.
    Notes {
        /// The cell.
        scope: PlaceScope,
        /// The reports, in the order in which they were made.
        notes: Vec<PlaceNote>,
    },
    /// Asks whether the instance answers at all.
    Probe,
    /// Tells what another zone can take over. Sent without waiting for an answer.
    Spare {
        /// The cell of the addressed zone.
        scope: PlaceScope,
        /// What can be taken over.
        spare: ZoneSpare,
    },
}

/// The answer of a scheduler.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceResult {
    /// The life of the scheduler. Another one than before knows none of the places that were reported.
    pub life: SchedulerLife,
    /// The decision on a request; unknown for reports.
    pub reply: PlaceReply,
}
