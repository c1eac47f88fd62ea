//! Readings of the store that instances pass on to each other, so that its load does not grow with their number.
//!
//! In each availability zone one instance reads the list of upstreams and the routes; the others ask it and get what
//! changed. Nobody is set aside: the reader is the first of the zone's live instances by rendezvous hashing
//! ([`ReaderPlan`]), an instance that is asked reads, and one that gets no answer reads the store itself at once.
//! [`SharedSource`] is an [`OperatorSource`](relay::OperatorSource), so that its user does not know where a reading came
//! from. Instances know each other from rows that each writes at its start ([`MemberDirectory`]).

pub mod list_journal;
pub mod list_mirror;
pub mod member_directory;
pub mod member_row;
pub mod reader_plan;
pub mod reader_rest;
pub mod shared_source;
pub mod spread_message;
pub mod spread_server;
pub mod spread_state;
pub mod spread_times;

pub use {
    list_journal::ListJournal,
    list_mirror::ListMirror,
    member_directory::MemberDirectory,
    member_row::MemberRow,
    reader_plan::{ReadFrom, ReaderPlan},
    reader_rest::ReaderRest,
    shared_source::SharedSource,
    spread_message::{BookCopy, ListChange, ReadingMark, SpreadNews, SpreadReply, SpreadRequest},
    spread_server::{SPREAD_TAG, SpreadServer},
    spread_state::SpreadState,
    spread_times::SpreadTimes,
};
