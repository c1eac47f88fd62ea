//! Messages about the software versions at which streams began. The order of fields and variants is the wire format.

use {
    kernel::{ServiceId, SoftwareVersion},
    peer::ProtocolTag,
    policy::{SoftwareNote, SoftwareReport, StreamKey},
    serde::{Deserialize, Serialize},
};

/// Protocol tag of calls about the software versions of streams.
pub const NOTE_TAG: ProtocolTag = 0x43;

/// A call to a keeper of notes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NoteRequest {
    /// Asks for the version at which a stream began.
    Ask {
        /// The service of the stream.
        service: ServiceId,
        /// The stream.
        stream: StreamKey,
    },
    /// Asks for the version at which a stream began by the store's log.
    AskStored(StreamKey),
    /// Has notes written to the store's log.
    Store(Vec<SoftwareNote>),
    /// Tells the versions at which streams began.
    Tell(Vec<SoftwareNote>),
}

/// The answer of a keeper.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum NoteReply {
    /// What it knows of the stream.
    Report(SoftwareReport),
    /// What the store's log has of the stream.
    Stored(Option<SoftwareVersion>),
    /// The notes are kept.
    Told,
}
